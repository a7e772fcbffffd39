"""Room for replicas: made for all services at once, never more than is lacking."""

from __future__ import annotations

from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.preemption_rules import Victim
from petrelthread.scheduling.replica_preemption import ReplicaNeed, RoomMaker
from petrelthread.scheduling.slot import PlacementRequest, Slot

PROD, STANDARD = 3, 1
IMAGE = 7


def machine(number: int, free: float = 0.0, zone: int = 0, images: set[int] | None = None) -> Slot:
    return Slot(number, 0, zone, False, free, 0.0, 64.0, images or set())


def running(job: int, task: int, machine: int, lost_s: float, rank: int = STANDARD) -> Victim:
    return Victim(job, task, 1, rank, machine, 2.0, 0.0, 4.0, lost_s)


def need(job: int, lacking: int, spread_zones: bool = False, tasks: int = 4) -> ReplicaNeed:
    nowhere = JobOccupancy()
    request = PlacementRequest(
        job,
        0,
        tasks,
        lacking,
        1.0,
        0.0,
        1.0,
        IMAGE,
        None,
        None,
        False,
        False,
        spread_zones,
        nowhere,
    )._replace(spread_machines=True)
    return ReplicaNeed(request, PROD, True, lacking)


def test_room_for_several_services_is_made_in_one_go() -> None:
    """One service a round, waiting for each stop to end, took 15 s when a zone was lost."""
    slots = {n: machine(n) for n in range(3)}
    victims = [running(5, n, n % 3, 10.0 + n) for n in range(9)]
    maker = RoomMaker(slots, victims, [0.0, 0.0])
    stopped = [maker.make_room(need(job, 3)) for job in (1, 2)]
    # A stop frees two cores: the second service finds the other one of each machine free.
    assert [v.task for v in stopped[0]] == [0, 1, 2]
    assert stopped[1] == []
    assert [v.task for v in maker.make_room(need(3, 1))] == [3]


def test_no_task_stops_for_a_replica_that_fits() -> None:
    slots = {0: machine(0, free=2.0), 1: machine(1)}
    maker = RoomMaker(slots, [running(5, 0, 1, 1.0)], [0.0, 0.0])
    assert maker.make_room(need(1, 1)) == []
    # Only now is all taken that the emptier machine has; the second replica goes beside the first.
    assert [v.task for v in maker.make_room(need(2, 2))] == [0]


def test_neither_a_full_zone_nor_work_of_the_same_rank_is_touched() -> None:
    slots = {0: machine(0, zone=0), 1: machine(1, zone=0), 2: machine(2, zone=1)}
    victims = [running(5, n, n % 2, 1.0) for n in range(4)] + [running(6, 0, 2, 1.0, rank=PROD)]
    maker = RoomMaker(slots, victims, [0.0, 0.0])
    stopped = maker.make_room(need(1, 4, spread_zones=True))
    assert {v.machine for v in stopped} == {0, 1}
    assert len(stopped) == 2  # at most half of the replicas may be in one zone


def test_a_machine_that_caches_the_image_is_preferred_to_a_cheaper_stop() -> None:
    slots = {0: machine(0), 1: machine(1, images={IMAGE})}
    maker = RoomMaker(slots, [running(5, 0, 0, 1.0), running(5, 1, 1, 30.0)], [0.0, 0.0])
    assert [v.machine for v in maker.make_room(need(1, 1))] == [1]
