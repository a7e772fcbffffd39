"""Division of the state service's write limit among the controllers.

The service may lower its limit without notice. A write beyond the limit is refused and certainly
not applied, so the controllers use the higher limit until a refusal shows that it was lowered.
"""

from __future__ import annotations

from typing import NamedTuple

USED_SHARE = 0.9  # of the limit, by all controllers together
LEADER_SHARE = 0.6  # of what all controllers use


class WriteRates(NamedTuple):
    """Shares of the write limit, in writes a second."""

    leader: float
    follower: float  # of each one
    unused: float  # left free by all controllers together
    burst: float  # writes that one controller may make at once

    @classmethod
    def divide(cls, limit: float, controllers: int) -> WriteRates:
        """Divide a limit of writes a second among one leader and its followers."""
        used = limit * USED_SHARE
        followers = max(1, controllers - 1)
        return cls(
            leader=used * LEADER_SHARE,
            follower=used * (1 - LEADER_SHARE) / followers,
            unused=limit - used,
            burst=used / 2,
        )
