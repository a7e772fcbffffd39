"""The scheduling order: its rules, a comparison with exhaustive search, and the maximum wait."""

from __future__ import annotations

import random
from itertools import combinations

import pytest

from petrelthread.scheduling import Guarantee, QueueEntry, order_jobs
from petrelthread.scheduling.job_order import MAX_START_DELAY_S

CORES = 10.0


def started_entry(
    job_index: int,
    team: int,
    priority: int,
    accepted_at: float,
    objective_times: list[float],
    quota_limited_s: float,
) -> QueueEntry:
    """A job that has started and is limited by its team's quota alone."""
    return QueueEntry(
        job_index,
        team,
        priority,
        accepted_at,
        tuple(objective_times),
        quota_limited_s,
        100.0,
        0.0,
        started=True,
    )


def test_order_is_by_guarantee_then_priority_then_latest_start() -> None:
    jobs = [
        started_entry(0, 0, 1, 10.0, [500.0], 5.0)._replace(remaining_core_s=2000.0),  # runs 200 s
        started_entry(1, 1, 2, 11.0, [400.0], 5.0),
        started_entry(2, 2, 2, 12.0, [300.0], 5.0),
        started_entry(3, 3, 0, 13.0, [], 5.0)._replace(requested_cores=4.0),  # guaranteed
        started_entry(4, 4, 2, 1.0, [600.0], 350.0),  # long: has to start by 250
        started_entry(5, 5, 2, 1.0, [30.0], 90.0),  # late in any order
    ]
    order = order_jobs(jobs, [Guarantee(8.0, 0.0)] * 6, 20.0, CORES)
    assert [queued.job_index for queued in order] == [3, 4, 2, 1, 5, 0]
    assert [queued.guaranteed for queued in order] == [True] + [False] * 5


def test_late_job_that_outlasts_backlog_runs_alongside_it() -> None:
    """In last place, it would run alone on nearly empty machines after the backlog is complete."""
    jobs = [
        started_entry(0, 0, 1, 0.0, [300.0], 5.0)._replace(remaining_core_s=1000.0),
        started_entry(1, 1, 1, 0.0, [100.0], 216.0)._replace(remaining_core_s=500.0),
        started_entry(2, 2, 1, 0.0, [50.0], 90.0)._replace(remaining_core_s=500.0),
        started_entry(3, 3, 1, 0.0, [80.0], 20.0),  # has to start within 40 s
    ]
    order = order_jobs(jobs, [Guarantee(8.0, 0.0)] * 4, 20.0, CORES)  # all complete in 200 s
    assert [queued.job_index for queued in order] == [3, 1, 0, 2]


def test_longest_job_of_team_is_dropped_to_its_next_objective() -> None:
    jobs = [
        started_entry(0, 0, 1, 0.0, [100.0, 200.0], 80.0),
        started_entry(1, 0, 1, 1.0, [101.0, 201.0], 40.0),
        started_entry(2, 0, 1, 2.0, [102.0, 202.0], 50.0),
    ]
    order = order_jobs(jobs, [Guarantee(0.0, 0.0)], 0.0)
    assert {queued.job_index: queued.due_at for queued in order} == {0: 200.0, 1: 101.0, 2: 102.0}
    assert [queued.job_index for queued in order] == [2, 1, 0]  # 0 before 1 would make 1 late


def test_earlier_jobs_of_team_count_against_its_guarantee() -> None:
    jobs = [
        started_entry(0, 0, 1, 1.0, [], 1.0)._replace(requested_cores=6.0),
        started_entry(1, 0, 1, 2.0, [], 1.0)._replace(requested_cores=4.0),  # exceeds 8 cores
        started_entry(2, 0, 1, 3.0, [], 1.0)._replace(requested_cores=2.0),
    ]
    order = order_jobs(jobs, [Guarantee(8.0, 0.0)], 0.0)
    guaranteed = {queued.job_index: queued.guaranteed for queued in order}
    assert guaranteed == {0: True, 1: False, 2: True}


def random_jobs(seed: int) -> list[QueueEntry]:
    """Jobs that compete for the shared cores alone."""
    draw = random.Random(seed)
    jobs = []
    for index in range(draw.randrange(2, 8)):
        due_at = float(draw.randrange(10, 120))
        work = float(draw.randrange(50, 700))
        jobs.append(
            QueueEntry(
                index, index, 1, float(index), (due_at,), 0.0, 50.0, 0.0, 0.0, 0.0, CORES, work
            )
        )
    return jobs


def are_on_time(jobs: tuple[QueueEntry, ...]) -> bool:
    """Whether all of them are on time if they are scheduled by due time."""
    end = 0.0
    for job in sorted(jobs, key=lambda job: job.objective_times[0]):
        end += job.remaining_core_s / CORES
        if end > job.objective_times[0]:
            return False
    return True


def max_on_time(jobs: list[QueueEntry]) -> int:
    """The maximum number of jobs on time, found by exhaustive search."""
    return max(
        size
        for size in range(len(jobs) + 1)
        if any(are_on_time(chosen) for chosen in combinations(jobs, size))
    )


@pytest.mark.parametrize("block", range(4))
def test_number_of_jobs_on_time_is_maximal(block: int) -> None:
    cases_with_late_jobs = 0
    for seed in range(block * 50, block * 50 + 50):
        jobs = random_jobs(seed)
        order = order_jobs(jobs, [Guarantee(0.0, 0.0)] * len(jobs), 0.0, CORES)
        on_time = tuple(jobs[queued.job_index] for queued in order if queued.due_at < 1000.0)
        assert are_on_time(on_time)
        assert len(on_time) == max_on_time(jobs), f"seed {seed}"
        cases_with_late_jobs += len(on_time) < len(jobs)
    assert cases_with_late_jobs > 10  # the cases are not trivial


def test_large_job_is_dropped_for_many_small_jobs_of_other_teams() -> None:
    """If jobs were ordered by slack alone, all of them would be late."""
    small = [
        QueueEntry(index, index, 1, 1.0, (100.0, 300.0), 10.0, 50.0, 0.0, 10.0, 0.0, 10.0, 200.0)
        for index in range(4)
    ]
    large = QueueEntry(4, 4, 1, 0.0, (99.0, 299.0), 60.0, 500.0, 0.0, 10.0, 0.0, 10.0, 800.0)
    order = order_jobs([*small, large], [Guarantee(0.0, 0.0)] * 5, 0.0, CORES)
    assert [queued.job_index for queued in order] == [0, 1, 2, 3, 4]
    assert order[-1].due_at == 299.0


def test_dropped_job_becomes_overdue_after_max_start_delay() -> None:
    """Without a limit, the largest job would wait as long as small jobs keep arriving."""
    guarantees = [Guarantee(0.0, 0.0)] * 2
    large = QueueEntry(0, 0, 1, 0.0, (90.0,), 60.0, 500.0, 0.0, 10.0, 0.0, 10.0, 5000.0)
    for now in (10.0, MAX_START_DELAY_S - 1, MAX_START_DELAY_S + 1, 200.0):
        small_job = QueueEntry(1, 1, 2, now, (now + 50.0,), 5.0, 50.0, 0.0, 5.0, 0.0, 10.0, 100.0)
        order = order_jobs([large, small_job], guarantees, now, CORES)
        assert [queued.job_index for queued in order] == [1, 0]  # priority decides the order
        assert order[1].overdue == (now > MAX_START_DELAY_S)  # one task is placed first
    started = large._replace(started=True)
    assert not order_jobs([started], guarantees, 200.0, CORES)[0].overdue
