"""The order compared with a slow plain model, and the bound on how long a job may wait."""

from __future__ import annotations

import random
from itertools import combinations

import pytest

from petrelthread.scheduling import QueueEntry, order_jobs
from petrelthread.scheduling.job_order import MAX_START_DELAY_S

CORES = 10.0


def random_jobs(seed: int) -> list[QueueEntry]:
    r = random.Random(seed)
    out = []
    for job in range(r.randrange(2, 8)):
        goal = float(r.randrange(10, 120))
        work = float(r.randrange(50, 700))
        out.append(
            QueueEntry(job, job, 1, float(job), (goal,), 0.0, 50.0, 0.0, 0.0, 0.0, CORES, work)
        )
    return out


def all_in_time(jobs: tuple[QueueEntry, ...]) -> bool:
    end = 0.0
    for standing in sorted(jobs, key=lambda s: s.goals[0]):
        end += standing.work_s / CORES
        if end > standing.goals[0]:
            return False
    return True


def most_in_time(jobs: list[QueueEntry]) -> int:
    """The slow plain model: every choice of jobs."""
    return max(
        size
        for size in range(len(jobs) + 1)
        if any(all_in_time(chosen) for chosen in combinations(jobs, size))
    )


@pytest.mark.parametrize("block", range(4))
def test_as_many_jobs_are_in_time_as_the_shared_cores_allow(block: int) -> None:
    hard = 0
    for seed in range(block * 50, block * 50 + 50):
        jobs = random_jobs(seed)
        turns = order_jobs(jobs, [(0.0, 0.0)] * len(jobs), 0.0, CORES)
        kept = tuple(jobs[turn.job] for turn in turns if turn.due_at < 1000.0)
        assert all_in_time(kept)
        assert len(kept) == most_in_time(jobs), f"seed {seed}"
        hard += len(kept) < len(jobs)
    assert hard > 10  # the cases are not trivial


def test_a_large_job_gives_way_to_many_small_ones_of_other_teams() -> None:
    # Ordered by slack alone, all of them were late together.
    small = [
        QueueEntry(n, n, 1, 1.0, (100.0, 300.0), 10.0, 50.0, 0.0, 10.0, 0.0, 10.0, 200.0)
        for n in range(4)
    ]
    large = QueueEntry(4, 4, 1, 0.0, (99.0, 299.0), 60.0, 500.0, 0.0, 10.0, 0.0, 10.0, 800.0)
    got = order_jobs([*small, large], [(0.0, 0.0)] * 5, 0.0, CORES)
    assert [turn.job for turn in got] == [0, 1, 2, 3, 4]
    assert got[-1].due_at == 299.0


def test_a_job_that_gave_way_begins_all_the_same() -> None:
    # Moore's rule alone would let the largest job wait for as long as small ones keep coming.
    large = QueueEntry(0, 0, 1, 0.0, (90.0,), 60.0, 500.0, 0.0, 10.0, 0.0, 10.0, 5000.0)
    for now in (10.0, MAX_START_DELAY_S - 1, MAX_START_DELAY_S + 1, 200.0):
        fresh = QueueEntry(1, 1, 2, now, (now + 50.0,), 5.0, 50.0, 0.0, 5.0, 0.0, 10.0, 100.0)
        got = order_jobs([large, fresh], [(0.0, 0.0)] * 2, now, CORES)
        assert [turn.job for turn in got] == [1, 0]  # rank comes first,
        assert got[1].overdue == (now > MAX_START_DELAY_S)  # but one task goes before all else
    begun = large._replace(begun=True)
    assert not order_jobs([begun], [(0.0, 0.0)], 200.0, CORES)[0].overdue
