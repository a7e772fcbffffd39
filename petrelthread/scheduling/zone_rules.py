"""Which zones the tasks of a job may go to, given where its other tasks are."""

from __future__ import annotations

from collections.abc import Callable

from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.occupancy import spread_limit
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE


def zone_headroom(request: PlacementRequest) -> Callable[[int], int]:
    """A function that says how many more tasks of the job may go to a zone."""

    def headroom(zone: int) -> int:
        if request.single_zone and not request.occupancy.is_confined_to((zone,)):
            return 0
        if request.spread_zones:
            return spread_limit(request.task_count) - request.occupancy.max_tasks_in(zone)
        return request.pending

    return headroom


def choose_zone(request: PlacementRequest, index: CapacityIndex, max_tasks: int) -> int | None:
    """The zone for a single-zone job: where its tasks are, else where most of them fit.

    Args:
        request: the request of the job.
        index: the machines that may be used.
        max_tasks: capacity for more tasks than these counts for nothing.

    Returns:
        The zone, or None if no task of the job fits anywhere.
    """
    if request.occupancy.zones:
        return next(iter(request.occupancy.zones))
    task_counts: dict[int, int] = {}
    for zone, machines in index.fitting_by_group(request):
        for machine in machines:
            count = max_tasks
            if request.cores > 0:
                count = int((machine.cores + CAPACITY_TOLERANCE) / request.cores)
            task_counts[zone] = task_counts.get(zone, 0) + count
            if task_counts[zone] >= max_tasks:
                break
    if not task_counts:
        return None
    return min(task_counts, key=lambda zone: (-min(task_counts[zone], max_tasks), zone))
