"""Victims for the missing replicas of several services, never more than are needed."""

from __future__ import annotations

from petrelthread.scheduling import MachineCapacity, PlacementRequest
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim
from petrelthread.scheduling.replica_preemption import ReplicaVictimSelector

PROD, STANDARD = 3, 1
IMAGE = 7
NONE_OVER_GUARANTEE = [0.0, 0.0]  # cores beyond the guarantee, by team


def machine(
    index: int, free_cores: float = 0.0, zone: int = 0, images: set[int] | None = None
) -> MachineCapacity:
    return MachineCapacity(index, 0, zone, False, free_cores, 0.0, 64.0, images or set())


def victim(
    job: int, task: int, machine_index: int, cost_s: float, priority: int = STANDARD
) -> Victim:
    return Victim(job, task, 1, priority, machine_index, 2.0, 0.0, 4.0, cost_s)


def shortfall(job: int, missing: int, spread_zones: bool = False) -> CapacityShortfall:
    """A service of four replicas, of which ``missing`` have no machine."""
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


def test_later_service_uses_capacity_freed_for_earlier_service() -> None:
    machines = {index: machine(index) for index in range(3)}
    victims = [victim(5, task, task % 3, 10.0 + task) for task in range(9)]
    selector = ReplicaVictimSelector(machines, victims, NONE_OVER_GUARANTEE)
    selected = [selector.select_victims(shortfall(job, 3)) for job in (1, 2)]
    # A victim frees two cores, and the first service uses one: the second service uses the other.
    assert [v.task for v in selected[0]] == [0, 1, 2]
    assert selected[1] == []
    assert [v.task for v in selector.select_victims(shortfall(3, 1))] == [3]


def test_replica_that_fits_needs_no_preemption() -> None:
    machines = {0: machine(0, free_cores=2.0), 1: machine(1)}
    selector = ReplicaVictimSelector(machines, [victim(5, 0, 1, 1.0)], NONE_OVER_GUARANTEE)
    assert selector.select_victims(shortfall(1, 1)) == []
    # The next replica takes the last free core of the first machine, and the one after it needs a
    # victim on the other machine.
    assert [v.task for v in selector.select_victims(shortfall(2, 2))] == [0]


def test_no_victims_in_full_zone_or_of_equal_priority() -> None:
    machines = {0: machine(0, zone=0), 1: machine(1, zone=0), 2: machine(2, zone=1)}
    victims = [victim(5, task, task % 2, 1.0) for task in range(4)]
    victims.append(victim(6, 0, 2, 1.0, priority=PROD))
    selector = ReplicaVictimSelector(machines, victims, NONE_OVER_GUARANTEE)
    selected = selector.select_victims(shortfall(1, 4, spread_zones=True))
    assert {v.machine_index for v in selected} == {0, 1}
    assert len(selected) == 2  # at most half of the replicas may be in one zone


def test_machine_caching_the_image_is_preferred_to_lower_preemption_cost() -> None:
    machines = {0: machine(0), 1: machine(1, images={IMAGE})}
    victims = [victim(5, 0, 0, 1.0), victim(5, 1, 1, 30.0)]
    selector = ReplicaVictimSelector(machines, victims, NONE_OVER_GUARANTEE)
    assert [v.machine_index for v in selector.select_victims(shortfall(1, 1))] == [1]
