"""Division of the state service's write limit among the controllers.

The service may lower its limit at a time that is not announced. A write beyond the limit is refused
and certainly not applied, so the controllers use the higher limit until a write is refused.
"""

from __future__ import annotations

from typing import NamedTuple

USED_SHARE = 0.9  # share of the limit that all controllers together may use
LEADER_SHARE = 0.6  # the leader's share of the used part


class WriteRates(NamedTuple):
    """Shares of the write limit, in writes per second."""

    leader: float
    follower: float  # of each follower
    unused: float  # part of the limit outside all shares
    burst: float  # writes that one controller may make in one burst

    @classmethod
    def divide(cls, limit: float, controllers: int) -> WriteRates:
        """Divide a limit in writes per second among one leader and its followers."""
        used = limit * USED_SHARE
        followers = max(1, controllers - 1)
        return cls(
            leader=used * LEADER_SHARE,
            follower=used * (1 - LEADER_SHARE) / followers,
            unused=limit - used,
            burst=used / 2,
        )
