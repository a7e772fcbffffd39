"""The work of one round is bounded, whatever the number of tasks or replicas of a request."""

from __future__ import annotations

import pytest

from petrelthread.scheduling import MachineCapacity, PlacementRequest
from petrelthread.scheduling.bin_packing import (
    MAX_TASKS_PER_ROUND,
    PlacementResult,
    place_requests,
)
from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim
from petrelthread.scheduling.quota import QuotaHeadroom
from petrelthread.scheduling.replica_preemption import ReplicaVictimSelector
from petrelthread.settings import UNLIMITED
from tests.call_counter import count_calls

MACHINES = 4000
ZONES = 3
CORES = 44.0
MAX_TASKS = 100_000  # of a job, as PROTOCOL allows


def request(job: int, pending: int, cores: float = 0.002) -> PlacementRequest:
    return PlacementRequest(
        job, 0, pending, pending, cores, 0.0, 0.0, 1, None, None, True, False, False, JobOccupancy()
    )


def machines(count: int = MACHINES, cores: float = CORES) -> list[MachineCapacity]:
    return [
        MachineCapacity(
            index, 0, index % ZONES, True, cores, 0.0, 64.0, {1} if index % 2 else set()
        )
        for index in range(count)
    ]


def quotas() -> list[QuotaHeadroom]:
    return [QuotaHeadroom(UNLIMITED, 0.0)]


def task_counts(result: PlacementResult) -> dict[int, int]:
    return dict(result.task_counts())


# Guards against long rounds: all 100,000 tasks of an array were placed in one step.
@pytest.mark.parametrize("spread_machines", [False, True])
@pytest.mark.parametrize("spread_zones", [False, True])
def test_placing_a_request_of_the_largest_size_takes_a_bounded_number_of_calls(
    spread_machines: bool, spread_zones: bool
) -> None:
    large = request(1, MAX_TASKS)._replace(
        spread_machines=spread_machines, spread_zones=spread_zones
    )
    index = CapacityIndex(machines())
    results: list[PlacementResult] = []
    count_calls(lambda: results.append(place_requests([large], index, quotas())))
    assert task_counts(results[0]) == {1: MAX_TASKS_PER_ROUND}
    assert not results[0].is_complete


# Guards against long rounds: victims for each replica were sought on all machines anew.
def test_selecting_victims_for_a_large_service_takes_a_bounded_number_of_calls() -> None:
    service = request(1, MAX_TASKS, 1.0)._replace(spread_machines=True)
    victims = [Victim(2, task, 0, 0, task, CORES, 0.0, 0.0, 1.0) for task in range(MACHINES)]
    selector = ReplicaVictimSelector(
        {machine.machine_index: machine for machine in machines(cores=0.0)}, victims, [0.0]
    )
    shortfall = CapacityShortfall(service, 3, True, MAX_TASKS_PER_ROUND)
    selected: list[Victim] = []
    count_calls(lambda: selected.extend(selector.select_victims(shortfall)))
    assert len(selected) == MAX_TASKS_PER_ROUND  # one on each machine


def test_requests_after_a_large_one_are_examined_first_in_the_next_round() -> None:
    requests = [request(1, 50), request(2, 5)]
    index = CapacityIndex(machines(2))
    result = place_requests(requests, index, quotas(), max_tasks=20)
    assert (task_counts(result), result.resume_position) == ({1: 20}, 1)
    assert not result.is_complete
    result = place_requests(requests, index, quotas(), result.resume_position, max_tasks=20)
    assert task_counts(result) == {2: 5, 1: 15}
    assert not result.is_complete


def test_gang_is_not_split_by_the_limit_on_tasks() -> None:
    gang = request(2, 5)._replace(all_or_nothing=True)
    index = CapacityIndex(machines(2))
    result = place_requests([request(1, 8), gang], index, quotas(), max_tasks=10)
    assert (task_counts(result), result.resume_position) == ({1: 8}, 1)
    result = place_requests([request(1, 8), gang], index, quotas(), 1, max_tasks=10)
    assert task_counts(result) == {2: 5, 1: 5}


def test_gang_beyond_the_limit_on_tasks_is_placed_up_to_the_limit() -> None:
    gang = request(1, 12)._replace(all_or_nothing=True)
    result = place_requests([gang], CapacityIndex(machines(2)), quotas(), max_tasks=10)
    assert task_counts(result) == {1: 10}
    too_small = CapacityIndex(machines(1, cores=0.018))
    assert task_counts(place_requests([gang], too_small, quotas(), max_tasks=10)) == {}


def test_round_that_ends_before_the_first_request_is_not_complete() -> None:
    requests = [request(1, 1), request(2, 1)]
    result = place_requests(requests, CapacityIndex(machines(2)), quotas(), 1, lambda: True)
    assert result.resume_position == 0
    assert not result.is_complete
