"""The choice of a machine for each replica of a service in one round."""

from __future__ import annotations

import heapq

from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.machine_capacity import MachineCapacity, PlacementKey
from petrelthread.scheduling.placement_in_progress import PlacementInProgress

# Number of the job's replicas on a machine, and the machine's key by the machine rule.
ReplicaKey = tuple[int, PlacementKey]


def place_replicas(
    placement: PlacementInProgress, index: CapacityIndex, max_tasks: int, zone: int | None
) -> None:
    """Place each replica where the job has the fewest replicas, then by the machine rule.

    If the job spreads over zones, the count in the zone comes before that on the machine. By the
    machine rule alone, all replicas would go to one machine that caches their image.
    """
    # Only machines with replicas and, in each group of the index, the best ``max_tasks`` others can
    # be chosen.
    count = max_tasks + len(placement.request.occupancy.machines)
    candidates = _CandidatesByZone(placement, index.best_candidates(placement.request, count, zone))
    while len(placement.machines) < max_tasks:
        machine = candidates.pop_best()
        if machine is None:
            break
        placement.take(machine)
        candidates.push(machine)


class _CandidatesByZone:
    """The machines on which one more replica fits, as a heap for each zone."""

    def __init__(self, placement: PlacementInProgress, machines: list[MachineCapacity]) -> None:
        self._placement = placement
        self._request = placement.request
        self._machines = {machine.machine_index: machine for machine in machines}
        self._heaps: dict[int, list[ReplicaKey]] = {}
        for machine in machines:
            self.push(machine)

    def push(self, machine: MachineCapacity) -> None:
        """Add a machine, unless it has no room for one more replica."""
        if machine.fits(self._request):
            replicas = self._request.occupancy.machines.get(machine.machine_index, 0)
            key = (replicas, machine.placement_key(self._request))
            heapq.heappush(self._heaps.setdefault(machine.zone, []), key)

    def pop_best(self) -> MachineCapacity | None:
        """Remove and return the best machine in the zones that may take one more replica."""
        open_zones = [
            zone
            for zone, heap in self._heaps.items()
            if heap and self._placement.is_zone_open(zone)
        ]
        if not open_zones:
            return None
        zone = min(open_zones, key=lambda zone: (self._replicas_in(zone), self._heaps[zone][0]))
        _, (*_, machine_index) = heapq.heappop(self._heaps[zone])
        return self._machines[machine_index]

    def _replicas_in(self, zone: int) -> int:
        """Replicas in the zone, if the job spreads over zones."""
        return self._request.occupancy.zones.get(zone, 0) if self._request.spread_zones else 0
