"""Index of free capacity by machine, sorted so that a placement examines few machines.

Machines of one type, zone and kind (spot or on-demand) form a group: a request allows all of a
group or none of it. A group sorts its machines by the machine rule (see ``bin_packing``), most free
capacity first, and maps each image to the machines that cache it. ``docs/free-room.md`` compares
this with buckets and with a plain list.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection, Iterable, Iterator
from itertools import islice

from sortedcontainers import SortedList

from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE

# Sort key: minus free cores, minus free memory, machine index. A plain tuple, because keys are
# compared very often.
Position = tuple[float, float, int]


def _position(machine: MachineCapacity) -> Position:
    return (-machine.cores, -machine.ram_gb, machine.machine_index)


class _Group:
    """Machines of one type, zone and kind: a request allows either all of them or none."""

    __slots__ = ("by_free_capacity", "by_image", "machine_type", "spot", "zone")

    def __init__(self, machine_type: int, zone: int, spot: bool) -> None:
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.by_free_capacity: SortedList[Position] = SortedList()
        self.by_image: dict[int, set[int]] = {}

    def add_images(self, images: Iterable[int], machine_index: int) -> None:
        for image in images:
            self.by_image.setdefault(image, set()).add(machine_index)

    def discard_images(self, images: Iterable[int], machine_index: int) -> None:
        for image in images:
            caching = self.by_image[image]
            caching.discard(machine_index)
            if not caching:
                del self.by_image[image]

    def count_with_cores(self, cores: float) -> int:
        """Number of machines with enough free cores; they come first in ``by_free_capacity``."""
        return self.by_free_capacity.bisect_right((CAPACITY_TOLERANCE - cores, math.inf, 0))


class _IndexEntry:
    """The group, position and images under which a machine is indexed."""

    __slots__ = ("group", "images", "position")

    def __init__(self, group: _Group, position: Position, images: set[int]) -> None:
        self.group = group
        self.position = position
        self.images = images


class CapacityIndex:
    """Free capacity of machines, by machine index.

    A round's decisions change a ``MachineCapacity`` in place and call ``reindex``.
    ``modified_machines`` holds the machines that therefore differ from the cluster state;
    ``FreeCapacity`` puts them into the index again after the round. ``examined_count`` counts the
    machines that queries have examined.
    """

    def __init__(self, machines: Iterable[MachineCapacity] = ()) -> None:
        self.machines: dict[int, MachineCapacity] = {}
        self.modified_machines: set[int] = set()
        self.examined_count = 0
        self._groups: dict[tuple[int, int, bool], _Group] = {}  # by type, zone and spot
        self._entries: dict[int, _IndexEntry] = {}
        for machine in machines:
            self.put(machine)

    # ---- changes ----------------------------------------------------------------------------

    def put(self, machine: MachineCapacity) -> None:
        """Add a machine, or replace its entry."""
        self.discard(machine.machine_index)
        key = (machine.machine_type, machine.zone, machine.spot)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group(*key)
        position = _position(machine)
        group.by_free_capacity.add(position)
        group.add_images(machine.images, machine.machine_index)
        self.machines[machine.machine_index] = machine
        self._entries[machine.machine_index] = _IndexEntry(group, position, set(machine.images))

    def discard(self, machine_index: int) -> None:
        """Remove a machine, if it is in the index."""
        entry = self._entries.pop(machine_index, None)
        if entry is None:
            return
        group = entry.group
        group.by_free_capacity.remove(entry.position)
        group.discard_images(entry.images, machine_index)
        if not group.by_free_capacity:
            del self._groups[group.machine_type, group.zone, group.spot]
        del self.machines[machine_index]

    def reindex(self, machine: MachineCapacity) -> None:
        """Restore the order after a decision has taken capacity or added an image."""
        entry = self._entries[machine.machine_index]
        group = entry.group
        group.by_free_capacity.remove(entry.position)
        entry.position = _position(machine)
        group.by_free_capacity.add(entry.position)
        new_images = machine.images - entry.images
        if new_images:
            group.add_images(new_images, machine.machine_index)
            entry.images |= new_images
        self.modified_machines.add(machine.machine_index)

    def withhold(self, machine_index: int) -> None:
        """Remove a machine until the next ``put``; adds it to ``modified_machines``."""
        self.discard(machine_index)
        self.modified_machines.add(machine_index)

    # ---- queries ----------------------------------------------------------------------------

    def _allowed_groups(self, request: PlacementRequest, zone: int | None) -> list[_Group]:
        """Return the groups that the request may use, only those in ``zone`` if it is not None."""
        return [
            group
            for group in self._groups.values()
            if (request.spot_allowed or not group.spot)
            and (request.machine_types is None or group.machine_type in request.machine_types)
            and (request.zone is None or group.zone == request.zone)
            and (zone is None or group.zone == zone)
        ]

    def _examine(self, machine: MachineCapacity, request: PlacementRequest) -> bool:
        """Whether one task fits on a machine of an allowed group; counts it as examined."""
        self.examined_count += 1
        return machine.machine_index not in request.excluded_machines and machine.fits(request)

    def fitting_by_group(
        self, request: PlacementRequest, zone: int | None = None
    ) -> Iterator[tuple[int, Iterator[MachineCapacity]]]:
        """Yield each allowed group's zone and its fitting machines, most free first."""
        for group in self._allowed_groups(request, zone):
            yield group.zone, self._fitting_in(group, request)

    def _fitting_in(self, group: _Group, request: PlacementRequest) -> Iterator[MachineCapacity]:
        for position in islice(group.by_free_capacity, group.count_with_cores(request.cores)):
            machine = self.machines[position[2]]
            if self._examine(machine, request):
                yield machine

    def fits_somewhere(self, request: PlacementRequest) -> bool:
        """Whether one task of the request fits on any machine."""
        return any(
            next(machines, None) is not None for _, machines in self.fitting_by_group(request)
        )

    def cached_candidates(
        self, request: PlacementRequest, count: int, zone: int | None = None
    ) -> list[MachineCapacity]:
        """Fitting machines that cache the image, at least the ``count`` most free of each group."""
        candidates: list[MachineCapacity] = []
        for group in self._allowed_groups(request, zone):
            caching = group.by_image.get(request.image)
            if caching:
                candidates += self._cached_in(group, caching, request, count)
        return candidates

    def _cached_in(
        self, group: _Group, caching: set[int], request: PlacementRequest, count: int
    ) -> list[MachineCapacity]:
        """Fitting machines of one group that cache the image, at least the ``count`` most free.

        The first iteration, by free capacity, ends at the latest after as many machines as cache
        the image. The second, over the machines that cache the image, runs only if they are fewer
        than the machines with enough cores. If many machines cache the image, the first few by free
        capacity include enough of them; if few do, these few are examined.
        """
        with_cores = group.count_with_cores(request.cores)
        candidates: list[MachineCapacity] = []
        for position in islice(group.by_free_capacity, min(with_cores, len(caching))):
            if position[2] not in caching:
                self.examined_count += 1
                continue
            machine = self.machines[position[2]]
            if self._examine(machine, request):
                candidates.append(machine)
                if len(candidates) >= count:
                    return candidates
        if with_cores <= len(caching):
            return candidates
        machines = (self.machines[machine_index] for machine_index in caching)
        return [machine for machine in machines if self._examine(machine, request)]

    def uncached_candidates(
        self, request: PlacementRequest, zone: int | None = None, full_zones: Collection[int] = ()
    ) -> Iterator[MachineCapacity]:
        """Fitting machines that do not cache the image, most free first.

        ``full_zones``: zones that accept no more tasks of the job. The caller may add to it during
        the iteration; it is checked before each machine.
        """

        def of_group(
            group_zone: int, machines: Iterator[MachineCapacity]
        ) -> Iterator[tuple[Position, MachineCapacity]]:
            for machine in machines:
                if group_zone in full_zones:
                    return
                if request.image not in machine.images:
                    yield _position(machine), machine

        groups = [of_group(*group) for group in self.fitting_by_group(request, zone)]
        merged = heapq.merge(*groups, key=lambda positioned: positioned[0])
        return (machine for _, machine in merged)

    def best_candidates(
        self, request: PlacementRequest, count: int, zone: int | None = None
    ) -> list[MachineCapacity]:
        """The first ``count`` fitting machines of each group by the machine rule.

        A group may contribute more than ``count``, or fewer if fewer of its machines fit.
        """
        candidates: list[MachineCapacity] = []
        for group in self._allowed_groups(request, zone):
            caching = group.by_image.get(request.image, set())
            cached = self._cached_in(group, caching, request, count)
            candidates += cached
            if len(cached) < count:
                fitting = self._fitting_in(group, request)
                uncached = (machine for machine in fitting if machine.machine_index not in caching)
                candidates += islice(uncached, count)
        return candidates

    def most_free(
        self, request: PlacementRequest, machine_types: Collection[int], exclude: Collection[int]
    ) -> MachineCapacity | None:
        """The allowed machine of these types with the most free capacity, even if no task fits.

        ``exclude``: indices of machines that must not be chosen.
        """
        candidates = []
        for group in self._groups.values():
            if group.machine_type in machine_types:
                candidate = self._most_free_in(group, request, exclude)
                if candidate is not None:
                    candidates.append(candidate)
        return min(candidates, key=_position, default=None)

    def _most_free_in(
        self, group: _Group, request: PlacementRequest, exclude: Collection[int]
    ) -> MachineCapacity | None:
        for position in group.by_free_capacity:
            self.examined_count += 1
            machine = self.machines[position[2]]
            if machine.machine_index in request.excluded_machines:
                continue
            if not machine.allows(request):
                return None  # the request allows no machine of this group
            if machine.machine_index not in exclude:
                return machine
        return None
