"""Where the tasks of one job are, or may be.

One object stands for one job in one round: all requests of the job share it, and each start that
the round decides is added at once. Requests with a picture of their own chose different zones for
one single-zone job (incident wk-840897).
"""

from __future__ import annotations

from collections.abc import Iterable

from petrelthread.fleet import Machine
from petrelthread.state import Job

UNKNOWN_ZONE = -1  # of a machine that has neither reported to this leader nor been listed


class JobOccupancy:
    """Tasks of one job by zone and by machine, starts of the present round included."""

    __slots__ = ("machines", "zones")

    def __init__(
        self, zones: dict[int, int] | None = None, machines: dict[int, int] | None = None
    ) -> None:
        self.zones = {} if zones is None else zones
        self.machines = {} if machines is None else machines

    @classmethod
    def of(cls, job: Job, machines: dict[int, Machine]) -> JobOccupancy:
        """What the job's live attempts occupy. A machine that is not known counts as one in an
        unknown zone: its tasks may be in any."""
        occupancy = cls()
        for attempt in job.live_attempts.values():
            if attempt.has_exited:
                continue
            machine = machines.get(attempt.machine)
            zone = UNKNOWN_ZONE if machine is None else machine.zone
            occupancy.add(zone, attempt.machine)
        return occupancy

    def add(self, zone: int, machine: int) -> None:
        """Count one more task."""
        self.zones[zone] = self.zones.get(zone, 0) + 1
        self.machines[machine] = self.machines.get(machine, 0) + 1

    def copy(self) -> JobOccupancy:
        """An independent copy, for a decision that may be dropped."""
        return JobOccupancy(dict(self.zones), dict(self.machines))

    def restore(self, before: JobOccupancy) -> None:
        """Forget what was added since ``before`` was copied."""
        self.zones, self.machines = before.zones, before.machines

    def only_in(self, zones: Iterable[int]) -> bool:
        """Whether all tasks are surely in the given zones."""
        return self.zones.keys() <= set(zones)

    def most_in(self, zone: int) -> int:
        """How many tasks may be in the zone at most: those in an unknown zone may be, too."""
        return self.zones.get(zone, 0) + self.zones.get(UNKNOWN_ZONE, 0)


def spread_limit(tasks: int) -> int:
    """How many tasks of a spread job of ``tasks`` may be in one zone (PROTOCOL: ``scatter``)."""
    return (tasks + 1) // 2
