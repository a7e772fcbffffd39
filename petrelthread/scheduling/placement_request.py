"""The placement request of one job in a scheduling round."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE


class PlacementRequest(NamedTuple):
    """The pending tasks of one job, all with the same needs, and where they may run.

    Attributes:
        job_index: index of the job.
        team: index of its team.
        task_count: number of tasks of the whole job.
        pending: number of tasks to place with this request.
        cores: needed by one task, like ``accelerators`` and ``ram_gb``.
        image: index of the image that its tasks run.
        machine_types: indices of the machine types that it may use; None for all.
        zone: the only zone that it may use; None for all.
        spot_allowed: whether it may use spot machines.
        single_zone: all tasks have to be in one zone.
        spread_zones: at most half of the tasks may be in one zone.
        occupancy: tasks by zone and machine; shared by the job's requests, updated by placement.
        excluded_machines: machines on which the job failed.
        all_or_nothing: whether the job is a gang: the round places all pending tasks or none.
        spread_machines: whether the job is a service, whose replicas are spread over machines so
            that the loss of one machine affects few of them.
        zone_choice_tasks: number of tasks for which the zone of a single-zone job is chosen if
            ``pending`` is smaller.
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
    zone_choice_tasks: int = 0

    def fits_into(self, cores: float, accelerators: float, ram_gb: float) -> bool:
        """Whether one task fits into the given capacity."""
        return (
            cores + CAPACITY_TOLERANCE >= self.cores
            and accelerators + CAPACITY_TOLERANCE >= self.accelerators
            and ram_gb + CAPACITY_TOLERANCE >= self.ram_gb
        )
