"""Scheduling arrays in closed form gives what scheduling them piece by piece gives."""

from __future__ import annotations

import heapq
import math
import random

import pytest

from petrelthread.scheduling.capacity_timeline import CapacityTimeline, StepBudget
from petrelthread.scheduling.queue_entry import QueueEntry
from petrelthread.scheduling.tolerance import REQUEST_TOLERANCE


def array_entry(parallel_cores: float, run_s: float) -> QueueEntry:
    """A job without a quota whose tasks each run for ``run_s``."""
    return QueueEntry(
        0, 0, 0, 0.0, (), 0.0, 0.0, 0.0, run_s, 0.0, parallel_cores, parallel_cores * run_s
    )


class PieceByPieceModel:
    """Takes every turn of every piece of cores in a loop."""

    def __init__(self, cores: float, now: float) -> None:
        self.free_at = [(now, cores)]
        self.turns = 0

    def schedule(self, needed: float, duration_s: float) -> float:
        """Return when the last turn ends."""
        while True:
            start_at, cores = heapq.heappop(self.free_at)
            taken = min(cores, needed)
            if cores > taken:
                heapq.heappush(self.free_at, (start_at, cores - taken))
            heapq.heappush(self.free_at, (start_at + duration_s, taken))
            needed -= taken
            self.turns += 1
            if needed <= REQUEST_TOLERANCE:
                return start_at + duration_s


@pytest.mark.parametrize("seed", range(300))
def test_completion_times_are_those_of_a_schedule_piece_by_piece(seed: int) -> None:
    draw = random.Random(seed)
    now = draw.choice([0.0, 1.79e9])
    cores = draw.choice([1.0, 10.0, 52.5, 350.25])
    horizon = now + draw.choice([math.inf, 50.0, 900.0])
    timeline, model = CapacityTimeline(cores, now, horizon), PieceByPieceModel(cores, now)
    for _ in range(draw.randrange(1, 25)):
        task_cores = draw.choice([0.25, 1.0, 2.0, 7.5, 64.0])
        needed = task_cores * draw.choice([1, 5, 20, draw.randrange(1, 400)])
        duration_s = draw.choice([0.5, 20.0, 30.0, draw.uniform(1.0, 300.0)])
        expected = model.schedule(needed, duration_s)
        completed_at = timeline.schedule(array_entry(needed, duration_s))
        if expected <= horizon:
            rounding_s = math.ulp(expected) * model.turns  # of the model's sums
            assert completed_at == pytest.approx(expected, rel=0.0, abs=rounding_s)
        else:
            assert completed_at > horizon


@pytest.mark.parametrize("task_cores", [0.25, 16.0, 64.0])
@pytest.mark.parametrize("pieces", [1, 60, 1000])
@pytest.mark.parametrize("horizon", [900.0, math.inf])
def test_steps_for_an_array_depend_on_pieces_and_not_on_its_size(
    task_cores: float, pieces: int, horizon: float
) -> None:
    steps = 10.0 * pieces + 10
    budget = StepBudget(steps)
    timeline = CapacityTimeline(350.0, 0.0, horizon, budget)
    for number in range(pieces - 1):
        timeline.schedule(array_entry(350.0 / pieces, 10.0 + number / pieces))
    budget.spend(-2.0 * pieces)  # for these jobs
    timeline.schedule(array_entry(100_000 * task_cores, 0.5))
    assert not budget.is_spent


def test_job_without_run_time_is_complete_when_the_first_cores_are_free() -> None:
    timeline = CapacityTimeline(4.0, 5.0)
    timeline.schedule(array_entry(4.0, 10.0))
    assert timeline.schedule(array_entry(100_000.0, 0.0)) == 15.0


def test_copies_share_the_budget_only() -> None:
    budget = StepBudget(3)
    timeline = CapacityTimeline(4.0, 0.0, budget=budget)
    copied = timeline.copy()
    assert copied.schedule(array_entry(4.0, 10.0)) == 10.0
    assert timeline.schedule(array_entry(4.0, 7.0)) == 7.0
    assert budget.is_spent
