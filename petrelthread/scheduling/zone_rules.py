"""Rules for the zones that a job's tasks may use, given the zones of its other tasks."""

from __future__ import annotations

from collections.abc import Callable

from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.occupancy import spread_limit
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE


def zone_headroom(request: PlacementRequest) -> Callable[[int], int]:
    """Return a function from a zone to the number of further tasks that the zone may get."""

    def headroom(zone: int) -> int:
        if request.single_zone and not request.occupancy.is_confined_to((zone,)):
            return 0
        if request.spread_zones:
            return spread_limit(request.task_count) - request.occupancy.max_tasks_in(zone)
        return request.pending

    return headroom


def choose_zone(request: PlacementRequest, index: CapacityIndex, max_tasks: int) -> int | None:
    """Choose the zone of a single-zone job: that of its tasks, else where most of them fit.

    Args:
        request: the request of the job.
        index: the machines that may be used.
        max_tasks: capacity for more tasks than this does not make a zone preferable.

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
