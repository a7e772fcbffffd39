"""Victims for missing replicas: for all services at once, never more than are needed."""

from __future__ import annotations

from petrelthread.scheduling import MachineCapacity, PlacementRequest
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim
from petrelthread.scheduling.replica_preemption import ReplicaVictimSelector

PROD, STANDARD = 3, 1
IMAGE = 7
NO_SURPLUS = [0.0, 0.0]  # cores beyond the guarantee, by team


def machine(
    index: int, free_cores: float = 0.0, zone: int = 0, images: set[int] | None = None
) -> MachineCapacity:
    return MachineCapacity(index, 0, zone, False, free_cores, 0.0, 64.0, images or set())


def victim(
    job: int, task: int, machine_index: int, lost_s: float, priority: int = STANDARD
) -> Victim:
    return Victim(job, task, 1, priority, machine_index, 2.0, 0.0, 4.0, lost_s)


def shortfall(job: int, missing: int, spread_zones: bool = False) -> CapacityShortfall:
    """A service of four replicas, of which so many have no machine."""
    request = PlacementRequest(
        job,
        0,
        4,
        missing,
        1.0,
        0.0,
        1.0,
        IMAGE,
        None,
        None,
        False,
        False,
        spread_zones,
        JobOccupancy(),
    )._replace(spread_machines=True)
    return CapacityShortfall(request, PROD, True, missing)


def test_victims_for_several_services_are_selected_at_once() -> None:
    machines = {index: machine(index) for index in range(3)}
    victims = [victim(5, task, task % 3, 10.0 + task) for task in range(9)]
    selector = ReplicaVictimSelector(machines, victims, NO_SURPLUS)
    selected = [selector.select_victims(shortfall(job, 3)) for job in (1, 2)]
    # A victim frees two cores: the second service finds the other one of each machine free.
    assert [v.task for v in selected[0]] == [0, 1, 2]
    assert selected[1] == []
    assert [v.task for v in selector.select_victims(shortfall(3, 1))] == [3]


def test_nothing_is_preempted_for_a_replica_that_fits() -> None:
    machines = {0: machine(0, free_cores=2.0), 1: machine(1)}
    selector = ReplicaVictimSelector(machines, [victim(5, 0, 1, 1.0)], NO_SURPLUS)
    assert selector.select_victims(shortfall(1, 1)) == []
    # This takes all that is free on the first machine; the second replica needs the other one.
    assert [v.task for v in selector.select_victims(shortfall(2, 2))] == [0]


def test_nothing_is_preempted_in_a_full_zone_or_of_the_same_priority() -> None:
    machines = {0: machine(0, zone=0), 1: machine(1, zone=0), 2: machine(2, zone=1)}
    victims = [victim(5, task, task % 2, 1.0) for task in range(4)]
    victims.append(victim(6, 0, 2, 1.0, priority=PROD))
    selector = ReplicaVictimSelector(machines, victims, NO_SURPLUS)
    selected = selector.select_victims(shortfall(1, 4, spread_zones=True))
    assert {v.machine_index for v in selected} == {0, 1}
    assert len(selected) == 2  # at most half of the replicas may be in one zone


def test_a_machine_that_caches_the_image_is_preferred_to_a_smaller_loss() -> None:
    machines = {0: machine(0), 1: machine(1, images={IMAGE})}
    victims = [victim(5, 0, 0, 1.0), victim(5, 1, 1, 30.0)]
    selector = ReplicaVictimSelector(machines, victims, NO_SURPLUS)
    assert [v.machine_index for v in selector.select_victims(shortfall(1, 1))] == [1]
