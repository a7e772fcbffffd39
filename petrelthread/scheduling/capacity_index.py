"""Free room by machine, ordered so that a decision looks at few machines.

Machines of one type, zone and kind form a group: a request allows all of a group or none of it.
Within a group they are sorted by the machine rule's order, the roomiest first, and for each image
the machines that cache it are known. Weighed against buckets and a plain list in
``docs/free-room.md``.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection, Iterable, Iterator
from itertools import islice

from sortedcontainers import SortedList

from petrelthread.scheduling.slot import EPS, PlacementRequest, Slot

Position = tuple[float, float, int]  # minus free cores, minus free memory, machine
GroupKey = tuple[int, int, bool]  # type, zone, spot


def _position(slot: Slot) -> Position:
    return (-slot.cores, -slot.ram_gb, slot.machine)


class _Group:
    """Machines that every request either may use or may not."""

    __slots__ = ("by_image", "by_room")

    def __init__(self) -> None:
        self.by_room: SortedList[Position] = SortedList()
        self.by_image: dict[int, set[int]] = {}

    def with_room(self, cores: float) -> int:
        """How many machines have so many cores free: they are the first of ``by_room``."""
        return self.by_room.bisect_right((EPS - cores, math.inf, 0))


class RoomIndex:
    """Slots by machine. ``looked_at`` counts the machines that queries have examined.

    Decisions of a round change slots in place and call ``moved``; ``touched`` says which machines
    differ from what is really there until they are put anew.
    """

    def __init__(self, slots: Iterable[Slot] = ()) -> None:
        self.slots: dict[int, Slot] = {}
        self.touched: set[int] = set()
        self.looked_at = 0
        self._groups: dict[GroupKey, _Group] = {}
        self._indexed: dict[int, tuple[GroupKey, Position, set[int]]] = {}
        for slot in slots:
            self.put(slot)

    # ---- changes ----------------------------------------------------------------------------

    def put(self, slot: Slot) -> None:
        """Add a machine, or replace what is known of it."""
        self.discard(slot.machine)
        key = (slot.machine_type, slot.zone, slot.spot)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
        position = _position(slot)
        group.by_room.add(position)
        for image in slot.images:
            group.by_image.setdefault(image, set()).add(slot.machine)
        self.slots[slot.machine] = slot
        self._indexed[slot.machine] = (key, position, set(slot.images))

    def discard(self, machine: int) -> None:
        """Remove a machine, if it is there."""
        indexed = self._indexed.pop(machine, None)
        if indexed is None:
            return
        key, position, images = indexed
        group = self._groups[key]
        group.by_room.remove(position)
        for image in images:
            group.by_image[image].discard(machine)
            if not group.by_image[image]:
                del group.by_image[image]
        if not group.by_room:
            del self._groups[key]
        del self.slots[machine]

    def moved(self, slot: Slot) -> None:
        """A decision has taken room or added an image; bring the order up to date."""
        key, position, images = self._indexed[slot.machine]
        group = self._groups[key]
        group.by_room.remove(position)
        position = _position(slot)
        group.by_room.add(position)
        for image in slot.images - images:
            group.by_image.setdefault(image, set()).add(slot.machine)
        self._indexed[slot.machine] = (key, position, images | slot.images)
        self.touched.add(slot.machine)

    def withhold(self, machine: int) -> None:
        """Leave a machine out until it is put anew."""
        self.discard(machine)
        self.touched.add(machine)

    # ---- queries ----------------------------------------------------------------------------

    def _allowed(self, request: PlacementRequest, zone: int | None) -> list[tuple[int, _Group]]:
        """Zone and group, for each group that the request may use."""
        return [
            (key[1], group)
            for key, group in self._groups.items()
            if (request.spot_allowed or not key[2])
            and (request.machine_types is None or key[0] in request.machine_types)
            and (request.zone is None or key[1] == request.zone)
            and (zone is None or key[1] == zone)
        ]

    def _fits(self, slot: Slot, request: PlacementRequest) -> bool:
        self.looked_at += 1
        return slot.machine not in request.excluded_machines and slot.fits(request)

    def fitting(
        self, request: PlacementRequest, zone: int | None = None
    ) -> Iterator[tuple[int, Iterator[Slot]]]:
        """For each group that is allowed: its zone and the fitting slots, the roomiest first."""
        for group_zone, group in self._allowed(request, zone):
            yield group_zone, self._fitting_in(group, request)

    def _fitting_in(self, group: _Group, request: PlacementRequest) -> Iterator[Slot]:
        for position in islice(group.by_room, group.with_room(request.cores)):
            slot = self.slots[position[2]]
            if self._fits(slot, request):
                yield slot

    def fits_somewhere(self, request: PlacementRequest) -> bool:
        """Whether one task of the request has room on any machine."""
        return any(next(slots, None) is not None for _, slots in self.fitting(request))

    def cached(self, request: PlacementRequest, most: int, zone: int | None = None) -> list[Slot]:
        """Fitting slots that cache the image: of each group at least the roomiest ``most``."""
        found: list[Slot] = []
        for _, group in self._allowed(request, zone):
            machines = group.by_image.get(request.image)
            if machines:
                found += self._cached_in(group, machines, request, most)
        return found

    def _cached_in(
        self, group: _Group, machines: set[int], request: PlacementRequest, most: int
    ) -> list[Slot]:
        """Either list is walked no further than the shorter of the two is long.

        Where many machines cache the image, the first of the roomiest soon do; where few do, these
        few are looked at.
        """
        with_room = group.with_room(request.cores)
        found: list[Slot] = []
        for position in islice(group.by_room, min(with_room, len(machines))):
            if position[2] in machines:
                slot = self.slots[position[2]]
                if self._fits(slot, request):
                    found.append(slot)
                    if len(found) >= most:
                        return found
            else:
                self.looked_at += 1
        if with_room <= len(machines):
            return found
        fitting = (self.slots[machine] for machine in machines)
        return [slot for slot in fitting if self._fits(slot, request)]

    def uncached(
        self, request: PlacementRequest, zone: int | None = None, full: Collection[int] = ()
    ) -> Iterator[Slot]:
        """Fitting slots that do not cache the image, the roomiest first.

        ``full``: zones that may take no more; looked at anew before each slot.
        """

        def of_group(group_zone: int, slots: Iterator[Slot]) -> Iterator[tuple[Position, Slot]]:
            for slot in slots:
                if group_zone in full:
                    return
                if request.image not in slot.images:
                    yield _position(slot), slot

        groups = [of_group(*found) for found in self.fitting(request, zone)]
        return (slot for _, slot in heapq.merge(*groups, key=lambda found: found[0]))

    def candidates(
        self, request: PlacementRequest, most: int, zone: int | None = None
    ) -> list[Slot]:
        """Of each group the fitting slots that come first by the machine rule, at least ``most`` of
        them if there are so many."""
        found: list[Slot] = []
        for _, group in self._allowed(request, zone):
            machines = group.by_image.get(request.image, set())
            cached = self._cached_in(group, machines, request, most)
            found += cached
            if len(cached) < most:
                slots = self._fitting_in(group, request)
                others = (slot for slot in slots if slot.machine not in machines)
                found += islice(others, most)
        return found

    def roomiest(
        self, request: PlacementRequest, types: Collection[int], without: Collection[int]
    ) -> Slot | None:
        """The allowed machine of these types with most free, whether or not the request fits."""
        firsts = []
        for (machine_type, _, _), group in self._groups.items():
            if machine_type not in types:
                continue
            for position in group.by_room:
                self.looked_at += 1
                slot = self.slots[position[2]]
                if not slot.allowed(request):
                    if slot.machine in request.excluded_machines:
                        continue
                    break
                if slot.machine not in without:
                    firsts.append(slot)
                    break
        return min(firsts, key=_position, default=None)
