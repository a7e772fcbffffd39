"""Tests of the HTTP client with real sockets on loopback."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.http import Client, NoResponseError


def test_no_response_error_tells_whether_the_request_was_sent() -> None:
    async def main() -> None:
        async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(100)
            await asyncio.sleep(5)

        server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(NoResponseError) as timed_out:
            await Client().request(f"127.0.0.1:{port}", "GET", "/", timeout=0.2)
        assert timed_out.value.request_sent
        server.close()
        await server.wait_closed()
        with pytest.raises(NoResponseError) as refused:
            await Client().request(f"127.0.0.1:{port}", "GET", "/", timeout=0.5)
        assert not refused.value.request_sent

    asyncio.run(main())


def test_client_keeps_open_sockets_within_its_limit() -> None:
    """The limit also holds with idle connections to many addresses, such as a leader's workers."""
    max_open = 0
    open_now = 0

    async def main() -> None:
        nonlocal max_open, open_now

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal max_open, open_now
            open_now += 1
            max_open = max(max_open, open_now)
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    await asyncio.sleep(0.002)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                open_now -= 1

        async def request_to(host: int) -> None:
            try:
                response = await client.request(f"127.0.0.{host}:{port}", "GET", "/", timeout=5.0)
                assert response.status == 200
            except NoResponseError as error:
                raise AssertionError(str(error)) from None

        server = await asyncio.start_server(serve, "0.0.0.0", 0)
        port = server.sockets[0].getsockname()[1]
        client = Client(40)
        for _ in range(2):
            await asyncio.gather(*(request_to(host) for host in range(1, 201)))
        client.close_idle()
        server.close()

    asyncio.run(main())
    assert max_open <= 45  # the server may still count connections that the client has just closed
