"""One round of placement.

The machine rule: a fitting machine that caches the image, else the roomiest fitting one, in the
task's zone if it has one. Among several that cache the image, the roomiest.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

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

    def fits(self, want: Want) -> bool:
        return (
            self.cores + EPS >= want.cores
            and self.accelerators + EPS >= want.accelerators
            and self.ram_gb + EPS >= want.ram_gb
        )

    def allowed(self, want: Want) -> bool:
        return (
            (want.spot or not self.spot)
            and (want.types is None or self.type in want.types)
            and (want.zone is None or self.zone == want.zone)
            and self.machine not in want.avoid
        )

    def take(self, want: Want) -> None:
        self.cores -= want.cores
        self.accelerators -= want.accelerators
        self.ram_gb -= want.ram_gb
        self.images.add(want.image)

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

    def rank(self, want: Want) -> tuple[bool, float, float, int]:
        """Smaller is better."""
        return (want.image not in self.images, -self.cores, -self.ram_gb, self.machine)


class Want(NamedTuple):
    """What one job still wants placed."""

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
    same_place: bool
    scatter: bool
    live_zones: dict[int, int]  # where tasks of the job may be now, and how many
    avoid: frozenset[int] = frozenset()  # machines on which it failed
    whole: bool = False  # a gang: all pending tasks in this round or none
    # A service: where its replicas are, by machine. They are spread, so that one loss takes few.
    beside: dict[int, int] | None = None


class TeamRoom:
    """What a team may still use."""

    __slots__ = ("accelerators", "cores")

    def __init__(self, cores: float, accelerators: float) -> None:
        self.cores = cores
        self.accelerators = accelerators

    def most(self, want: Want) -> int:
        most = want.pending
        if want.cores > 0:
            most = min(most, int((self.cores + EPS) / want.cores))
        if want.accelerators > 0:
            most = min(most, int((self.accelerators + EPS) / want.accelerators))
        return max(0, most)

    def take(self, want: Want, tasks: int) -> None:
        self.cores -= tasks * want.cores
        self.accelerators -= tasks * want.accelerators


class Round(NamedTuple):
    placed: list[tuple[int, int]]  # job, machine: one entry a task
    next_start: int  # where to go on if the time was up; 0 when the round got through


def zone_room(want: Want) -> Callable[[int], int]:
    """How many more tasks of the job may go to a zone."""
    half = (want.tasks + 1) // 2

    def room(zone: int) -> int:
        if want.same_place and any(z != zone for z in want.live_zones):
            return 0
        if want.scatter:
            return half - want.live_zones.get(zone, 0)
        return want.pending

    return room


def single_zone(want: Want, slots: list[Slot], most: int) -> int | None:
    """For a job that must be in one zone: where its tasks are, else where most of them fit."""
    if want.live_zones:
        return next(iter(want.live_zones))
    fits: dict[int, int] = {}
    for slot in slots:
        if slot.allowed(want) and slot.fits(want):
            count = int((slot.cores + EPS) / want.cores) if want.cores > 0 else most
            fits[slot.zone] = fits.get(slot.zone, 0) + count
    if not fits:
        return None
    return min(fits, key=lambda zone: (-min(fits[zone], most), zone))


def place(
    wants: list[Want],
    slots: list[Slot],
    teams: list[TeamRoom],
    start: int = 0,
    expired: Callable[[], bool] = lambda: False,
) -> Round:
    """Serve the wants in order, changing slots and team room as it goes.

    When the time is up, the next round starts with the first want that was not looked at.
    """
    placed: list[tuple[int, int]] = []
    count = len(wants)
    start = start % count if count else 0
    roomiest = max((slot.cores for slot in slots), default=0.0)
    for step in range(count):
        if step and expired():
            return Round(placed, (start + step) % count)
        want = wants[(start + step) % count]
        if roomiest + EPS < want.cores:
            continue
        got = _place_job(want, slots, teams[want.team])
        if got:
            placed += [(want.job, machine) for machine in got]
            roomiest = max(slot.cores for slot in slots)
    return Round(placed, 0)


def _spread(
    want: Want,
    beside: dict[int, int],
    slots: list[Slot],
    team: TeamRoom,
    most: int,
    room: Callable[[int], int],
) -> list[int]:
    """Replicas one by one: where the fewest of the job are, zone first if it asks for that; then by
    the machine rule. By that rule alone all went to the one machine that cached their image."""
    on = dict(beside)
    zones = dict(want.live_zones)
    left = {slot.zone: room(slot.zone) for slot in slots}
    got: list[int] = []
    while len(got) < most:
        fitting = [slot for slot in slots if left[slot.zone] > 0 and slot.fits(want)]
        if not fitting:
            break
        best = min(
            fitting,
            key=lambda s: (
                zones.get(s.zone, 0) if want.scatter else 0,
                on.get(s.machine, 0),
                s.rank(want),
            ),
        )
        best.take(want)
        left[best.zone] -= 1
        zones[best.zone] = zones.get(best.zone, 0) + 1
        on[best.machine] = on.get(best.machine, 0) + 1
        team.cores -= want.cores
        team.accelerators -= want.accelerators
        got.append(best.machine)
    return got


def _place_job(want: Want, slots: list[Slot], team: TeamRoom) -> list[int]:
    most = team.most(want)
    if most <= 0 or (want.whole and most < want.pending):
        return []
    before = [s.copy() for s in slots] if want.whole else []
    only = single_zone(want, slots, most) if want.same_place else None
    if want.same_place and only is None:
        return []
    room = zone_room(want)
    if want.beside is not None:
        open_slots = [s for s in slots if (only is None or s.zone == only) and s.allowed(want)]
        return _spread(want, want.beside, open_slots, team, min(most, want.pending), room)
    left: dict[int, int] = {}
    heap = []
    for at, slot in enumerate(slots):
        if (only is None or slot.zone == only) and slot.allowed(want) and slot.fits(want):
            left.setdefault(slot.zone, room(slot.zone))
            heap.append((slot.rank(want), at))
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
        slot.take(want)
        team.cores -= want.cores
        team.accelerators -= want.accelerators
        got.append(slot.machine)
        if slot.fits(want):
            heapq.heapreplace(heap, (slot.rank(want), at))
        else:
            heapq.heappop(heap)
    if want.whole and len(got) < want.pending:
        slots[:] = before
        team.cores, team.accelerators = limit
        return []
    return got
