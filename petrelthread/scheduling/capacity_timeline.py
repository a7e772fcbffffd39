"""When the shared cores become free while jobs are scheduled one after the other.

The tasks of an array take turns: each piece of free cores runs one task after the other. A job with
many turns is scheduled in closed form, so that the cost of scheduling it depends on the number of
pieces, which grows by at most one with each job, and not on its number of tasks or their cores.
"""

from __future__ import annotations

import heapq
import math

from petrelthread.scheduling.queue_entry import QueueEntry
from petrelthread.scheduling.tolerance import REQUEST_TOLERANCE

# A time in wall clock seconds, and the cores that become free then.
Piece = tuple[float, float]


class StepBudget:
    """Limits the number of steps that one ordering of the jobs may take."""

    __slots__ = ("_left",)

    def __init__(self, steps: float = math.inf) -> None:
        self._left = steps

    @property
    def is_spent(self) -> bool:
        """Whether no step is left."""
        return self._left <= 0

    def spend(self, steps: float) -> None:
        """Subtract steps; the budget may become negative."""
        self._left -= steps


class CapacityTimeline:
    """When the shared cores become free, and when the scheduled work of each team is complete."""

    __slots__ = ("budget", "free_at", "horizon", "now", "team_completion_times")

    def __init__(
        self, cores: float, now: float, horizon: float = math.inf, budget: StepBudget | None = None
    ) -> None:
        """Start with all cores free.

        Args:
            cores: shared cores.
            now: wall clock time in seconds.
            horizon: the latest time that matters, in wall clock seconds. What becomes free later is
                not tracked: a job that needs it is complete at an infinite time.
            budget: counts the steps of this timeline and of its copies.
        """
        self.now = now
        self.budget = budget or StepBudget()
        self.horizon = horizon
        self.free_at: list[Piece] = [(now, cores)]  # heap
        self.team_completion_times: dict[int, float] = {}

    def copy(self) -> CapacityTimeline:
        """An independent copy for trial schedules; only the budget is shared."""
        copied = CapacityTimeline.__new__(CapacityTimeline)
        copied.now = self.now
        copied.budget = self.budget
        copied.horizon = self.horizon
        copied.free_at = self.free_at.copy()
        copied.team_completion_times = self.team_completion_times.copy()
        return copied

    def schedule(self, entry: QueueEntry) -> float:
        """Schedule the job next, on cores as they become free. Returns its completion time."""
        self.budget.spend(1)
        end = self.now
        needed = entry.parallel_cores
        if needed > REQUEST_TOLERANCE:
            end = self._take(needed, max(entry.run_s, entry.remaining_core_s / needed))
        team_end = self.team_completion_times.get(entry.team, self.now) + entry.quota_limited_s
        self.team_completion_times[entry.team] = team_end
        return max(end, team_end) + entry.longest_task_extra_s

    def _take(self, needed: float, duration_s: float) -> float:
        """Take cores for ``duration_s`` each, the earliest first; return when the last one ends."""
        if duration_s <= 0:
            return self.free_at[0][0] if self.free_at else math.inf
        while self.free_at:
            # One turn of each piece; only jobs whose tasks take several turns need more.
            pieces = len(self.free_at)
            self.budget.spend(pieces)
            for turn in range(1, pieces + 1):
                end, taken = self._take_turn(needed, duration_s)
                needed -= taken
                if needed <= REQUEST_TOLERANCE:
                    self.budget.spend(turn - pieces)
                    return end
                if not self.free_at:
                    return math.inf
            needed -= self._take_full_turns(needed, duration_s)
        return math.inf

    def _take_turn(self, needed: float, duration_s: float) -> tuple[float, float]:
        """Take the earliest free cores for one turn; return its end and the cores taken."""
        start_at, cores = self.free_at[0]
        end = start_at + duration_s
        if cores > needed:
            heapq.heapreplace(self.free_at, (start_at, cores - needed))
            if end <= self.horizon:
                heapq.heappush(self.free_at, (end, needed))
            return end, needed
        if end <= self.horizon:
            heapq.heapreplace(self.free_at, (end, cores))
        else:
            heapq.heappop(self.free_at)
        return end, cores

    def _take_full_turns(self, needed: float, duration_s: float) -> float:
        """Take all turns that precede the job's last round of turns; return the cores taken.

        With the earliest piece as the start, the turns of all pieces are divided into rounds of
        ``duration_s``. A piece takes one turn in each round from the one in which it becomes free.
        """
        first_at = self.free_at[0][0]
        first_rounds = [int((at - first_at) / duration_s) for at, _ in self.free_at]
        self.budget.spend(len(first_rounds))
        rounds = _rounds_before_last(needed, first_rounds, self.free_at)
        taken = 0.0
        free_at: list[Piece] = []
        for (at, cores), first_round in zip(self.free_at, first_rounds, strict=True):
            turns = max(0, rounds - first_round)
            taken += turns * cores
            next_at = at + turns * duration_s
            if next_at <= self.horizon:
                free_at.append((next_at, cores))
        heapq.heapify(free_at)
        self.free_at = free_at
        return taken


def _rounds_before_last(needed: float, first_rounds: list[int], pieces: list[Piece]) -> int:
    """The largest number of full rounds whose turns have fewer cores than needed.

    Args:
        needed: cores, added up over all turns.
        first_rounds: the first round of each piece.
        pieces: the pieces; only their cores matter.
    """
    rounds = 0
    cores_taken = cores_per_round = 0.0
    for first_round, (_, cores) in sorted(zip(first_rounds, pieces, strict=True)):
        next_taken = cores_taken + cores_per_round * (first_round - rounds)
        if next_taken >= needed:
            break
        rounds, cores_taken = first_round, next_taken
        cores_per_round += cores
    return rounds + max(0, math.ceil((needed - cores_taken) / cores_per_round) - 1)
