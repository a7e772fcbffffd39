"""What one job requests of a scheduling round."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE


class PlacementRequest(NamedTuple):
    """The pending tasks of one job, all alike, and where they may run.

    Attributes:
        job_index: the job.
        team: index of its team.
        task_count: tasks of the whole job.
        pending: tasks to be placed by this request.
        cores: of one task, like ``accelerators`` and ``ram_gb``.
        image: index of the image that its tasks run.
        machine_types: indexes of the machine types that it may use; None for all.
        zone: the only zone that it may use; None for all.
        spot_allowed: whether it may use spot machines.
        single_zone: all tasks have to be in one zone.
        spread_zones: at most half of the tasks may be in one zone.
        occupancy: shared by all requests of the job; placement keeps it up to date.
        excluded_machines: machines on which the job failed.
        all_or_nothing: a gang; all pending tasks are placed in this round, or none.
        spread_machines: a service; the loss of one machine is to take few of its replicas.
        zone_tasks: of a single-zone job, the number of tasks for which its zone is chosen where
            this request is for fewer of them.
    """

    job_index: int
    team: int
    task_count: int
    pending: int
    cores: float
    accelerators: float
    ram_gb: float
    image: int
    machine_types: frozenset[int] | None
    zone: int | None
    spot_allowed: bool
    single_zone: bool
    spread_zones: bool
    occupancy: JobOccupancy
    excluded_machines: frozenset[int] = frozenset()
    all_or_nothing: bool = False
    spread_machines: bool = False
    zone_tasks: int = 0

    def fits_into(self, cores: float, accelerators: float, ram_gb: float) -> bool:
        """Whether so much capacity holds one task."""
        return (
            cores + CAPACITY_TOLERANCE >= self.cores
            and accelerators + CAPACITY_TOLERANCE >= self.accelerators
            and ram_gb + CAPACITY_TOLERANCE >= self.ram_gb
        )
