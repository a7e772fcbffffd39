"""A small HTTP/1.1 server and client for the stand-ins, from the standard library only."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

MAX_BODY_BYTES = 64 * 1024  # of a request; and of one line of a response to workers and users

Handler = Callable[[str, str, bytes], Awaitable[tuple[int, Any]]]


class NoAnswerError(Exception):
    """No usable answer arrived in time."""


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    first = await reader.readline()
    headers: dict[str, str] = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def serve(host: str, port: int, handler: Handler) -> tuple[asyncio.Server, str]:
    """Listen on a port (0: a free one); return the server and its address."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await _read_head(reader)
                if not first:
                    return
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, content = await handler(method, target, body)
                data = json.dumps(content, separators=(",", ":")).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=2**22)
    address = server.sockets[0].getsockname()
    return server, f"{address[0]}:{address[1]}"


async def request(
    address: str, method: str, target: str, body: Any, timeout: float
) -> tuple[int, Any]:
    """Send one request on a connection of its own; return status and content.

    Raises:
        NoAnswerError: the connection failed, or no complete answer came in time, or a line of the
            answer is longer than the protocol allows.
    """
    data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**22)
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                f"Content-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
            first, headers = await _read_head(reader)
            content = await reader.readexactly(int(headers.get("content-length", "0")))
            if any(len(line) > MAX_BODY_BYTES for line in content.split(b"\n")):
                raise NoAnswerError("a line of the answer is over 64 KiB")
            return int(first.split(" ")[1]), json.loads(content) if content else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        raise NoAnswerError(f"{type(error).__name__}: {error}") from error
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
