"""A minimal HTTP/1.1 server and client on asyncio streams, for the stand-ins of this review."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"
Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any]]]


class Reset(Exception):  # noqa: N818 - a decision of the handler, not an error
    """Raised by a handler that closes the connection without a response."""


def reserve_port() -> socket.socket:
    """Bind a free loopback port without listening, so that a controller can listen on it."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, 0))
    return bound


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length) if length else b""
    return first, body


class Listener:
    """Serves one port. While ``refusing`` is set, connections are reset on arrival."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.refusing = False
        self.address = ""

    async def open(self, bound: socket.socket | None = None) -> str:
        """Listen; return host:port."""
        bound = bound or reserve_port()
        self.address = f"{HOST}:{bound.getsockname()[1]}"
        self._server = await asyncio.start_server(self._serve, sock=bound, limit=1 << 22)
        return self.address

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.refusing:
                message = await _read_message(reader)
                if message is None:
                    return
                first, body = message
                method, target, _ = first.split(" ")
                content = json.loads(body) if body else None
                status, answer = await self._handler(method, target, content)
                data = json.dumps(answer, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, Reset, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Caller:
    """Sends requests to any address over connections that stay open, one request at a time."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def call(
        self, address: str, method: str, target: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any, dict[str, str]] | None:
        """Send one request; return status, body and headers, or None without a response."""
        writer = None
        try:
            async with asyncio.timeout(timeout):
                pool = self._idle.setdefault(address, [])
                reader = None
                while pool and reader is None:
                    reader, writer = pool.pop()
                    if reader.at_eof() or writer.is_closing():
                        writer.transport.abort()
                        reader = writer = None
                if reader is None:
                    host, _, port = address.partition(":")
                    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
                data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
                head = f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                head_bytes = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head_bytes.decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines if line)
                }
                raw = await reader.readexactly(int(headers.get("content-length", "0")))
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if writer is not None:
                writer.transport.abort()
            return None
        if headers.get("connection", "").lower() == "close":
            writer.transport.abort()
        else:
            pool.append((reader, writer))
        content: Any = None
        with contextlib.suppress(ValueError):
            content = json.loads(raw) if raw else None
        return int(first.split(" ")[1]), content, headers
