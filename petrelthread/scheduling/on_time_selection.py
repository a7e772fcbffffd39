"""Selection of the jobs that are planned to be on time, and of the objective of each.

The Moore-Hodgson algorithm keeps as many jobs on time as possible: it adds jobs in the order of
their due times, and whenever a job would be late, it drops the largest job added so far. A dropped
job is tried for its next objective.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from petrelthread.scheduling.queue_entry import QueueEntry
from petrelthread.scheduling.tolerance import REQUEST_TOLERANCE


class Commitment(NamedTuple):
    """A job that is planned to be complete by ``due_at``."""

    due_at: float
    entry: QueueEntry


class CapacityTimeline:
    """When the shared cores become free, and when the scheduled work of each team is complete."""

    def __init__(self, cores: float, now: float) -> None:
        self.now = now
        self.free_at: list[tuple[float, float]] = [(now, cores)]  # heap of (time, free cores)
        self.team_completion_times: dict[int, float] = {}

    def copy(self) -> CapacityTimeline:
        """An independent copy for trial schedules."""
        copied = CapacityTimeline(0.0, self.now)
        copied.free_at = list(self.free_at)
        copied.team_completion_times = dict(self.team_completion_times)
        return copied

    def schedule(self, entry: QueueEntry) -> float:
        """Schedule the job next, on cores as they become free. Returns its completion time."""
        end = self.now
        needed = entry.parallel_cores
        duration_s = max(entry.run_s, entry.remaining_core_s / needed) if needed > 0 else 0.0
        while needed > REQUEST_TOLERANCE:
            start_at, cores = heapq.heappop(self.free_at)
            taken = min(cores, needed)
            if cores > taken:
                heapq.heappush(self.free_at, (start_at, cores - taken))
            heapq.heappush(self.free_at, (start_at + duration_s, taken))
            needed -= taken
            end = start_at + duration_s
        team_end = self.team_completion_times.get(entry.team, self.now) + entry.quota_limited_s
        self.team_completion_times[entry.team] = team_end
        return max(end, team_end) + entry.tail_s


def reachable_objectives(entries: list[QueueEntry], timeline: CapacityTimeline) -> dict[int, float]:
    """The objective time that each job of one group is planned to reach, by job index.

    Jobs that can reach none are not in the result. All jobs of the group are scheduled on
    ``timeline``, so that the next group comes after them.
    """
    on_time: list[Commitment] = []
    others = entries
    for level in range(max((len(entry.objective_times) for entry in entries), default=0)):
        candidates = _candidates(others, level, timeline.now)
        if level == 0:
            on_time = _select_on_time(candidates, timeline)
        else:
            on_time = _add_if_none_late(on_time, candidates, timeline)
        selected = {commitment.entry.job_index for commitment in on_time}
        others = [entry for entry in entries if entry.job_index not in selected]
    for commitment in on_time:
        timeline.schedule(commitment.entry)
    for entry in others:
        timeline.schedule(entry)
    return {commitment.entry.job_index: commitment.due_at for commitment in on_time}


def _candidates(entries: list[QueueEntry], level: int, now: float) -> list[Commitment]:
    """Jobs that could reach their objective of this level if no job were ahead of them."""
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


def _by_quota_limited_time(commitment: Commitment) -> tuple[float, int]:
    return (commitment.entry.quota_limited_s, commitment.entry.job_index)


def _select_on_time(candidates: list[Commitment], timeline: CapacityTimeline) -> list[Commitment]:
    """Select the jobs that are on time by the Moore-Hodgson algorithm; ordered by due time."""
    on_time: list[Commitment] = []
    trial = timeline.copy()  # has all jobs of on_time scheduled
    for candidate in sorted(candidates, key=_by_due_time):
        on_time.append(candidate)
        if trial.schedule(candidate.entry) <= candidate.due_at:
            continue
        dropped = _job_to_drop(candidate, on_time, timeline.now)
        remaining = [commitment for commitment in on_time if commitment is not dropped]
        if dropped is not candidate and _is_any_late(remaining, timeline, candidate.due_at):
            # The candidate is late even without that job, so the candidate is dropped instead.
            remaining = on_time[:-1]
        on_time = remaining
        trial = timeline.copy()
        for commitment in on_time:
            trial.schedule(commitment.entry)
    return on_time


def _job_to_drop(candidate: Commitment, on_time: list[Commitment], now: float) -> Commitment:
    """The job to drop: one of the candidate's team if the team's quota makes it late."""
    entry = candidate.entry
    team_jobs = [commitment for commitment in on_time if commitment.entry.team == entry.team]
    team_end = now + sum(other.entry.quota_limited_s for other in team_jobs) + entry.tail_s
    if team_end > candidate.due_at:
        return max(team_jobs, key=_by_quota_limited_time)
    return max(on_time, key=_by_work)


def _add_if_none_late(
    on_time: list[Commitment], candidates: list[Commitment], timeline: CapacityTimeline
) -> list[Commitment]:
    """Add candidates, the smallest first, if no job becomes late because of them."""
    for candidate in sorted(candidates, key=_by_work):
        extended = sorted([*on_time, candidate], key=_by_due_time)
        if not _is_any_late(extended, timeline, candidate.due_at):
            on_time = extended
    return on_time


def _is_any_late(
    commitments: list[Commitment], timeline: CapacityTimeline, due_from: float = -math.inf
) -> bool:
    """Whether a job due at ``due_from`` or later is late if all are scheduled in this order."""
    trial = timeline.copy()
    return any(trial.schedule(entry) > due_at >= due_from for due_at, entry in commitments)
