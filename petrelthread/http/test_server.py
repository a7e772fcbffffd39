"""Tests of the HTTP server with real sockets on loopback."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from petrelthread.http import Client, Response, Server, json_response


async def echo(method: str, target: str, body: bytes) -> Response:
    if target == "/boom":
        raise RuntimeError("boom")
    return json_response(200, {"method": method, "target": target, "size": len(body)})


class CountingServer(Server):
    """Counts the connections that it accepts."""

    accepted = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        await super()._serve(reader, writer)


async def start_echo_server(server: Server | None = None) -> tuple[asyncio.Server, str]:
    listening = await (server or Server(echo, 100)).listen("127.0.0.1", 0)
    return listening, f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"


async def exchange_raw(addr: str, data: bytes) -> bytes:
    host, _, port = addr.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(5):
        response = await reader.read(65536)
    writer.close()
    return response


def test_requests_share_a_connection_and_a_failing_handler_gives_503() -> None:
    async def main() -> None:
        counting = CountingServer(echo, 100)
        server, addr = await start_echo_server(counting)
        client = Client()
        for size in (0, 10, 60_000):
            response = await client.request(addr, "POST", "/x?y=1", "a" * size)
            assert response.status == 200
            assert orjson.loads(response.body)["size"] == size + 2
        response = await client.request(addr, "GET", "/boom")
        assert response.status == 503  # the handler raised
        assert counting.accepted == 1
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
    ids=["no HTTP", "version", "content length", "body too large", "line too long"],
)
def test_malformed_requests_get_400(data: bytes) -> None:
    async def main() -> None:
        server, addr = await start_echo_server()
        response = await exchange_raw(addr, data)
        assert response.startswith(b"HTTP/1.1 400 "), response[:80]
        assert b'{"error":' in response
        server.close()

    asyncio.run(main())
