"""Resources that attempts use, by machine and by team.

The sums are updated with each change of an attempt, because a leader needs them in every round and
summing over all attempts takes too long. Only ``AttemptTable`` makes these updates.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from petrelthread.state.job import Attempt


class ResourceUsage(NamedTuple):
    """The number of attempts and the sum of their resources."""

    attempts: int = 0
    cores: float = 0.0
    accelerators: float = 0.0
    ram_gb: float = 0.0

    def adjusted(self, attempt: Attempt, by: int) -> ResourceUsage:
        """The usage with an attempt added (``by`` is 1) or removed (``by`` is -1)."""
        job = attempt.job
        if self.attempts + by == 0:
            return NO_USAGE  # exactly zero, so that rounding errors do not accumulate
        return ResourceUsage(
            self.attempts + by,
            self.cores + by * job.cores,
            self.accelerators + by * job.accelerators,
            self.ram_gb + by * job.ram_gb,
        )


NO_USAGE = ResourceUsage()


class UsageTracker:
    """Usage by index of the machine and by index of the team.

    Attributes:
        changed_machines: indices of machines whose usage or availability has changed.
            ``FreeCapacity`` updates its indexes for these machines and clears the set.
    """

    def __init__(self) -> None:
        self.changed_machines: set[int] = set()
        self._machines: dict[int, ResourceUsage] = {}
        self._teams: dict[int, ResourceUsage] = {}
        self._job_attempts: dict[int, dict[int, int]] = {}  # by machine, then by job

    def machine(self, index: int) -> ResourceUsage:
        """Usage of all attempts on a machine."""
        return self._machines.get(index, NO_USAGE)

    def team(self, index: int) -> ResourceUsage:
        """Usage of a team's attempts on all machines."""
        return self._teams.get(index, NO_USAGE)

    def job_attempts(self, machine: int) -> Mapping[int, int]:
        """Number of attempts on a machine, by index of the job; jobs without any are absent."""
        return self._job_attempts.get(machine, {})

    def add(self, attempt: Attempt) -> None:
        """Count an attempt that is not counted yet."""
        self._change(attempt, 1)

    def remove(self, attempt: Attempt) -> None:
        """Stop counting an attempt that is counted."""
        self._change(attempt, -1)

    def _change(self, attempt: Attempt, by: int) -> None:
        self.changed_machines.add(attempt.machine)
        for usages, index in ((self._machines, attempt.machine), (self._teams, attempt.job.team)):
            usage = usages.get(index, NO_USAGE).adjusted(attempt, by)
            if usage is NO_USAGE:
                usages.pop(index, None)
            else:
                usages[index] = usage
        self._change_job_attempts(attempt, by)

    def _change_job_attempts(self, attempt: Attempt, by: int) -> None:
        counts = self._job_attempts.setdefault(attempt.machine, {})
        count = counts.get(attempt.job.index, 0) + by
        if count:
            counts[attempt.job.index] = count
        else:
            counts.pop(attempt.job.index, None)
            if not counts:
                del self._job_attempts[attempt.machine]
