"""Bin packing: which machine each pending task goes to in one round.

The machine rule: a fitting machine that caches the image, else the one with most free, in the
task's zone if it has one. Among several that cache the image, the one with most free.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.quota import QuotaHeadroom
from petrelthread.scheduling.zone_rules import choose_zone, zone_headroom


class JobPlacement(NamedTuple):
    """Tasks of one job that were placed: their machines, one entry for each task."""

    job_index: int
    machines: list[int]


class PlacementResult(NamedTuple):
    """What one round has placed.

    ``next_start`` is the position of the first request that was not examined because the time was
    up; 0 when all were.
    """

    placed: list[JobPlacement]
    next_start: int

    def task_counts(self) -> Counter[int]:
        """How many tasks of each job were placed, by job index."""
        counts: Counter[int] = Counter()
        for placement in self.placed:
            counts[placement.job_index] += len(placement.machines)
        return counts


def place_requests(
    requests: list[PlacementRequest],
    index: CapacityIndex,
    quotas: list[QuotaHeadroom],
    start: int = 0,
    expired: Callable[[], bool] = lambda: False,
) -> PlacementResult:
    """Place the requests in order, taking capacity and quota headroom as it goes.

    Args:
        requests: in the order in which they are served.
        index: the machines that may be used; changed in place.
        quotas: what each team may still use, by team index; changed in place.
        start: position of the request to begin with; those before it come last.
        expired: whether the time is up; the first request is served in any case.
    """
    placed: list[JobPlacement] = []
    count = len(requests)
    start = start % count if count else 0
    for step in range(count):
        if step and expired():
            return PlacementResult(placed, (start + step) % count)
        request = requests[(start + step) % count]
        machines = _place_job(request, index, quotas[request.team])
        if machines:
            placed.append(JobPlacement(request.job_index, machines))
    return PlacementResult(placed, 0)


class _PlacementInProgress:
    """The tasks of one request as they are placed, with account of all that they take."""

    def __init__(
        self, request: PlacementRequest, index: CapacityIndex, quota: QuotaHeadroom
    ) -> None:
        self.request = request
        self.machines: list[int] = []  # one entry for each task
        self.full_zones: set[int] = set()
        self._index = index
        self._quota = quota
        self._zone_headroom = zone_headroom(request)
        self._headroom_left: dict[int, int] = {}  # by zone
        self._before: dict[int, MachineCapacity] = {}  # copies of the machines that got tasks
        self._quota_before = (quota.cores, quota.accelerators)
        self._occupancy_before = request.occupancy.copy()

    def is_zone_open(self, zone: int) -> bool:
        """Whether the zone may take one more task of the job."""
        if zone not in self._headroom_left:
            self._headroom_left[zone] = self._zone_headroom(zone)
        if self._headroom_left[zone] <= 0:
            self.full_zones.add(zone)
        return zone not in self.full_zones

    def take(self, machine: MachineCapacity) -> None:
        """Count one task in everything that later decisions of the round consult."""
        if machine.machine_index not in self._before:
            self._before[machine.machine_index] = machine.copy()
        self._headroom_left[machine.zone] -= 1
        machine.take(self.request)
        self._quota.take(self.request, 1)
        self.request.occupancy.add(machine.zone, machine.machine_index)
        self.machines.append(machine.machine_index)

    def commit(self) -> list[int]:
        """Keep what was placed. Returns the machines, one entry for each task."""
        for machine_index in self._before:
            self._index.reindex(self._index.machines[machine_index])
        return self.machines

    def roll_back(self) -> list[int]:
        """Give back all that was placed."""
        for machine_index, before in self._before.items():
            self._index.machines[machine_index].restore(before)
        self._quota.cores, self._quota.accelerators = self._quota_before
        self.request.occupancy.restore(self._occupancy_before)
        return []


def _place_job(request: PlacementRequest, index: CapacityIndex, quota: QuotaHeadroom) -> list[int]:
    max_tasks = quota.max_tasks(request)
    if max_tasks <= 0 or (request.all_or_nothing and max_tasks < request.pending):
        return []
    zone = None
    if request.single_zone:
        whole_job = request._replace(pending=max(request.pending, request.zone_tasks))
        zone = choose_zone(request, index, quota.max_tasks(whole_job))
        if zone is None:
            return []
    job = _PlacementInProgress(request, index, quota)
    if request.spread_machines:
        _place_replicas(job, index, max_tasks, zone)
    else:
        _place_tasks(job, index, max_tasks, zone)
    if request.all_or_nothing and len(job.machines) < request.pending:
        return job.roll_back()
    return job.commit()


def _place_replicas(
    job: _PlacementInProgress, index: CapacityIndex, max_tasks: int, zone: int | None
) -> None:
    """Place replicas one by one where the fewest of the job are, then by the machine rule.

    The zone comes before the machine if the job asks for spreading over zones. By the machine rule
    alone all replicas would go to one machine that caches their image.
    """
    request, occupancy = job.request, job.request.occupancy
    # Besides the machines with replicas, only the first ``max_tasks`` of a group can be chosen.
    count = max_tasks + len(occupancy.machines)
    candidates = index.best_candidates(request, count, zone)
    while len(job.machines) < max_tasks:
        fitting = [
            machine
            for machine in candidates
            if job.is_zone_open(machine.zone) and machine.fits(request)
        ]
        if not fitting:
            break
        best = min(
            fitting,
            key=lambda machine: (
                occupancy.zones.get(machine.zone, 0) if request.spread_zones else 0,
                occupancy.machines.get(machine.machine_index, 0),
                machine.placement_key(request),
            ),
        )
        job.take(best)


def _place_tasks(
    job: _PlacementInProgress, index: CapacityIndex, max_tasks: int, zone: int | None
) -> None:
    """Place tasks by the machine rule.

    A machine that gets a task caches the image from then on, so it gets more until it is full.
    """
    request = job.request
    heap = [
        (machine.placement_key(request), machine.machine_index)
        for machine in index.cached_candidates(request, max_tasks, zone)
    ]
    heapq.heapify(heap)
    uncached = index.uncached_candidates(request, zone, job.full_zones)
    while len(job.machines) < max_tasks:
        if not heap:
            candidate = next(uncached, None)
            if candidate is None:
                return
            heap.append((candidate.placement_key(request), candidate.machine_index))
        machine = index.machines[heap[0][1]]
        if not job.is_zone_open(machine.zone):
            heapq.heappop(heap)
            continue
        job.take(machine)
        if machine.fits(request):
            heapq.heapreplace(heap, (machine.placement_key(request), machine.machine_index))
        else:
            heapq.heappop(heap)
