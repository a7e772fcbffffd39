"""The account of sockets, and real connections by the hundred on loopback."""

from __future__ import annotations

import asyncio
import os

import pytest

from petrelthread.http import (
    Client,
    NoResponseError,
    Response,
    Server,
    divide_sockets,
    json_response,
)

# An address of this process alone. On 127.0.0.1 the counts were off by one beside other work on the
# machine: a connection that was none of ours had found the port.
HOST = f"127.{os.getpid() >> 16 & 127 | 128}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
GET = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


async def fine(method: str, target: str, body: bytes) -> Response:
    return json_response(200, {"fine": True})


@pytest.mark.parametrize("limit", [64, 200, 1000, 1518, 1844])
@pytest.mark.parametrize("siblings", [0, 2, 4])
def test_all_shares_together_stay_within_the_limit(limit: int, siblings: int) -> None:
    shares = divide_sockets(limit, siblings)
    assert sum(shares) < limit
    assert min(shares) >= 8
    if limit >= 1500:  # 970 workers, and users beside them, keep their connections open
        assert shares.public * 0.9 > 970 + 100


class Wire:
    """One raw connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self) -> bytes:
        """The head of the answer; empty if the connection was closed instead."""
        try:
            self.writer.write(GET)
            async with asyncio.timeout(5):
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
                await self.reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            return b""
        return head.lower()


async def connect(port: int, count: int) -> list[Wire]:
    return [Wire(*await asyncio.open_connection(HOST, port)) for _ in range(count)]


def test_hundreds_of_connections_dead_ones_give_way_and_none_leaks() -> None:
    room, stale_s = 400, 1.0

    async def main() -> None:
        server = Server(fine, room, stale_s)
        listening = await server.listen(HOST, 0)
        port = listening.sockets[0].getsockname()[1]
        kept = await connect(port, 360)  # nine tenths of the room
        assert all(b" 200 " in head for head in await asyncio.gather(*(w.ask() for w in kept)))
        # The last tenth gets one answer each, and is told that there will be no other.
        more = await connect(port, 40)
        heads = await asyncio.gather(*(w.ask() for w in more))
        assert all(b" 200 " in head and b"connection: close" in head for head in heads)
        await asyncio.sleep(0.1)
        assert server.open_connections == 360
        # Half of the workers die without a word; the others go on reporting.
        alive = kept[:180]
        for _ in range(4):
            await asyncio.gather(*(w.ask() for w in alive))
            await asyncio.sleep(0.35)
        fresh = await connect(port, 180)
        assert all(b" 200 " in head for head in await asyncio.gather(*(w.ask() for w in fresh)))
        assert all(b" 200 " in head for head in await asyncio.gather(*(w.ask() for w in alive)))
        assert server.open_connections <= room
        for wire in [*kept, *more, *fresh]:
            wire.writer.transport.abort()
        async with asyncio.timeout(5):
            while server.open_connections:
                await asyncio.sleep(0.01)
        listening.close()

    asyncio.run(main())


def test_beyond_the_room_connections_are_refused_at_once() -> None:
    async def main() -> None:
        server = Server(fine, 20, 60.0)
        listening = await server.listen(HOST, 0)
        port = listening.sockets[0].getsockname()[1]
        held = await connect(port, 20)
        await asyncio.sleep(0.05)
        (beyond,) = await connect(port, 1)
        assert await beyond.ask() == b""
        assert b" 200 " in await held[0].ask()
        for wire in held:
            wire.writer.transport.abort()
        listening.close()

    asyncio.run(main())


def test_a_client_stays_within_its_sockets() -> None:
    """Idle connections to every worker's address had taken 600 sockets of the leader."""
    most = 0
    now_open = 0

    async def main() -> None:
        nonlocal most, now_open

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal most, now_open
            now_open += 1
            most = max(most, now_open)
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    await asyncio.sleep(0.002)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                now_open -= 1

        async def one(host: int) -> None:
            try:
                reply = await client.request(f"127.0.0.{host}:{port}", "GET", "/", timeout=5.0)
                assert reply.status == 200
            except NoResponseError as error:
                raise AssertionError(str(error)) from None

        server = await asyncio.start_server(serve, "0.0.0.0", 0)
        port = server.sockets[0].getsockname()[1]
        client = Client(40)
        for _ in range(2):
            await asyncio.gather(*(one(host) for host in range(1, 201)))
        client.close_idle()
        server.close()

    asyncio.run(main())
    assert most <= 45  # those just closed may still be counted at the other end
