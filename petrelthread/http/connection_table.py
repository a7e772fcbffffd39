"""The open connections of one server, and the limits on their number."""

from __future__ import annotations

import asyncio

# One connection in so many is closed after one response, so that some are left for new users.
ONE_RESPONSE_SHARE = 10


class ConnectionTable:
    """Counts a server's connections and knows which of them wait for a request.

    Beyond nine tenths of the limit the table is crowded: a connection that has been idle for too
    long is closed for each new one, and connections are not kept alive after their response. Beyond
    the limit new connections are refused.
    """

    def __init__(self, max_connections: int, stale_after_s: float) -> None:
        """Limit open connections to ``max_connections``.

        ``stale_after_s``: how long a connection may be idle before a new one may replace it.
        """
        self.open_count = 0
        self._max_connections = max_connections
        self._max_kept_alive = max(
            1, max_connections - max(1, max_connections // ONE_RESPONSE_SHARE)
        )
        self._stale_after_s = stale_after_s
        # In the order in which they became idle, the longest idle first.
        self._idle_since: dict[asyncio.StreamWriter, float] = {}

    @property
    def is_crowded(self) -> bool:
        """Whether connections are closed after their response."""
        return self.open_count > self._max_kept_alive

    @property
    def exceeds_limit(self) -> bool:
        """Whether the newest connection must be refused."""
        return self.open_count > self._max_connections

    def mark_idle(self, writer: asyncio.StreamWriter) -> None:
        """Note that a connection waits for a request from now on."""
        self._idle_since[writer] = asyncio.get_running_loop().time()

    def mark_busy(self, writer: asyncio.StreamWriter) -> None:
        """Note that a connection waits for a request no more."""
        self._idle_since.pop(writer, None)

    def close_stale(self) -> None:
        """Close the connection that has been idle the longest, if it is stale.

        Workers that were partitioned or preempted leave theirs half open.
        """
        oldest = next(iter(self._idle_since), None)
        now = asyncio.get_running_loop().time()
        if oldest is not None and now - self._idle_since[oldest] > self._stale_after_s:
            del self._idle_since[oldest]
            oldest.transport.abort()
