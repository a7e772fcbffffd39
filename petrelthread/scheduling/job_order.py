"""The scheduling order of jobs: by guarantee, then priority, then the latest start time.

Jobs of one priority compete for the quota of their team and, when jobs request more than all
machines have, for the cores of the cluster. ``on_time_selection`` decides which of them are planned
to be complete on time.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from petrelthread.scheduling.capacity_timeline import CapacityTimeline, StepBudget
from petrelthread.scheduling.guarantees import Guarantee, within_guarantee
from petrelthread.scheduling.on_time_selection import reachable_objectives
from petrelthread.scheduling.queue_entry import QueuedJob, QueueEntry

# Assumed time from now to the due time of a job that can reach no objective.
UNREACHABLE_OBJECTIVE_S = 1e6
# Assumed time from now to the latest start of a late job that would otherwise still run alone after
# the backlog is complete.
LATE_JOB_SLACK_S = 70.0
# A job that has not started this long after its acceptance is overdue.
MAX_START_DELAY_S = 150.0

# Steps of one ordering; bounds its time, which otherwise grows with the square of the jobs.
MAX_STEPS = 10_000

MIN_SHARED_CORES = 1.0  # cores assumed for other jobs if services request all cores


class _GroupKey(NamedTuple):
    """Key of a group of jobs that are ordered among themselves; the smallest comes first."""

    not_guaranteed: bool
    negative_priority: int


def order_jobs(
    entries: list[QueueEntry],
    guarantees: list[Guarantee],
    now: float,
    cores: float = math.inf,
    max_steps: float = MAX_STEPS,
) -> list[QueuedJob]:
    """The jobs in scheduling order.

    Services come first, regardless of their team's guarantee, because time without a replica cannot
    be made up later. The others are ordered by guarantee and priority, then by the latest start
    with which they reach the objective that is planned for them. Jobs that can reach no objective
    come last, the longest first. A job that has not started has a latest start of at most
    ``MAX_START_DELAY_S`` after its acceptance and is overdue after that.

    Args:
        entries: all unfinished jobs.
        guarantees: guaranteed cores and accelerators, by team index.
        now: wall clock time in seconds.
        cores: cores that all jobs together can keep busy.
        max_steps: steps that planning which jobs are on time may take; see ``StepBudget``.
    """
    guaranteed = within_guarantee(entries, guarantees)
    services = sorted(
        (entry for entry in entries if entry.is_service),
        key=lambda entry: (-entry.priority, entry.accepted_at, entry.job_index),
    )
    others = [entry for entry in entries if not entry.is_service]
    order = [QueuedJob(entry.job_index, guaranteed[entry.job_index], now) for entry in services]
    service_cores = sum(entry.parallel_cores for entry in services)
    shared_cores = max(cores - service_cores, MIN_SHARED_CORES)
    timeline = CapacityTimeline(shared_cores, now, _horizon(others, now), StepBudget(max_steps))
    backlog_end = now + sum(entry.remaining_core_s for entry in others) / shared_cores
    for group in _groups(others, guaranteed):
        order += _order_group(group, guaranteed, timeline, backlog_end)
    return order


def _horizon(entries: list[QueueEntry], now: float) -> float:
    """The latest objective time of all jobs: when a job completes after it does not matter."""
    latest = (entry.objective_times[-1] for entry in entries if entry.objective_times)
    return max(latest, default=now)


def _groups(entries: list[QueueEntry], guaranteed: dict[int, bool]) -> list[list[QueueEntry]]:
    """Group the jobs by guarantee and priority, in scheduling order."""
    groups: dict[_GroupKey, list[QueueEntry]] = {}
    for entry in entries:
        key = _GroupKey(not guaranteed[entry.job_index], -entry.priority)
        groups.setdefault(key, []).append(entry)
    return [members for _, members in sorted(groups.items())]


def _order_group(
    group: list[QueueEntry],
    guaranteed: dict[int, bool],
    timeline: CapacityTimeline,
    backlog_end: float,
) -> list[QueuedJob]:
    """Order the jobs of one group by their latest start."""
    now = timeline.now
    due_times = reachable_objectives(group, timeline)
    by_start: list[tuple[float, float, int, QueueEntry]] = []
    for entry in group:
        start_by = _latest_start(entry, due_times.get(entry.job_index), now, backlog_end)
        by_start.append((start_by, entry.accepted_at, entry.job_index, entry))
    return [
        QueuedJob(
            entry.job_index,
            guaranteed[entry.job_index],
            due_times.get(entry.job_index, now + UNREACHABLE_OBJECTIVE_S),
            not entry.started and now > entry.accepted_at + MAX_START_DELAY_S,
        )
        for *_, entry in sorted(by_start)
    ]


def _latest_start(entry: QueueEntry, due_at: float | None, now: float, backlog_end: float) -> float:
    """When the job has to start at the latest; ``due_at`` is None if it reaches no objective."""
    if due_at is not None:
        start_by = due_at - entry.min_remaining_s
    elif now + entry.min_remaining_s > backlog_end:
        # In last place, a job limited by its team's quota would still run alone after the backlog
        # is complete. It runs alongside the backlog instead, behind jobs with an earlier start.
        start_by = now + LATE_JOB_SLACK_S
    else:
        start_by = now + UNREACHABLE_OBJECTIVE_S - entry.min_remaining_s
    if not entry.started:
        start_by = min(start_by, entry.accepted_at + MAX_START_DELAY_S)
    return start_by
