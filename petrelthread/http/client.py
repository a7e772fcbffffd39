"""HTTP client with keep-alive connections, one request at a time on each, and hard timeouts."""

from __future__ import annotations

import asyncio

import h11
import orjson

from petrelthread.http.client_connection import ClientConnection, ClientResponse
from petrelthread.settings import split_addr

MAX_IDLE_PER_ADDRESS = 4
IDLE_TIMEOUT_S = 30.0
DEFAULT_MAX_SOCKETS = 64
DEFAULT_TIMEOUT_S = 2.0


class NoResponseError(Exception):
    """No usable response arrived.

    ``request_sent`` is False only if the request certainly never left this process; otherwise the
    server may have executed it, or may still do so.
    """

    def __init__(self, reason: str, request_sent: bool) -> None:
        super().__init__(reason)
        self.request_sent = request_sent


class Client:
    """Sends requests to any address and never reuses a failed connection.

    The number of open sockets is limited. Half of them are for idle connections. A request waits,
    within its timeout, while all sockets of the other half are in use.
    """

    def __init__(self, max_sockets: int = DEFAULT_MAX_SOCKETS) -> None:
        """Limit the open connections to ``max_sockets``."""
        self._idle: dict[str, list[ClientConnection]] = {}  # by address, longest idle first
        self._idle_count = 0
        self._max_idle = max_sockets // 2
        self.max_concurrent = max(1, max_sockets - self._max_idle)  # requests at the same time
        self._request_slots = asyncio.Semaphore(self.max_concurrent)

    async def request(
        self,
        addr: str,
        method: str,
        target: str,
        body: object = None,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> ClientResponse:
        """Send one request and return the response, of any status.

        Args:
            addr: Host and port.
            method: HTTP method.
            target: Path and query.
            body: Sent as JSON unless it is None.
            timeout: Seconds in total for waiting for a socket, connecting, sending and receiving.

        Raises:
            NoResponseError: No complete response arrived in time.
        """
        request_sent = False
        connection: ClientConnection | None = None
        data = None if body is None else orjson.dumps(body)
        try:
            async with asyncio.timeout(timeout), self._request_slots:
                connection = self._take_idle(addr)
                if connection is None:
                    connection = await ClientConnection.open(*split_addr(addr))
                request_sent = True
                response = await connection.exchange(method, target, addr, data)
        except BaseException as error:
            if connection is not None:
                connection.abort()
            if isinstance(error, OSError | TimeoutError | h11.ProtocolError | ValueError):
                raise NoResponseError(f"{type(error).__name__}: {error}", request_sent) from error
            raise
        self._keep_alive(addr, connection)
        return response

    def _take_idle(self, addr: str) -> ClientConnection | None:
        """Take the newest idle connection that is fresh and open; close those that are not."""
        pool = self._idle.get(addr)
        now = asyncio.get_running_loop().time()
        while pool:
            connection = pool.pop()
            self._idle_count -= 1
            if _is_fresh(connection, now) and connection.is_open:
                return connection
            connection.abort()
        return None

    def _keep_alive(self, addr: str, connection: ClientConnection) -> None:
        """Keep a connection for later requests to the address if it is reusable, else close it."""
        pool = self._idle.get(addr, ())
        if not connection.is_reusable or len(pool) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        if self._idle_count >= self._max_idle:
            self._close_longest_idle()
        self._idle_count += 1
        connection.become_idle(asyncio.get_running_loop().time())
        self._idle.setdefault(addr, []).append(connection)

    def _close_longest_idle(self) -> None:
        pools = [pool for pool in self._idle.values() if pool]
        min(pools, key=lambda pool: pool[0].idle_since).pop(0).abort()
        self._idle_count -= 1

    def close_idle(self) -> None:
        """Close connections idle for ``IDLE_TIMEOUT_S`` or closed by the server.

        To be called periodically.
        """
        now = asyncio.get_running_loop().time()
        for addr, pool in list(self._idle.items()):
            kept = []
            for connection in pool:
                if _is_fresh(connection, now):
                    kept.append(connection)
                else:
                    connection.abort()
                    self._idle_count -= 1
            if kept:
                self._idle[addr] = kept
            else:
                del self._idle[addr]


def _is_fresh(connection: ClientConnection, now: float) -> bool:
    """Whether an idle connection was used recently and the server has not closed it."""
    return now - connection.idle_since < IDLE_TIMEOUT_S and not connection.reached_eof
