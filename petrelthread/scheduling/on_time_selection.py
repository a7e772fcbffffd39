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


class PlannedCompletion(NamedTuple):
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
        return max(end, team_end) + entry.longest_task_extra_s


def reachable_objectives(entries: list[QueueEntry], timeline: CapacityTimeline) -> dict[int, float]:
    """The objective time that each job of one group is planned to reach, by job index.

    Jobs that can reach none are not in the result. All jobs of the group are scheduled on
    ``timeline``, so that the next group comes after them.
    """
    on_time: list[PlannedCompletion] = []
    others = entries
    for level in range(max((len(entry.objective_times) for entry in entries), default=0)):
        candidates = _candidates(others, level, timeline.now)
        if level == 0:
            on_time = _select_on_time(candidates, timeline)
        else:
            on_time = _add_if_none_late(on_time, candidates, timeline)
        selected = {planned.entry.job_index for planned in on_time}
        others = [entry for entry in entries if entry.job_index not in selected]
    for planned in on_time:
        timeline.schedule(planned.entry)
    for entry in others:
        timeline.schedule(entry)
    return {planned.entry.job_index: planned.due_at for planned in on_time}


def _candidates(entries: list[QueueEntry], level: int, now: float) -> list[PlannedCompletion]:
    """Jobs that could reach their objective of this level if no job were ahead of them."""
    return [
        PlannedCompletion(entry.objective_times[level], entry)
        for entry in entries
        if len(entry.objective_times) > level
        and now + entry.min_remaining_s <= entry.objective_times[level]
    ]


def _by_due_time(planned: PlannedCompletion) -> tuple[float, int]:
    return (planned.due_at, planned.entry.job_index)


def _by_work(planned: PlannedCompletion) -> tuple[float, int]:
    return (planned.entry.remaining_core_s, planned.entry.job_index)


def _by_quota_limited_time(planned: PlannedCompletion) -> tuple[float, int]:
    return (planned.entry.quota_limited_s, planned.entry.job_index)


def _select_on_time(
    candidates: list[PlannedCompletion], timeline: CapacityTimeline
) -> list[PlannedCompletion]:
    """Select the jobs that are on time by the Moore-Hodgson algorithm; ordered by due time."""
    on_time: list[PlannedCompletion] = []
    trial = timeline.copy()  # has all jobs of on_time scheduled
    for candidate in sorted(candidates, key=_by_due_time):
        on_time.append(candidate)
        if trial.schedule(candidate.entry) <= candidate.due_at:
            continue
        dropped = _job_to_drop(candidate, on_time, timeline.now)
        remaining = [planned for planned in on_time if planned is not dropped]
        if dropped is not candidate and _is_any_late(remaining, timeline, candidate.due_at):
            # The candidate is late even without that job, so the candidate is dropped instead.
            remaining = on_time[:-1]
        on_time = remaining
        trial = timeline.copy()
        for planned in on_time:
            trial.schedule(planned.entry)
    return on_time


def _job_to_drop(
    candidate: PlannedCompletion, on_time: list[PlannedCompletion], now: float
) -> PlannedCompletion:
    """The job to drop: one of the candidate's team if the team's quota makes it late."""
    entry = candidate.entry
    team_jobs = [planned for planned in on_time if planned.entry.team == entry.team]
    team_end = (
        now + sum(other.entry.quota_limited_s for other in team_jobs) + entry.longest_task_extra_s
    )
    if team_end > candidate.due_at:
        return max(team_jobs, key=_by_quota_limited_time)
    return max(on_time, key=_by_work)


def _add_if_none_late(
    on_time: list[PlannedCompletion],
    candidates: list[PlannedCompletion],
    timeline: CapacityTimeline,
) -> list[PlannedCompletion]:
    """Add candidates, the smallest first, if no job becomes late because of them."""
    for candidate in sorted(candidates, key=_by_work):
        extended = sorted([*on_time, candidate], key=_by_due_time)
        if not _is_any_late(extended, timeline, candidate.due_at):
            on_time = extended
    return on_time


def _is_any_late(
    planned_jobs: list[PlannedCompletion], timeline: CapacityTimeline, due_from: float = -math.inf
) -> bool:
    """Whether a job due at ``due_from`` or later is late if all are scheduled in this order."""
    trial = timeline.copy()
    return any(trial.schedule(entry) > due_at >= due_from for due_at, entry in planned_jobs)
