"""The work of one ordering is bounded, whatever the size of the arrays in the queue."""

from __future__ import annotations

import pytest

from petrelthread.scheduling import Guarantee, QueueEntry, order_jobs
from tests.call_counter import count_calls

ARRAY_TASKS = 100_000  # as many as PROTOCOL allows
CORES_PER_MACHINE = 44.0
JOB_TEAMS = 5


def ordinary_jobs(count: int, due_s: float = 120.0) -> list[QueueEntry]:
    """Jobs of five tasks of two cores, of five teams, all within their guarantee."""
    return [
        QueueEntry(
            index,
            index % JOB_TEAMS,
            3,
            0.01 * index,
            (due_s + 0.01 * index,),
            5.0,
            10.0,
            0.0,
            run_s=20.0 + index % 13,
            longest_task_extra_s=9.0,
            parallel_cores=10.0,
            remaining_core_s=300.0,
        )
        for index in range(count)
    ]


def giant_arrays(
    first_index: int, count: int, cores: float, due_times: tuple[float, ...], priority: int = 0
) -> list[QueueEntry]:
    """Arrays of a team without a guarantee or a limit."""
    return [
        QueueEntry(
            index,
            JOB_TEAMS,
            priority,
            float(index),
            due_times,
            1e-3,
            ARRAY_TASKS * cores,
            0.0,
            run_s=30.0,
            longest_task_extra_s=13.5,
            parallel_cores=ARRAY_TASKS * cores,
            remaining_core_s=ARRAY_TASKS * cores * 30.0,
        )
        for index in range(first_index, first_index + count)
    ]


GUARANTEES = [Guarantee(1e9, 0.0)] * JOB_TEAMS + [Guarantee(0.0, 0.0)]


# Guards against the stop of every leader: one array made each ordering of the jobs take seconds.
@pytest.mark.parametrize("jobs", [60, 1000])
@pytest.mark.parametrize("arrays", [1, 10, 100])
@pytest.mark.parametrize("machines", [8, 700, 4000])
@pytest.mark.parametrize("cores", [0.25, 64.0])
@pytest.mark.parametrize("due_times", [(), (900.0,), (900.0, 1e6)])
def test_one_ordering_with_giant_arrays_takes_a_bounded_number_of_calls(
    jobs: int, arrays: int, machines: int, cores: float, due_times: tuple[float, ...]
) -> None:
    entries = ordinary_jobs(jobs) + giant_arrays(jobs, arrays, cores, due_times)
    count_calls(lambda: order_jobs(entries, GUARANTEES, 10.0, machines * CORES_PER_MACHINE))


@pytest.mark.parametrize("priority", [0, 3])
def test_an_array_leaves_the_plan_of_jobs_before_it_unchanged(priority: int) -> None:
    jobs = ordinary_jobs(60)
    arrays = giant_arrays(60, 10, 64.0, (900.0,), priority)
    alone = order_jobs(jobs, GUARANTEES, 10.0, 350.0)
    beside = order_jobs(jobs + arrays, GUARANTEES, 10.0, 350.0)
    assert [job for job in beside if job.job_index < len(jobs)] == alone


def test_jobs_beyond_the_step_budget_are_ordered_by_their_latest_start() -> None:
    jobs = ordinary_jobs(60)
    order = order_jobs(jobs, GUARANTEES, 10.0, 50.0, max_steps=0)
    due_times = {entry.job_index: entry.objective_times[0] for entry in jobs}
    assert {job.job_index: job.due_at for job in order} == due_times
    latest_starts = [
        due_times[job.job_index] - jobs[job.job_index].min_remaining_s for job in order
    ]
    assert latest_starts == sorted(latest_starts)
