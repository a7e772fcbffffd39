"""What the attempts that may be on machines take there, and of their teams' limits.

Kept as running figures: to add them up anew in every round, four times a second over 970 machines,
took a third of the leader's time. Every change of an attempt that matters passes through
``ClusterState``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from petrelthread.state.job import Attempt


class ResourceUsage(NamedTuple):
    attempts: int = 0
    cores: float = 0.0
    accelerators: float = 0.0
    ram_gb: float = 0.0

    def adjusted(self, attempt: Attempt, by: int) -> ResourceUsage:
        job = attempt.job
        if self.attempts + by == 0:
            return NO_USAGE  # so that rounding errors do not add up
        return ResourceUsage(
            self.attempts + by,
            self.cores + by * job.cores,
            self.accelerators + by * job.accelerators,
            self.ram_gb + by * job.ram_gb,
        )


NO_USAGE = ResourceUsage()


class UsageTracker:
    """Running figures by machine and by team.

    ``changed_machines``: those whose figures, or whose standing, have changed since whoever keeps
    an index of them last took it empty.
    """

    def __init__(self) -> None:
        self.changed_machines: set[int] = set()
        self._machines: dict[int, ResourceUsage] = {}
        self._teams: dict[int, ResourceUsage] = {}

    def machine(self, index: int) -> ResourceUsage:
        return self._machines.get(index, NO_USAGE)

    def team(self, index: int) -> ResourceUsage:
        return self._teams.get(index, NO_USAGE)

    def add(self, attempt: Attempt) -> None:
        self._change(attempt, 1)

    def remove(self, attempt: Attempt) -> None:
        self._change(attempt, -1)

    def _change(self, attempt: Attempt, by: int) -> None:
        self.changed_machines.add(attempt.machine)
        for figures, index in ((self._machines, attempt.machine), (self._teams, attempt.job.team)):
            taken = figures.get(index, NO_USAGE).adjusted(attempt, by)
            if taken is NO_USAGE:
                figures.pop(index, None)
            else:
                figures[index] = taken
