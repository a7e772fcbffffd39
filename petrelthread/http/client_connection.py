"""One connection of the HTTP client."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Self

import h11

READ_SIZE_BYTES = 64 * 1024


class ClientResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class ClientConnection:
    """Sends requests one at a time and reads their responses.

    The caller must abort a connection after any exception.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use streams that are already connected."""
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0  # event loop time

    @classmethod
    async def open(cls, host: str, port: int) -> Self:
        """Connect.

        Raises:
            OSError: The connection was refused or the host is unreachable.
        """
        return cls(*await asyncio.open_connection(host, port))

    @property
    def reached_eof(self) -> bool:
        """Whether the server has closed the connection."""
        return self._reader.at_eof()

    @property
    def is_open(self) -> bool:
        """Whether the client has not begun to close the connection."""
        return not self._writer.is_closing()

    @property
    def is_reusable(self) -> bool:
        """Whether request and response are complete and neither asked to close the connection."""
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def become_idle(self, now: float) -> None:
        """Prepare for the next request, and note when the connection became idle."""
        self._parser.start_next_cycle()
        self.idle_since = now

    async def exchange(
        self, method: str, target: str, host: str, body: bytes | None
    ) -> ClientResponse:
        """Send a request and read its response.

        Raises:
            OSError: The connection was closed or failed.
            h11.ProtocolError: The response is malformed.
        """
        self._writer.write(self._encode_request(method, target, host, body))
        await self._writer.drain()
        return await self._read_response()

    def _encode_request(self, method: str, target: str, host: str, body: bytes | None) -> bytes:
        headers = [("Host", host), ("Content-Length", str(len(body or b"")))]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        return data + (self._parser.send(h11.EndOfMessage()) or b"")

    async def _read_response(self) -> ClientResponse:
        status = 0
        parts: list[bytes] = []
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._reader.read(READ_SIZE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return ClientResponse(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionError("connection closed before the response was complete")

    def abort(self) -> None:
        """Close the connection immediately, discarding unsent data."""
        self._writer.transport.abort()
