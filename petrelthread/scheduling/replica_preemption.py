"""Selection of running tasks to preempt so that the missing replicas of all services fit.

The selection works on copies of the capacity that is free or about to become free, and does not
change the cluster state.
"""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim
from petrelthread.scheduling.victim_selection import select_victims_on, victims_by_machine
from petrelthread.scheduling.zone_rules import zone_headroom


class _Candidate(NamedTuple):
    """A machine for one replica and the tasks to preempt there; the smallest tuple is chosen."""

    replicas_in_zone: int  # 0 where the service is not spread over zones
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
        request = shortfall.request
        occupancy = request.occupancy.copy()
        victims: list[Victim] = []
        for _ in range(shortfall.missing):
            best = self._best_candidate(shortfall, occupancy)
            if best is None:
                break
            self._take(best, request)
            occupancy.add(self._machines[best.machine_index].zone, best.machine_index)
            victims += best.victims
        return victims

    def _best_candidate(
        self, shortfall: CapacityShortfall, occupancy: JobOccupancy
    ) -> _Candidate | None:
        request = shortfall.request
        headroom = zone_headroom(request._replace(occupancy=occupancy))
        candidates = []
        for machine_index, machine in self._machines.items():
            if not machine.allows(request) or headroom(machine.zone) <= 0:
                continue
            on_machine = self._victims.get(machine_index, ())
            victims = select_victims_on(machine, shortfall, on_machine, self._cores_over_guarantee)
            if victims is None:
                continue
            candidates.append(
                _Candidate(
                    occupancy.zones.get(machine.zone, 0) if request.spread_zones else 0,
                    occupancy.machines.get(machine_index, 0),
                    request.image not in machine.images,
                    sum(victim.cost_s for victim in victims),
                    machine_index,
                    tuple(victims),
                )
            )
        return min(candidates, default=None)

    def _take(self, candidate: _Candidate, request: PlacementRequest) -> None:
        machine = self._machines[candidate.machine_index]
        for victim in candidate.victims:
            self._victims[candidate.machine_index].remove(victim)
            self._cores_over_guarantee[victim.team] -= victim.cores
            machine.release(victim.cores, victim.accelerators, victim.ram_gb)
        machine.take(request)
