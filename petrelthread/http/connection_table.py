"""A server's open connections and the limits on their number."""

from __future__ import annotations

import asyncio

# The last tenth of the connections get one response each, so that new users can still connect.
SINGLE_RESPONSE_DIVISOR = 10


class ConnectionTable:
    """Counts a server's connections and records which of them are idle.

    Above nine tenths of the limit the table is crowded: each new connection closes one that has
    been idle for too long, and connections are not kept alive after their response. Above the limit
    new connections are refused.
    """

    def __init__(self, max_connections: int, stale_after_s: float) -> None:
        """Limit open connections to ``max_connections``.

        ``stale_after_s``: how long a connection may be idle before a new one may replace it.
        """
        self.open_count = 0
        self._max_connections = max_connections
        self._max_kept_alive = max(
            1, max_connections - max(1, max_connections // SINGLE_RESPONSE_DIVISOR)
        )
        self._stale_after_s = stale_after_s
        # In the order in which they became idle, longest idle first.
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
        """Record that a connection now waits for a request."""
        self._idle_since[writer] = asyncio.get_running_loop().time()

    def mark_busy(self, writer: asyncio.StreamWriter) -> None:
        """Record that a connection no longer waits for a request."""
        self._idle_since.pop(writer, None)

    def close_stale(self) -> None:
        """Close the connection that has been idle the longest, if it is stale.

        Partitioned workers and reclaimed spot machines leave their connections half open.
        """
        longest_idle = next(iter(self._idle_since), None)
        now = asyncio.get_running_loop().time()
        if longest_idle is not None and now - self._idle_since[longest_idle] > self._stale_after_s:
            del self._idle_since[longest_idle]
            longest_idle.transport.abort()
