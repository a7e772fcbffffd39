"""Bin packing: the choice of a machine for each pending task in one round.

The machine rule: among the fitting machines that cache the image, the one with the most free cores;
if none caches it, the fitting machine with the most free cores. If the task has a zone, only
machines of this zone count. Of equal machines, the one with the most free memory is chosen.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.placement_in_progress import PlacementInProgress
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.quota import QuotaHeadroom
from petrelthread.scheduling.replica_placement import place_replicas
from petrelthread.scheduling.zone_rules import choose_zone

# Tasks that one round places, so that its time does not depend on the size of a job.
MAX_TASKS_PER_ROUND = 2000


class JobPlacement(NamedTuple):
    """The machines of the tasks of one job that were placed, one entry per task."""

    job_index: int
    machines: list[int]


class PlacementResult(NamedTuple):
    """The placements of one round.

    ``is_complete`` is False if the time budget or the limit on tasks ended the placement before all
    tasks were examined. ``resume_position`` is then the position of the next request to examine.
    """

    placed: list[JobPlacement]
    resume_position: int = 0
    is_complete: bool = True

    def task_counts(self) -> Counter[int]:
        """Number of placed tasks, by job index."""
        counts: Counter[int] = Counter()
        for placement in self.placed:
            counts[placement.job_index] += len(placement.machines)
        return counts


def place_requests(
    requests: list[PlacementRequest],
    index: CapacityIndex,
    quotas: list[QuotaHeadroom],
    first_position: int = 0,
    expired: Callable[[], bool] = lambda: False,
    max_tasks: int = MAX_TASKS_PER_ROUND,
) -> PlacementResult:
    """Place the requests in order; each placement takes capacity and quota headroom.

    If the limit on tasks is reached within a request, the next round examines the other requests
    first, so that they do not wait for a large job.

    Args:
        requests: placement requests in scheduling order.
        index: the machines that may be used; changed in place.
        quotas: quota headroom by team index; changed in place.
        first_position: position of the request to place first; those before it come last.
        expired: whether the time budget has run out; the first request is always examined.
        max_tasks: number of tasks after which no more are placed.
    """
    placed: list[JobPlacement] = []
    count = len(requests)
    first_position = first_position % count if count else 0
    tasks_left = max_tasks
    for step in range(count):
        position = (first_position + step) % count
        request = requests[position]
        if step and (tasks_left < _min_tasks(request, max_tasks) or expired()):
            return PlacementResult(placed, position, is_complete=False)
        machines = _place_job(request, index, quotas[request.team], tasks_left)
        if machines:
            placed.append(JobPlacement(request.job_index, machines))
            tasks_left -= len(machines)
    return PlacementResult(placed, first_position if tasks_left <= 0 else 0, tasks_left > 0)


def _min_tasks(request: PlacementRequest, max_tasks: int) -> int:
    """The number of tasks that have to be placed together, at most ``max_tasks``."""
    return min(request.pending, max_tasks) if request.all_or_nothing else 1


def _place_job(
    request: PlacementRequest, index: CapacityIndex, quota: QuotaHeadroom, tasks_left: int
) -> list[int]:
    max_tasks = quota.max_tasks(request)
    if max_tasks <= 0 or (request.all_or_nothing and max_tasks < request.pending):
        return []
    max_tasks = min(max_tasks, tasks_left)
    min_tasks = _min_tasks(request, max_tasks)
    zone = None
    if request.single_zone:
        whole_job = request._replace(pending=max(request.pending, request.zone_choice_tasks))
        zone = choose_zone(request, index, quota.max_tasks(whole_job))
        if zone is None:
            return []
    placement = PlacementInProgress(request, index, quota)
    if request.spread_machines:
        place_replicas(placement, index, max_tasks, zone)
    else:
        _place_tasks(placement, index, max_tasks, zone)
    if len(placement.machines) < min_tasks:
        return placement.roll_back()
    return placement.commit()


def _place_tasks(
    placement: PlacementInProgress, index: CapacityIndex, max_tasks: int, zone: int | None
) -> None:
    """Place tasks by the machine rule.

    A machine that receives a task caches the image from then on, so it receives further tasks until
    it is full.
    """
    request = placement.request
    heap = [
        (machine.placement_key(request), machine.machine_index)
        for machine in index.cached_candidates(request, max_tasks, zone)
    ]
    heapq.heapify(heap)
    uncached = index.uncached_candidates(request, zone, placement.full_zones)
    while len(placement.machines) < max_tasks:
        if not heap:
            candidate = next(uncached, None)
            if candidate is None:
                return
            heap.append((candidate.placement_key(request), candidate.machine_index))
        machine = index.machines[heap[0][1]]
        if not placement.is_zone_open(machine.zone):
            heapq.heappop(heap)
            continue
        placement.take(machine)
        if machine.fits(request):
            heapq.heapreplace(heap, (machine.placement_key(request), machine.machine_index))
        else:
            heapq.heappop(heap)
