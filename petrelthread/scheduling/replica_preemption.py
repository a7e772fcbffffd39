"""Selection of running tasks to preempt so that the missing replicas of all services fit.

The selection works on copies of the capacity that is free or about to become free, and does not
change the cluster state.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim
from petrelthread.scheduling.victim_selection import select_victims_on, victims_by_machine
from petrelthread.scheduling.zone_rules import zone_headroom


class _Candidate(NamedTuple):
    """A machine for one replica and the tasks to preempt there; the smallest tuple is chosen."""

    replicas_on_machine: int
    fetches_image: bool
    cost_s: float
    machine_index: int
    victims: tuple[Victim, ...]


class ReplicaVictimSelector:
    """Selects victims for one service at a time and takes earlier selections into account."""

    def __init__(
        self,
        machines: dict[int, MachineCapacity],
        victims: list[Victim],
        cores_over_guarantee: list[float],
    ) -> None:
        """``machines``: copies that count the capacity of stopping tasks as free."""
        self._machines = machines
        self._cores_over_guarantee = list(cores_over_guarantee)
        self._victims = victims_by_machine(victims)

    def select_victims(self, shortfall: CapacityShortfall) -> list[Victim]:
        """Tasks to preempt for one service's replicas; none for a replica that fits already."""
        request = shortfall.request._replace(occupancy=shortfall.request.occupancy.copy())
        shortfall = shortfall._replace(request=request)
        candidates = self._candidates_by_zone(shortfall)
        victims: list[Victim] = []
        for _ in range(shortfall.missing):
            best = self._pop_best(candidates, shortfall)
            if best is None:
                break
            machine = self._machines[best.machine_index]
            self._take(best, request)
            request.occupancy.add(machine.zone, best.machine_index)
            victims += best.victims
            candidate = self._candidate(machine, shortfall)
            if candidate is not None:
                heapq.heappush(candidates[machine.zone], candidate)
        return victims

    def _candidates_by_zone(self, shortfall: CapacityShortfall) -> dict[int, list[_Candidate]]:
        """All machines on which a replica could be placed, as a heap for each zone."""
        by_zone: dict[int, list[_Candidate]] = {}
        for machine in self._machines.values():
            if machine.allows(shortfall.request):
                candidate = self._candidate(machine, shortfall)
                if candidate is not None:
                    by_zone.setdefault(machine.zone, []).append(candidate)
        for candidates in by_zone.values():
            heapq.heapify(candidates)
        return by_zone

    def _candidate(
        self, machine: MachineCapacity, shortfall: CapacityShortfall
    ) -> _Candidate | None:
        """The tasks to preempt on one machine for one replica; None if preemption is not enough."""
        on_machine = self._victims.get(machine.machine_index, ())
        victims = select_victims_on(machine, shortfall, on_machine, self._cores_over_guarantee)
        if victims is None:
            return None
        request = shortfall.request
        return _Candidate(
            request.occupancy.machines.get(machine.machine_index, 0),
            request.image not in machine.images,
            sum(victim.cost_s for victim in victims),
            machine.machine_index,
            tuple(victims),
        )

    def _pop_best(
        self, by_zone: dict[int, list[_Candidate]], shortfall: CapacityShortfall
    ) -> _Candidate | None:
        """Remove and return the best candidate, in the zone with the fewest replicas if it spreads.

        Preemptions on other machines may have left a team less beyond its guarantee, so that other
        tasks have to be preempted than those of the candidate: it is then examined again.
        """
        request = shortfall.request
        headroom = zone_headroom(request)
        while True:
            open_zones = [zone for zone, heap in by_zone.items() if heap and headroom(zone) > 0]
            if not open_zones:
                return None
            replicas = request.occupancy.zones if request.spread_zones else {}
            zone = min(open_zones, key=lambda zone: (replicas.get(zone, 0), by_zone[zone][0]))
            best = heapq.heappop(by_zone[zone])
            current = self._candidate(self._machines[best.machine_index], shortfall)
            if current == best:
                return best
            if current is not None:
                heapq.heappush(by_zone[zone], current)

    def _take(self, candidate: _Candidate, request: PlacementRequest) -> None:
        machine = self._machines[candidate.machine_index]
        for victim in candidate.victims:
            self._victims[candidate.machine_index].remove(victim)
            self._cores_over_guarantee[victim.team] -= victim.cores
            machine.release(victim.cores, victim.accelerators, victim.ram_gb)
        machine.take(request)
