"""Selection of the jobs that are planned to be on time, and of the objective of each.

The Moore-Hodgson algorithm keeps as many jobs on time as possible: it adds jobs in the order of
their due times, and whenever a job would be late, it drops the largest job added so far. A dropped
job is tried for its next objective.

Each drop schedules the jobs after the dropped one again, so that the work grows with the square of
the number of jobs. Once the step budget of the ordering is spent, the remaining jobs are assumed to
reach their next objective, which leaves them in the order of their latest start.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

from petrelthread.scheduling.capacity_timeline import CapacityTimeline
from petrelthread.scheduling.queue_entry import QueueEntry

# Comparing a job with another takes about this share of the time that scheduling it takes.
STEPS_PER_COMPARED_JOB = 0.25


class PlannedCompletion(NamedTuple):
    """A job that is planned to be complete by ``due_at``."""

    due_at: float
    entry: QueueEntry


class _TrialSchedule:
    """Planned jobs, scheduled one after the other, with the timeline before each of them."""

    def __init__(self, timeline: CapacityTimeline) -> None:
        self.planned: list[PlannedCompletion] = []
        self.timeline = timeline  # all planned jobs are scheduled on it
        self._before: list[CapacityTimeline] = []
        self._completed_at: list[float] = []

    def append(self, planned: PlannedCompletion) -> bool:
        """Schedule a job after the others; return whether it is on time."""
        self._before.append(self.timeline)
        self.timeline = self.timeline.copy()
        completed_at = self.timeline.schedule(planned.entry)
        self.planned.append(planned)
        self._completed_at.append(completed_at)
        return completed_at <= planned.due_at

    def remove_last(self) -> None:
        """Remove the last job."""
        self.planned.pop()
        self._completed_at.pop()
        self.timeline = self._before.pop()

    def with_tail(
        self, position: int, tail: list[PlannedCompletion], due_from: float
    ) -> _TrialSchedule | None:
        """Copy this schedule with other jobs from a position on.

        Args:
            position: the number of jobs that stay.
            tail: the jobs after these, in the order of their due times.
            due_from: only jobs due at this time or later have to be on time.

        Returns:
            The new schedule; None if one of these jobs is late in it.
        """
        changed = _TrialSchedule(
            self._before[position] if position < len(self._before) else self.timeline
        )
        changed.planned = self.planned[:position]
        changed._before = self._before[:position]
        changed._completed_at = self._completed_at[:position]
        if changed._has_late_job(due_from):
            return None
        for planned in tail:
            if not changed.append(planned) and planned.due_at >= due_from:
                return None
        return changed

    def _has_late_job(self, due_from: float) -> bool:
        """Whether a job due at ``due_from`` or later is late."""
        for (due_at, _), completed_at in zip(
            reversed(self.planned), reversed(self._completed_at), strict=True
        ):
            if due_at < due_from:
                return False
            if completed_at > due_at:
                return True
        return False


def reachable_objectives(entries: list[QueueEntry], timeline: CapacityTimeline) -> dict[int, float]:
    """The objective time that each job of one group is planned to reach, by job index.

    Jobs that can reach none are not in the result. All jobs of the group are scheduled on
    ``timeline``, so that the next group comes after them, unless its step budget is spent.
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
    for entry in [*(planned.entry for planned in on_time), *others]:
        if timeline.budget.is_spent:
            break
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
    by_due_time = sorted(candidates, key=_by_due_time)
    schedule = _TrialSchedule(timeline)
    for number, candidate in enumerate(by_due_time):
        if timeline.budget.is_spent:
            return schedule.planned + by_due_time[number:]
        if not schedule.append(candidate):
            schedule = _without_one_job(schedule, candidate)
    return schedule.planned


def _without_one_job(schedule: _TrialSchedule, candidate: PlannedCompletion) -> _TrialSchedule:
    """Drop one job, since the candidate, which is the last job, is late."""
    budget = schedule.timeline.budget
    budget.spend(STEPS_PER_COMPARED_JOB * len(schedule.planned))
    dropped = _job_to_drop(candidate, schedule.planned, schedule.timeline.now)
    if dropped is not candidate:
        position = schedule.planned.index(dropped)
        remaining = schedule.planned[position + 1 :]
        changed = schedule.with_tail(position, remaining, candidate.due_at)
        if changed is not None:
            return changed
        # The candidate is late even without that job, so the candidate is dropped instead.
    schedule.remove_last()
    return schedule


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
    schedule = _TrialSchedule(timeline)
    for planned in on_time:
        if timeline.budget.is_spent:
            return sorted([*on_time, *candidates], key=_by_due_time)
        schedule.append(planned)
    by_work = sorted(candidates, key=_by_work)
    for number, candidate in enumerate(by_work):
        if timeline.budget.is_spent:
            return sorted([*schedule.planned, *by_work[number:]], key=_by_due_time)
        position = bisect_right(schedule.planned, _by_due_time(candidate), key=_by_due_time)
        tail = [candidate, *schedule.planned[position:]]
        schedule = schedule.with_tail(position, tail, candidate.due_at) or schedule
    return schedule.planned
