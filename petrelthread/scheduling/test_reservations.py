"""Which machine is kept for a job that should have begun."""

from __future__ import annotations

from petrelthread.scheduling.capacity_index import RoomIndex
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.reservations import reserve_machines
from petrelthread.scheduling.slot import PlacementRequest, QuotaHeadroom, Slot

WHOLE = {0: (4.0, 32.0), 1: (32.0, 128.0), 2: (64.0, 256.0)}  # cores and memory, by type


def holding(request: PlacementRequest) -> set[int]:
    return {
        index
        for index, (cores, ram_gb) in WHOLE.items()
        if request.cores <= cores and request.ram_gb <= ram_gb
    }


def slot(machine: int, cores: float) -> Slot:
    return Slot(machine, machine, 0, True, cores, 0.0, 128.0, set())


def request(job: int, cores: float = 16.0, **more: object) -> PlacementRequest:
    nowhere = JobOccupancy()
    base = PlacementRequest(
        job, 0, 9, 1, cores, 0.0, 50.0, 0, None, None, True, False, False, nowhere
    )
    return base._replace(**more)  # type: ignore[arg-type]


def test_the_machine_where_least_has_to_fall_free_and_it_stays_that_one() -> None:
    slots = RoomIndex([slot(0, 4.0), slot(1, 2.0), slot(2, 6.0)])
    rich = [QuotaHeadroom(1e12, 1e12)]
    assert reserve_machines([request(7)], slots, holding, rich, {}) == {7: 2}
    assert reserve_machines([request(7)], slots, holding, rich, {7: 1}) == {7: 1}
    assert reserve_machines([request(7), request(8)], slots, holding, rich, {}) == {
        7: 2,
        8: 1,
    }
    # None is kept without need: it fits somewhere, may not run, or no machine is large enough.
    assert reserve_machines([request(7, cores=4.0)], slots, holding, rich, {}) == {}
    assert reserve_machines([request(7)], slots, holding, [QuotaHeadroom(8.0, 0.0)], {}) == {}
    assert reserve_machines([request(7, cores=80.0)], slots, holding, rich, {}) == {}
    assert (
        reserve_machines([request(7, machine_types=frozenset({0}))], slots, holding, rich, {}) == {}
    )
