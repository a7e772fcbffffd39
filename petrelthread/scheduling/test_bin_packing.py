"""Placement compared with a brute-force reference model over seeded random cases."""

from __future__ import annotations

import pytest

from petrelthread.scheduling import (
    CapacityIndex,
    MachineCapacity,
    PlacementRequest,
    QuotaHeadroom,
    place_requests,
)
from petrelthread.scheduling.occupancy import JobOccupancy
from tests.placement_model import random_placement_case, reference_placement, task_placements


@pytest.mark.parametrize("block", range(10))
def test_placement_equals_that_of_reference_model(block: int) -> None:
    cases_with_placements = 0
    for seed in range(block * 200, block * 200 + 200):
        expected = reference_placement(*random_placement_case(seed))
        requests, machines, quotas = random_placement_case(seed)
        result = place_requests(requests, CapacityIndex(machines), quotas)
        assert result.resume_position == 0
        assert sorted(task_placements(result)) == sorted(expected), f"seed {seed}"
        cases_with_placements += bool(expected)
    assert cases_with_placements > 100  # the cases are not trivial


def test_round_out_of_time_resumes_at_first_unexamined_request() -> None:
    for seed in range(200):
        requests, machines, quotas = random_placement_case(seed)
        requests = [request for request in requests if not request.spread_zones]
        if len(requests) < 2:
            continue
        first = place_requests(requests, CapacityIndex(machines), quotas, 0, lambda: True)
        assert {job for job, _ in task_placements(first)} <= {requests[0].job_index}
        assert first.resume_position == 1
        second = place_requests(requests, CapacityIndex(machines), quotas, 1, lambda: True)
        assert {job for job, _ in task_placements(second)} <= {requests[1].job_index}


@pytest.mark.parametrize("spread_zones", [False, True], ids=["any zone", "spread over zones"])
def test_replicas_go_where_their_job_has_fewest_replicas(spread_zones: bool) -> None:
    """By the machine rule alone, all would go to the one machine that caches their image."""
    machines = [
        MachineCapacity(index, 0, index % 2, False, 16.0, 0.0, 64.0, {0} if index == 0 else set())
        for index in range(4)
    ]
    occupancy = JobOccupancy({0: 1}, {0: 1})
    request = PlacementRequest(
        0, 0, 5, 4, 1.0, 0.0, 1.0, 0, None, None, False, False, spread_zones, occupancy
    )._replace(spread_machines=True)
    result = place_requests([request], CapacityIndex(machines), [QuotaHeadroom(99.0, 0.0)])
    placements = task_placements(result)
    assert len(placements) == 4
    on_machine = dict.fromkeys(range(4), 0) | {0: 1}
    in_zone = {0: 1, 1: 0}

    def replica_counts(machine_index: int) -> tuple[int, int]:
        return in_zone[machine_index % 2] if spread_zones else 0, on_machine[machine_index]

    for _, chosen in placements:
        open_machines = [index for index in range(4) if not spread_zones or in_zone[index % 2] < 3]
        assert replica_counts(chosen) == min(replica_counts(index) for index in open_machines)
        on_machine[chosen] += 1
        in_zone[chosen % 2] += 1
    assert max(on_machine.values()) == 2
