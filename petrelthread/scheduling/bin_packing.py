"""One round of placement.

The machine rule: a fitting machine that caches the image, else the roomiest fitting one, in the
task's zone if it has one. Among several that cache the image, the roomiest.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from petrelthread.scheduling.capacity_index import RoomIndex
from petrelthread.scheduling.occupancy import spread_limit
from petrelthread.scheduling.slot import EPS, PlacementRequest, QuotaHeadroom, Slot


class PlacementResult(NamedTuple):
    placed: list[tuple[int, int]]  # job, machine: one entry a task
    next_start: int  # where to go on if the time was up; 0 when the round got through


def zone_headroom(request: PlacementRequest) -> Callable[[int], int]:
    """How many more tasks of the job may go to a zone."""

    def room(zone: int) -> int:
        if request.single_zone and not request.occupancy.only_in((zone,)):
            return 0
        if request.spread_zones:
            return spread_limit(request.tasks) - request.occupancy.most_in(zone)
        return request.pending

    return room


def choose_zone(request: PlacementRequest, room: RoomIndex, most: int) -> int | None:
    """For a job that must be in one zone: where its tasks are, else where most of them fit."""
    if request.occupancy.zones:
        return next(iter(request.occupancy.zones))
    fits: dict[int, int] = {}
    for zone, slots in room.fitting(request):
        for slot in slots:
            count = int((slot.cores + EPS) / request.cores) if request.cores > 0 else most
            fits[zone] = fits.get(zone, 0) + count
            if fits[zone] >= most:
                break
    if not fits:
        return None
    return min(fits, key=lambda zone: (-min(fits[zone], most), zone))


def place_requests(
    requests: list[PlacementRequest],
    room: RoomIndex,
    teams: list[QuotaHeadroom],
    start: int = 0,
    expired: Callable[[], bool] = lambda: False,
) -> PlacementResult:
    """Serve the requests in order, changing free room and quota headroom as it goes.

    When the time is up, the next round starts with the first request that was not looked at.
    """
    placed: list[tuple[int, int]] = []
    count = len(requests)
    start = start % count if count else 0
    for step in range(count):
        if step and expired():
            return PlacementResult(placed, (start + step) % count)
        request = requests[(start + step) % count]
        got = _place_job(request, room, teams[request.team])
        placed += [(request.job, machine) for machine in got]
    return PlacementResult(placed, 0)


class _JobPlacement:
    """The tasks of one request as they are placed, with account of all that they take."""

    def __init__(self, request: PlacementRequest, room: RoomIndex, team: QuotaHeadroom) -> None:
        self.request = request
        self.machines: list[int] = []  # one entry a task
        self.full_zones: set[int] = set()
        self._room = room
        self._team = team
        self._zone_room = zone_headroom(request)
        self._zone_left: dict[int, int] = {}
        self._before: dict[int, Slot] = {}  # copies of the slots that got tasks
        self._quota_before = (team.cores, team.accelerators)
        self._occupancy_before = request.occupancy.copy()

    def zone_open(self, zone: int) -> bool:
        """Whether the zone may take one more task of the job."""
        if zone not in self._zone_left:
            self._zone_left[zone] = self._zone_room(zone)
        if self._zone_left[zone] <= 0:
            self.full_zones.add(zone)
        return zone not in self.full_zones

    def take(self, slot: Slot) -> None:
        """Count one start everywhere that later decisions of the round look."""
        if slot.machine not in self._before:
            self._before[slot.machine] = slot.copy()
        self._zone_left[slot.zone] -= 1
        slot.take(self.request)
        self._team.take(self.request, 1)
        self.request.occupancy.add(slot.zone, slot.machine)
        self.machines.append(slot.machine)

    def finish(self) -> list[int]:
        """Keep what was placed: the machines, one entry a task."""
        for machine in self._before:
            self._room.moved(self._room.slots[machine])
        return self.machines

    def undo(self) -> list[int]:
        """Give back all that was placed."""
        for machine, before in self._before.items():
            self._room.slots[machine].restore(before)
        self._team.cores, self._team.accelerators = self._quota_before
        self.request.occupancy.restore(self._occupancy_before)
        return []


def _place_job(request: PlacementRequest, room: RoomIndex, team: QuotaHeadroom) -> list[int]:
    most = team.max_tasks(request)
    if most <= 0 or (request.all_or_nothing and most < request.pending):
        return []
    only = None
    if request.single_zone:
        wanted = request._replace(pending=max(request.pending, request.zone_tasks))
        only = choose_zone(request, room, team.max_tasks(wanted))
        if only is None:
            return []
    job = _JobPlacement(request, room, team)
    if request.spread_machines:
        _place_spread(job, room, most, only)
    else:
        _place_by_rule(job, room, most, only)
    if request.all_or_nothing and len(job.machines) < request.pending:
        return job.undo()
    return job.finish()


def _place_spread(job: _JobPlacement, room: RoomIndex, most: int, only: int | None) -> None:
    """Replicas one by one: where the fewest of the job are, zone first if it asks for that; then by
    the machine rule. By that rule alone all went to the one machine that cached their image."""
    request, there = job.request, job.request.occupancy
    # Besides the machines with replicas, a group's first ``most`` are all that can be chosen.
    slots = room.candidates(request, most + len(there.machines), only)
    while len(job.machines) < most:
        fitting = [slot for slot in slots if job.zone_open(slot.zone) and slot.fits(request)]
        if not fitting:
            break
        best = min(
            fitting,
            key=lambda slot: (
                there.zones.get(slot.zone, 0) if request.spread_zones else 0,
                there.machines.get(slot.machine, 0),
                slot.rank(request),
            ),
        )
        job.take(best)


def _place_by_rule(job: _JobPlacement, room: RoomIndex, most: int, only: int | None) -> None:
    """Machines that cache the image first, then the roomiest. One that gets a task caches the image
    from then on, so it goes on getting them until it is full."""
    request = job.request
    heap = [(slot.rank(request), slot.machine) for slot in room.cached(request, most, only)]
    heapq.heapify(heap)
    others = room.uncached(request, only, job.full_zones)
    while len(job.machines) < most:
        if not heap:
            found = next(others, None)
            if found is None:
                return
            heap.append((found.rank(request), found.machine))
        slot = room.slots[heap[0][1]]
        if not job.zone_open(slot.zone):
            heapq.heappop(heap)
            continue
        job.take(slot)
        if slot.fits(request):
            heapq.heapreplace(heap, (slot.rank(request), slot.machine))
        else:
            heapq.heappop(heap)
