"""Tests of the server's connection limits with real connections on loopback."""

from __future__ import annotations

import asyncio
import os

from petrelthread.http import Response, Server, json_response

# A loopback address for this process alone; on 127.0.0.1 other processes' connections count too.
HOST = f"127.{os.getpid() >> 16 & 127 | 128}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
GET = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


async def respond_ok(method: str, target: str, body: bytes) -> Response:
    return json_response(200, {"fine": True})


class RawConnection:
    """A connection whose responses are read as bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def request(self) -> bytes:
        """Send a request; return the head of its response, empty if the connection was closed."""
        try:
            self.writer.write(GET)
            async with asyncio.timeout(5):
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
                await self.reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            return b""
        return head.lower()


async def request_all(connections: list[RawConnection]) -> list[bytes]:
    return await asyncio.gather(*(connection.request() for connection in connections))


async def connect(port: int, count: int) -> list[RawConnection]:
    return [RawConnection(*await asyncio.open_connection(HOST, port)) for _ in range(count)]


def test_new_connections_replace_stale_ones_and_none_leaks() -> None:
    max_connections, stale_after_s = 400, 1.0

    async def main() -> None:
        server = Server(respond_ok, max_connections, stale_after_s)
        listening = await server.listen(HOST, 0)
        port = listening.sockets[0].getsockname()[1]
        kept = await connect(port, 360)  # nine tenths of the limit
        assert all(b" 200 " in head for head in await request_all(kept))
        # Each of the last tenth gets one response, which announces that the connection is closed.
        surplus = await connect(port, 40)
        heads = await request_all(surplus)
        assert all(b" 200 " in head and b"connection: close" in head for head in heads)
        await asyncio.sleep(0.1)
        assert server.open_connections == 360
        # Half of the clients send nothing more; the others continue.
        active = kept[:180]
        for _ in range(4):
            await request_all(active)
            await asyncio.sleep(0.35)
        new = await connect(port, 180)
        assert all(b" 200 " in head for head in await request_all(new))
        assert all(b" 200 " in head for head in await request_all(active))
        assert server.open_connections <= max_connections
        for connection in [*kept, *surplus, *new]:
            connection.writer.transport.abort()
        async with asyncio.timeout(5):
            while server.open_connections:
                await asyncio.sleep(0.01)
        listening.close()

    asyncio.run(main())


def test_connections_above_the_limit_are_closed_without_a_response() -> None:
    async def main() -> None:
        server = Server(respond_ok, 20, 60.0)
        listening = await server.listen(HOST, 0)
        port = listening.sockets[0].getsockname()[1]
        open_connections = await connect(port, 20)
        await asyncio.sleep(0.05)
        (refused,) = await connect(port, 1)
        assert await refused.request() == b""
        assert b" 200 " in await open_connections[0].request()
        for connection in open_connections:
            connection.writer.transport.abort()
        listening.close()

    asyncio.run(main())
