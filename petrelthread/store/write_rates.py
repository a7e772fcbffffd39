"""How the state service's write limit is divided among the controllers, before and after it drops.

The service may lower its limit at a moment that nobody announces. A write beyond the limit is
refused and surely not carried out, so the present limit is used until a refusal shows the new one:
the smaller from the start sent the users of the first seconds away.
"""

from __future__ import annotations

from typing import NamedTuple

USED_SHARE = 0.9  # of the limit, by all controllers together
LEADER_SHARE = 0.6  # of what all use


class WriteRates(NamedTuple):
    """Writes a second, and the burst of one controller."""

    leader: float
    follower: float
    unused: float  # left free by all together
    burst: float

    @classmethod
    def divide(cls, limit: float, controllers: int) -> WriteRates:
        used = limit * USED_SHARE
        followers = max(1, controllers - 1)
        return cls(
            leader=used * LEADER_SHARE,
            follower=used * (1 - LEADER_SHARE) / followers,
            unused=limit - used,
            burst=used / 2,
        )
