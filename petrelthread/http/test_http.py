"""The HTTP layer over real sockets on loopback."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from petrelthread.http import Client, NoResponseError, Response, Server, json_response


async def echo(method: str, target: str, body: bytes) -> Response:
    if target == "/boom":
        raise RuntimeError("boom")
    return json_response(200, {"method": method, "target": target, "size": len(body)})


async def serving() -> tuple[asyncio.Server, str]:
    server = await Server(echo, 100).listen("127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def raw(addr: str, data: bytes) -> bytes:
    host, _, port = addr.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(5):
        got = await reader.read(65536)
    writer.close()
    return got


def test_requests_on_one_connection() -> None:
    async def main() -> None:
        server, addr = await serving()
        client = Client()
        for size in (0, 10, 60_000):
            reply = await client.request(addr, "POST", "/x?y=1", "a" * size)
            assert reply.status == 200
            assert orjson.loads(reply.body)["size"] == size + 2
        reply = await client.request(addr, "GET", "/boom")
        assert reply.status == 503  # a fault of ours is no traceback and no hang
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: zero\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + b"a" * 70000,
        b"GET /" + b"a" * 20000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
def test_bad_http_is_told_so(data: bytes) -> None:
    async def main() -> None:
        server, addr = await serving()
        got = await raw(addr, data)
        assert got.startswith(b"HTTP/1.1 400 "), got[:80]
        assert b'{"error":' in got
        server.close()

    asyncio.run(main())


def test_no_answer_says_whether_anything_was_sent() -> None:
    async def main() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(100)
            await asyncio.sleep(5)

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(NoResponseError) as lost:
            await Client().request(f"127.0.0.1:{port}", "GET", "/", timeout=0.2)
        assert lost.value.request_sent
        server.close()
        await server.wait_closed()
        with pytest.raises(NoResponseError) as refused:
            await Client().request(f"127.0.0.1:{port}", "GET", "/", timeout=0.5)
        assert not refused.value.request_sent

    asyncio.run(main())
