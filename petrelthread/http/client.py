"""The asking side: kept-alive connections, one request at a time on each, a hard time limit."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import h11
import orjson

from petrelthread.settings import split_addr

MAX_IDLE_PER_ADDRESS = 4
IDLE_TIMEOUT_S = 30.0
DEFAULT_MAX_SOCKETS = 64


class NoResponseError(Exception):
    """No usable answer came. ``sent`` is False only if the request surely never left."""

    def __init__(self, reason: str, request_sent: bool) -> None:
        super().__init__(reason)
        self.request_sent = request_sent


class ClientResponse(NamedTuple):
    status: int
    body: bytes


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0

    async def exchange(
        self, method: str, target: str, host: str, body: bytes | None
    ) -> ClientResponse:
        headers = [("Host", host), ("Content-Length", str(len(body or b"")))]
        if body:
            headers.append(("Content-Type", "application/json"))
        conn = self.h11
        data = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += conn.send(h11.Data(data=body)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        await self.writer.drain()
        status = 0
        parts: list[bytes] = []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await self.reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return ClientResponse(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionError("closed before the response")

    def abort(self) -> None:
        self.writer.transport.abort()


class Client:
    """Requests to any address. Connections that gave trouble are never used again.

    ``sockets`` bounds what is open at once. Half of them may stay open unused; a request that finds
    the others at work waits within its own time limit.
    """

    def __init__(self, max_sockets: int = DEFAULT_MAX_SOCKETS) -> None:
        self._idle: dict[str, list[_Connection]] = {}
        self._kept_most = max_sockets // 2
        self._kept = 0
        self.max_concurrent = max(1, max_sockets - self._kept_most)
        self._room = asyncio.Semaphore(self.max_concurrent)

    async def request(
        self, addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        sent = False
        conn: _Connection | None = None
        data = None if body is None else orjson.dumps(body)
        try:
            async with asyncio.timeout(timeout), self._room:
                conn = self._take(addr)
                if conn is None:
                    host, port = split_addr(addr)
                    conn = _Connection(*await asyncio.open_connection(host, port))
                sent = True
                reply = await conn.exchange(method, target, addr, data)
        except BaseException as error:
            if conn is not None:
                conn.abort()
            if isinstance(error, OSError | TimeoutError | h11.ProtocolError | ValueError):
                raise NoResponseError(f"{type(error).__name__}: {error}", sent) from None
            raise
        self._keep(addr, conn)
        return reply

    def _take(self, addr: str) -> _Connection | None:
        pool = self._idle.get(addr)
        now = asyncio.get_running_loop().time()
        while pool:
            conn = pool.pop()
            self._kept -= 1
            fresh = now - conn.idle_since < IDLE_TIMEOUT_S
            if fresh and not conn.reader.at_eof() and not conn.writer.is_closing():
                return conn
            conn.abort()
        return None

    def _keep(self, addr: str, conn: _Connection) -> None:
        done = conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE
        if not done or len(self._idle.get(addr, ())) >= MAX_IDLE_PER_ADDRESS:
            conn.abort()
            return
        if self._kept >= self._kept_most:
            self._drop_oldest()
        self._kept += 1
        conn.h11.start_next_cycle()
        conn.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(addr, []).append(conn)

    def _drop_oldest(self) -> None:
        pools = [pool for pool in self._idle.values() if pool]
        min(pools, key=lambda pool: pool[0].idle_since).pop(0).abort()
        self._kept -= 1

    def close_idle(self) -> None:
        """Close connections nobody used for a while; called now and then."""
        now = asyncio.get_running_loop().time()
        for addr, pool in list(self._idle.items()):
            kept = []
            for conn in pool:
                if now - conn.idle_since < IDLE_TIMEOUT_S and not conn.reader.at_eof():
                    kept.append(conn)
                else:
                    conn.abort()
                    self._kept -= 1
            if kept:
                self._idle[addr] = kept
            else:
                del self._idle[addr]
