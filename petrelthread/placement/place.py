"""One round of placement.

The machine rule: a fitting machine that caches the image, else the roomiest fitting one, in the
task's zone if it has one. Among several that cache the image, the roomiest.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from petrelthread.placement.occupancy import JobOccupancy, spread_limit

EPS = 1e-6


class Slot:
    """What is free on one machine."""

    __slots__ = ("accelerators", "cores", "images", "machine", "ram_gb", "spot", "type", "zone")

    def __init__(
        self,
        machine: int,
        type: int,
        zone: int,
        spot: bool,
        cores: float,
        accelerators: float,
        ram_gb: float,
        images: set[int],
    ) -> None:
        self.machine = machine
        self.type = type
        self.zone = zone
        self.spot = spot
        self.cores = cores
        self.accelerators = accelerators
        self.ram_gb = ram_gb
        self.images = images

    def fits(self, request: PlacementRequest) -> bool:
        return (
            self.cores + EPS >= request.cores
            and self.accelerators + EPS >= request.accelerators
            and self.ram_gb + EPS >= request.ram_gb
        )

    def allowed(self, request: PlacementRequest) -> bool:
        return (
            (request.spot or not self.spot)
            and (request.types is None or self.type in request.types)
            and (request.zone is None or self.zone == request.zone)
            and self.machine not in request.avoid
        )

    def take(self, request: PlacementRequest) -> None:
        self.cores -= request.cores
        self.accelerators -= request.accelerators
        self.ram_gb -= request.ram_gb
        self.images.add(request.image)

    def give_back(self, cores: float, accelerators: float, ram_gb: float) -> None:
        self.cores += cores
        self.accelerators += accelerators
        self.ram_gb += ram_gb

    def copy(self) -> Slot:
        return Slot(
            self.machine,
            self.type,
            self.zone,
            self.spot,
            self.cores,
            self.accelerators,
            self.ram_gb,
            set(self.images),
        )

    def rank(self, request: PlacementRequest) -> tuple[bool, float, float, int]:
        """Smaller is better."""
        return (request.image not in self.images, -self.cores, -self.ram_gb, self.machine)


class PlacementRequest(NamedTuple):
    """What one job still requests placed."""

    job: int
    team: int
    tasks: int  # of the whole job
    pending: int
    cores: float
    accelerators: float
    ram_gb: float
    image: int
    types: frozenset[int] | None
    zone: int | None
    spot: bool
    single_zone: bool
    spread_zones: bool
    occupancy: JobOccupancy  # shared by all requests of the job, and kept up to date by ``place``
    avoid: frozenset[int] = frozenset()  # machines on which it failed
    whole: bool = False  # a gang: all pending tasks in this round or none
    spread_machines: bool = False  # a service: one loss is to take few of its replicas
    # Of a job that is bound to one zone: for how many tasks the zone is chosen, where this request
    # is for fewer of them.
    zone_tasks: int = 0


class QuotaHeadroom:
    """What a team may still use."""

    __slots__ = ("accelerators", "cores")

    def __init__(self, cores: float, accelerators: float) -> None:
        self.cores = cores
        self.accelerators = accelerators

    def most(self, request: PlacementRequest) -> int:
        most = request.pending
        if request.cores > 0:
            most = min(most, int((self.cores + EPS) / request.cores))
        if request.accelerators > 0:
            most = min(most, int((self.accelerators + EPS) / request.accelerators))
        return max(0, most)

    def take(self, request: PlacementRequest, tasks: int) -> None:
        self.cores -= tasks * request.cores
        self.accelerators -= tasks * request.accelerators


class Round(NamedTuple):
    placed: list[tuple[int, int]]  # job, machine: one entry a task
    next_start: int  # where to go on if the time was up; 0 when the round got through


def zone_room(request: PlacementRequest) -> Callable[[int], int]:
    """How many more tasks of the job may go to a zone."""

    def room(zone: int) -> int:
        if request.single_zone and not request.occupancy.only_in((zone,)):
            return 0
        if request.spread_zones:
            return spread_limit(request.tasks) - request.occupancy.most_in(zone)
        return request.pending

    return room


def choose_zone(request: PlacementRequest, slots: list[Slot], most: int) -> int | None:
    """For a job that must be in one zone: where its tasks are, else where most of them fit."""
    if request.occupancy.zones:
        return next(iter(request.occupancy.zones))
    fits: dict[int, int] = {}
    for slot in slots:
        if slot.allowed(request) and slot.fits(request):
            count = int((slot.cores + EPS) / request.cores) if request.cores > 0 else most
            fits[slot.zone] = fits.get(slot.zone, 0) + count
    if not fits:
        return None
    return min(fits, key=lambda zone: (-min(fits[zone], most), zone))


def place(
    requests: list[PlacementRequest],
    slots: list[Slot],
    teams: list[QuotaHeadroom],
    start: int = 0,
    expired: Callable[[], bool] = lambda: False,
) -> Round:
    """Serve the requests in order, changing slots and team room as it goes.

    When the time is up, the next round starts with the first request that was not looked at.
    """
    placed: list[tuple[int, int]] = []
    count = len(requests)
    start = start % count if count else 0
    roomiest = max((slot.cores for slot in slots), default=0.0)
    for step in range(count):
        if step and expired():
            return Round(placed, (start + step) % count)
        request = requests[(start + step) % count]
        if roomiest + EPS < request.cores:
            continue
        got = _place_job(request, slots, teams[request.team])
        if got:
            placed += [(request.job, machine) for machine in got]
            roomiest = max(slot.cores for slot in slots)
    return Round(placed, 0)


def _spread(
    request: PlacementRequest,
    slots: list[Slot],
    team: QuotaHeadroom,
    most: int,
    room: Callable[[int], int],
) -> list[int]:
    """Replicas one by one: where the fewest of the job are, zone first if it asks for that; then by
    the machine rule. By that rule alone all went to the one machine that cached their image."""
    there = request.occupancy
    left = {slot.zone: room(slot.zone) for slot in slots}
    got: list[int] = []
    while len(got) < most:
        fitting = [slot for slot in slots if left[slot.zone] > 0 and slot.fits(request)]
        if not fitting:
            break
        best = min(
            fitting,
            key=lambda s: (
                there.zones.get(s.zone, 0) if request.spread_zones else 0,
                there.machines.get(s.machine, 0),
                s.rank(request),
            ),
        )
        left[best.zone] -= 1
        _take(request, best, team)
        got.append(best.machine)
    return got


def _take(request: PlacementRequest, slot: Slot, team: QuotaHeadroom) -> None:
    """Count one start everywhere that later decisions of the round look."""
    slot.take(request)
    team.take(request, 1)
    request.occupancy.add(slot.zone, slot.machine)


def _place_job(request: PlacementRequest, slots: list[Slot], team: QuotaHeadroom) -> list[int]:
    most = team.most(request)
    if most <= 0 or (request.whole and most < request.pending):
        return []
    before = [s.copy() for s in slots] if request.whole else []
    occupied = request.occupancy.copy()
    only = None
    if request.single_zone:
        wanted = request._replace(pending=max(request.pending, request.zone_tasks))
        only = choose_zone(request, slots, team.most(wanted))
        if only is None:
            return []
    room = zone_room(request)
    if request.spread_machines:
        open_slots = [s for s in slots if (only is None or s.zone == only) and s.allowed(request)]
        return _spread(request, open_slots, team, min(most, request.pending), room)
    left: dict[int, int] = {}
    heap = []
    for at, slot in enumerate(slots):
        if (only is None or slot.zone == only) and slot.allowed(request) and slot.fits(request):
            left.setdefault(slot.zone, room(slot.zone))
            heap.append((slot.rank(request), at))
    heapq.heapify(heap)
    got: list[int] = []
    limit = (team.cores, team.accelerators)
    while heap and len(got) < most:
        _, at = heap[0]
        slot = slots[at]
        if left[slot.zone] <= 0:
            heapq.heappop(heap)
            continue
        left[slot.zone] -= 1
        _take(request, slot, team)
        got.append(slot.machine)
        if slot.fits(request):
            heapq.heapreplace(heap, (slot.rank(request), at))
        else:
            heapq.heappop(heap)
    if request.whole and len(got) < request.pending:
        slots[:] = before
        team.cores, team.accelerators = limit
        request.occupancy.restore(occupied)
        return []
    return got
