"""Resource usage of teams and the headroom within their quotas."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE


class TeamUsage(NamedTuple):
    """Upper bound of what the tasks of one team use."""

    cores: float
    accelerators: float


class QuotaHeadroom:
    """What a team may still use within its quota."""

    __slots__ = ("accelerators", "cores")

    def __init__(self, cores: float, accelerators: float) -> None:
        self.cores = cores
        self.accelerators = accelerators

    def max_tasks(self, request: PlacementRequest) -> int:
        """How many pending tasks of the request the quota allows."""
        allowed = request.pending
        if request.cores > 0:
            allowed = min(allowed, int((self.cores + CAPACITY_TOLERANCE) / request.cores))
        if request.accelerators > 0:
            accelerators = self.accelerators + CAPACITY_TOLERANCE
            allowed = min(allowed, int(accelerators / request.accelerators))
        return max(0, allowed)

    def take(self, request: PlacementRequest, tasks: int) -> None:
        """Subtract ``tasks`` tasks of the request from the headroom."""
        self.cores -= tasks * request.cores
        self.accelerators -= tasks * request.accelerators
