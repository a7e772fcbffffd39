"""The client over real sockets on loopback."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.http import Client, NoResponseError


def test_no_response_error_says_whether_the_request_was_sent() -> None:
    async def main() -> None:
        async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(100)
            await asyncio.sleep(5)

        server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
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


def test_a_client_stays_within_its_limit_of_sockets() -> None:
    """Also with idle connections to many addresses, as a leader has to its workers."""
    most = 0
    open_now = 0

    async def main() -> None:
        nonlocal most, open_now

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal most, open_now
            open_now += 1
            most = max(most, open_now)
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    await asyncio.sleep(0.002)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                open_now -= 1

        async def request_from(host: int) -> None:
            try:
                reply = await client.request(f"127.0.0.{host}:{port}", "GET", "/", timeout=5.0)
                assert reply.status == 200
            except NoResponseError as error:
                raise AssertionError(str(error)) from None

        server = await asyncio.start_server(serve, "0.0.0.0", 0)
        port = server.sockets[0].getsockname()[1]
        client = Client(40)
        for _ in range(2):
            await asyncio.gather(*(request_from(host) for host in range(1, 201)))
        client.close_idle()
        server.close()

    asyncio.run(main())
    assert most <= 45  # connections just closed may still be counted at the other end
