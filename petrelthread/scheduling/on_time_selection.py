"""Which jobs are meant to be complete on time, and for which of their objectives.

The Moore-Hodgson algorithm keeps as many jobs on time as possible: in the order of their due times,
whenever a job would be late, the largest job so far gives way. A job that gave way is tried for its
next objective.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from petrelthread.scheduling.queue_entry import QueueEntry
from petrelthread.scheduling.tolerance import REQUEST_TOLERANCE


class Commitment(NamedTuple):
    """A job that is meant to be complete by ``due_at``."""

    due_at: float
    entry: QueueEntry


class CapacityTimeline:
    """When the cores that all jobs share become free, and when each team's work is complete."""

    def __init__(self, cores: float, now: float) -> None:
        self.now = now
        self.free_at: list[tuple[float, float]] = [(now, cores)]  # heap of time and cores
        self.team_completion_times: dict[int, float] = {}

    def copy(self) -> CapacityTimeline:
        """An independent copy, for trials."""
        copied = CapacityTimeline(0.0, self.now)
        copied.free_at = list(self.free_at)
        copied.team_completion_times = dict(self.team_completion_times)
        return copied

    def schedule(self, entry: QueueEntry) -> float:
        """Serve the job next, on cores as they become free. Returns when it is complete."""
        end = self.now
        lacking = entry.parallel_cores
        duration_s = max(entry.run_s, entry.remaining_core_s / lacking) if lacking > 0 else 0.0
        while lacking > REQUEST_TOLERANCE:
            at, cores = heapq.heappop(self.free_at)
            taken = min(cores, lacking)
            if cores > taken:
                heapq.heappush(self.free_at, (at, cores - taken))
            heapq.heappush(self.free_at, (at + duration_s, taken))
            lacking -= taken
            end = at + duration_s
        team_end = self.team_completion_times.get(entry.team, self.now) + entry.critical_path_s
        self.team_completion_times[entry.team] = team_end
        return max(end, team_end) + entry.tail_s


def reachable_objectives(entries: list[QueueEntry], timeline: CapacityTimeline) -> dict[int, float]:
    """The objective that each job of one group is meant to reach, by job index.

    Jobs that reach none are not in the result. All jobs of the group are scheduled on ``timeline``,
    so that the next group comes after them.
    """
    on_time: list[Commitment] = []
    others = entries
    for level in range(max((len(entry.objective_times) for entry in entries), default=0)):
        candidates = _candidates(others, level, timeline.now)
        if level == 0:
            on_time = _select_on_time(candidates, timeline)
        else:
            on_time = _add_where_possible(on_time, candidates, timeline)
        selected = {commitment.entry.job_index for commitment in on_time}
        others = [entry for entry in entries if entry.job_index not in selected]
    for commitment in on_time:
        timeline.schedule(commitment.entry)
    for entry in others:
        timeline.schedule(entry)
    return {commitment.entry.job_index: commitment.due_at for commitment in on_time}


def _candidates(entries: list[QueueEntry], level: int, now: float) -> list[Commitment]:
    """Jobs that could reach their objective of this level if nothing were ahead of them."""
    return [
        Commitment(entry.objective_times[level], entry)
        for entry in entries
        if len(entry.objective_times) > level
        and now + entry.min_remaining_s <= entry.objective_times[level]
    ]


def _by_due_time(commitment: Commitment) -> tuple[float, int]:
    return (commitment.due_at, commitment.entry.job_index)


def _by_work(commitment: Commitment) -> tuple[float, int]:
    return (commitment.entry.remaining_core_s, commitment.entry.job_index)


def _by_critical_path(commitment: Commitment) -> tuple[float, int]:
    return (commitment.entry.critical_path_s, commitment.entry.job_index)


def _select_on_time(candidates: list[Commitment], timeline: CapacityTimeline) -> list[Commitment]:
    """The Moore-Hodgson algorithm: the jobs that are on time, by due time."""
    on_time: list[Commitment] = []
    trial = timeline.copy()  # with all that is in on_time
    for candidate in sorted(candidates, key=_by_due_time):
        on_time.append(candidate)
        if trial.schedule(candidate.entry) <= candidate.due_at:
            continue
        largest = _largest_in_the_way(candidate, on_time, timeline.now)
        remaining = [commitment for commitment in on_time if commitment is not largest]
        if largest is not candidate and _is_any_late(remaining, timeline, candidate.due_at):
            # Without the largest the candidate is late all the same: it gives way itself.
            remaining = on_time[:-1]
        on_time = remaining
        trial = timeline.copy()
        for commitment in on_time:
            trial.schedule(commitment.entry)
    return on_time


def _largest_in_the_way(candidate: Commitment, on_time: list[Commitment], now: float) -> Commitment:
    """The job that gives way: of the candidate's team if the team's limit makes it late."""
    entry = candidate.entry
    of_team = [commitment for commitment in on_time if commitment.entry.team == entry.team]
    team_end = now + sum(other.entry.critical_path_s for other in of_team) + entry.tail_s
    if team_end > candidate.due_at:
        return max(of_team, key=_by_critical_path)
    return max(on_time, key=_by_work)


def _add_where_possible(
    on_time: list[Commitment], candidates: list[Commitment], timeline: CapacityTimeline
) -> list[Commitment]:
    """Add candidates, the smallest first, as long as none is late for it."""
    for candidate in sorted(candidates, key=_by_work):
        extended = sorted([*on_time, candidate], key=_by_due_time)
        if not _is_any_late(extended, timeline, candidate.due_at):
            on_time = extended
    return on_time


def _is_any_late(
    commitments: list[Commitment], timeline: CapacityTimeline, due_from: float = -math.inf
) -> bool:
    """Whether one that is due at ``due_from`` or later is late if all are served in this order."""
    trial = timeline.copy()
    return any(trial.schedule(entry) > due_at >= due_from for due_at, entry in commitments)
