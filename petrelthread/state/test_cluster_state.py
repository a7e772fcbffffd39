"""ClusterState: effects of keys on jobs and attempts, in any order in which they are read."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from petrelthread.protocol import JobStatus
from petrelthread.state import Attempt, ClusterState, OperationState
from petrelthread.state.conftest import ClusterStateMaker, record_of

MACHINES = range(3)
TEAMS = range(2)


def test_the_newest_round_defines_the_attempt_in_any_order(
    cluster_state_with: ClusterStateMaker,
) -> None:
    cluster_state = cluster_state_with({"wk-000001": 2})
    cluster_state.on_key("r/7", [["host-1", 1, [["wk-000001", [0, 1]]]]], 1)
    cluster_state.on_key("r/9", [["host-2", 1, [["wk-000001", [0]]]]], 2)
    job = cluster_state.jobs_by_id["wk-000001"]
    assert {task: attempt.number for task, attempt in job.live_attempts.items()} == {0: 9, 1: 7}
    cluster_state.on_key("r/8", [["host-3", 1, [["wk-000001", [0]]]]], 3)  # read after r/9
    assert job.live_attempts[0].number == 9
    assert 8 in cluster_state.settled_rounds()


def test_a_final_status_never_changes(cluster_state_with: ClusterStateMaker) -> None:
    cluster_state = cluster_state_with({"wk-000001": 1})
    cluster_state.set_final_status("wk-000001", JobStatus.CANCELLED)
    cluster_state.set_final_status("wk-000001", JobStatus.DONE)
    job = cluster_state.jobs_by_id["wk-000001"]
    cluster_state.mark_task_finished(job, 0)
    assert job.status == JobStatus.CANCELLED


def test_a_final_status_read_before_its_job_applies(
    cluster_state_with: ClusterStateMaker,
) -> None:
    cluster_state = cluster_state_with({})
    cluster_state.set_final_status("wk-000002", JobStatus.DONE)
    assert cluster_state.add_job("wk-000002", record_of("wk-000002", 3)).status == JobStatus.DONE


def change_at_random(
    cluster_state: ClusterState, attempts: list[Attempt], number: int, randomness: random.Random
) -> None:
    """Add an attempt, or release an earlier one or set its reported state."""
    action = randomness.random()
    job = randomness.choice(list(cluster_state.jobs.values()))
    if action < 0.5:
        without_attempt = [task for task in range(job.task_count) if task not in job.live_attempts]
        if without_attempt:
            task, machine = randomness.choice(without_attempt), randomness.choice(MACHINES)
            attempts.append(cluster_state.add_attempt(number, job, task, machine, 1))
        return
    if not attempts:
        return
    attempt = randomness.choice(attempts)
    if attempt.state is OperationState.SUPERSEDED:
        return
    if action < 0.75:
        state = randomness.choice(["running", "ended", "fetching"])
        cluster_state.set_reported_state(attempt, state)
    else:
        cluster_state.release(attempt, task_finished=randomness.random() < 0.3)


def assert_usage_equals_recount(cluster_state: ClusterState) -> None:
    using = [
        attempt
        for machine_attempts in cluster_state.attempts_by_machine.values()
        for attempt in machine_attempts.values()
        if not attempt.has_exited
    ]
    for machine in MACHINES:
        jobs = [attempt.job for attempt in using if attempt.machine == machine]
        usage = cluster_state.usage.machine(machine)
        assert usage.attempts == len(jobs)
        counts = Counter(job.index for job in jobs)
        assert cluster_state.usage.job_attempts(machine) == counts
        assert usage.cores == pytest.approx(sum(job.cores for job in jobs))
        assert usage.ram_gb == pytest.approx(sum(job.ram_gb for job in jobs))
    for team in TEAMS:
        cores = [attempt.job.cores for attempt in using if attempt.job.team == team]
        assert cluster_state.usage.team(team).cores == pytest.approx(sum(cores))


@pytest.mark.parametrize("seed", range(5))
def test_usage_equals_a_recount_after_every_change(
    cluster_state_with: ClusterStateMaker, seed: int
) -> None:
    cluster_state = cluster_state_with({f"wk-{n:06d}": 6 for n in range(4)})
    for n, job in enumerate(cluster_state.jobs.values()):
        job.team, job.cores, job.ram_gb = n % 2, 0.1 * (n + 1), 0.7 * n
    randomness = random.Random(seed)
    attempts: list[Attempt] = []
    for number in range(1, 600):
        change_at_random(cluster_state, attempts, number, randomness)
        assert_usage_equals_recount(cluster_state)
