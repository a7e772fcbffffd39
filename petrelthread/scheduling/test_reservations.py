"""Choice of the machine that is reserved for an overdue job that fits on no machine."""

from __future__ import annotations

import pytest

from petrelthread.scheduling import (
    CapacityIndex,
    MachineCapacity,
    PlacementRequest,
    QuotaHeadroom,
)
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.reservations import reserve_machines

EMPTY_MACHINES = {0: (4.0, 32.0), 1: (32.0, 128.0), 2: (64.0, 256.0)}  # cores and GB, by type
UNLIMITED_QUOTA = QuotaHeadroom(1e12, 1e12)


def fitting_machine_types(request: PlacementRequest) -> set[int]:
    return {
        machine_type
        for machine_type, (cores, ram_gb) in EMPTY_MACHINES.items()
        if request.cores <= cores and request.ram_gb <= ram_gb
    }


def request(
    job: int = 7, cores: float = 16.0, machine_types: frozenset[int] | None = None
) -> PlacementRequest:
    return PlacementRequest(
        job, 0, 9, 1, cores, 0.0, 50.0, 0, machine_types, None, True, False, False, JobOccupancy()
    )


def reserved(
    requests: list[PlacementRequest],
    previous: dict[int, int] | None = None,
    quota: QuotaHeadroom = UNLIMITED_QUOTA,
) -> dict[int, int]:
    """Reserve among three machines, one of each type, with 4, 2 and 6 free cores."""
    index = CapacityIndex(
        MachineCapacity(machine_type, machine_type, 0, True, free_cores, 0.0, 128.0, set())
        for machine_type, free_cores in enumerate((4.0, 2.0, 6.0))
    )
    return reserve_machines(requests, index, fitting_machine_types, [quota], previous or {})


def test_machine_with_most_free_cores_is_reserved() -> None:
    assert reserved([request()]) == {7: 2}


def test_earlier_reservation_is_kept_while_its_machine_is_suitable() -> None:
    assert reserved([request()], previous={7: 1}) == {7: 1}


def test_each_overdue_job_gets_a_different_machine() -> None:
    assert reserved([request(7), request(8)]) == {7: 2, 8: 1}


@pytest.mark.parametrize(
    ("overdue_request", "quota"),
    [
        pytest.param(request(cores=4.0), UNLIMITED_QUOTA, id="task fits on a machine"),
        pytest.param(request(), QuotaHeadroom(8.0, 0.0), id="team quota is used up"),
        pytest.param(request(cores=80.0), UNLIMITED_QUOTA, id="no machine is large enough"),
        pytest.param(
            request(machine_types=frozenset({0})),
            UNLIMITED_QUOTA,
            id="no machine of an allowed type is large enough",
        ),
    ],
)
def test_no_machine_is_reserved_if_reservation_is_useless(
    overdue_request: PlacementRequest, quota: QuotaHeadroom
) -> None:
    assert reserved([overdue_request], quota=quota) == {}
