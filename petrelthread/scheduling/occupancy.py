"""Zones and machines that the tasks of one job occupy or may occupy.

A round has one ``JobOccupancy`` for each job. All requests of the job share it, and each start that
the round decides is added immediately, so that two requests cannot choose different zones for one
single-zone job.
"""

from __future__ import annotations

from collections.abc import Iterable

from petrelthread.fleet import Machine
from petrelthread.state import Job

# Zone of a machine that has neither sent a heartbeat to this leader nor been listed by the cloud.
UNKNOWN_ZONE = -1


class JobOccupancy:
    """Number of tasks of one job by zone and by machine, including starts of the current round."""

    __slots__ = ("machines", "zones")

    def __init__(
        self, zones: dict[int, int] | None = None, machines: dict[int, int] | None = None
    ) -> None:
        self.zones = {} if zones is None else zones
        self.machines = {} if machines is None else machines

    @classmethod
    def of(cls, job: Job, machines: dict[int, Machine]) -> JobOccupancy:
        """Count the job's live attempts that have not exited.

        A machine that is not in ``machines`` has ``UNKNOWN_ZONE``: its tasks may be in any zone.
        """
        occupancy = cls()
        for attempt in job.live_attempts.values():
            if attempt.has_exited:
                continue
            machine = machines.get(attempt.machine)
            zone = UNKNOWN_ZONE if machine is None else machine.zone
            occupancy.add(zone, attempt.machine)
        return occupancy

    def add(self, zone: int, machine_index: int) -> None:
        """Count one more task."""
        self.zones[zone] = self.zones.get(zone, 0) + 1
        self.machines[machine_index] = self.machines.get(machine_index, 0) + 1

    def copy(self) -> JobOccupancy:
        """Return an independent copy, for a decision that may be discarded."""
        return JobOccupancy(dict(self.zones), dict(self.machines))

    def restore(self, before: JobOccupancy) -> None:
        """Discard what was added since ``before`` was copied."""
        self.zones, self.machines = before.zones, before.machines

    def is_confined_to(self, zones: Iterable[int]) -> bool:
        """Whether all tasks are known to be in the given zones."""
        return self.zones.keys() <= set(zones)

    def max_tasks_in(self, zone: int) -> int:
        """Upper bound of the tasks in the zone; those in an unknown zone may all be there."""
        return self.zones.get(zone, 0) + self.zones.get(UNKNOWN_ZONE, 0)


def spread_limit(task_count: int) -> int:
    """Most tasks of a job spread over zones that may be in one zone: half, rounded up."""
    return (task_count + 1) // 2
