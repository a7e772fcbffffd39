"""The order in which jobs are served: guarantees, then priority, then the start that is due first.

Among jobs of one priority, two things make them wait for each other: the limit of their team and,
when more is requested than there are machines, the cores of all. ``on_time_selection`` decides
which of them are meant to be complete on time.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from petrelthread.scheduling.guarantees import Guarantee, within_guarantee
from petrelthread.scheduling.on_time_selection import CapacityTimeline, reachable_objectives
from petrelthread.scheduling.queue_entry import QueuedJob, QueueEntry

UNREACHABLE_OBJECTIVE_S = 1e6  # from now: the due time of a job that reaches no objective
LATE_JOB_SLACK_S = 70.0  # in which a late job that outlasts the backlog has to start
MAX_START_DELAY_S = 150.0  # after its acceptance a job is overdue if it has not started

MIN_SHARED_CORES = 1.0  # left for other jobs when services use all that there is


class _GroupKey(NamedTuple):
    """Jobs of one group are ordered among themselves; the smallest key is served first."""

    not_guaranteed: bool
    negative_priority: int


def order_jobs(
    entries: list[QueueEntry],
    guarantees: list[Guarantee],
    now: float,
    cores: float = math.inf,
) -> list[QueuedJob]:
    """The jobs in the order in which they are served.

    Services come first, whatever their team's share, because every second without a replica is
    lost. The others go by guarantee and priority, then by when they have to start to reach the
    objective that they can reach. Jobs that reach none come last, the longest first. But none waits
    longer than ``MAX_START_DELAY_S`` to start.

    Args:
        entries: all unfinished jobs.
        guarantees: cores and accelerators, by team index.
        now: wall clock time in seconds.
        cores: of all machines together.
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
    timeline = CapacityTimeline(shared_cores, now)
    backlog_end = now + sum(entry.remaining_core_s for entry in others) / shared_cores
    for group in _groups(others, guaranteed):
        order += _order_group(group, guaranteed, timeline, backlog_end)
    return order


def _groups(entries: list[QueueEntry], guaranteed: dict[int, bool]) -> list[list[QueueEntry]]:
    """The jobs by guarantee and priority, those that are served first at the front."""
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
    """The jobs of one group by when they have to start."""
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
    """When the job has to start; ``due_at`` is None if it reaches no objective."""
    if due_at is not None:
        start_by = due_at - entry.min_remaining_s
    elif now + entry.min_remaining_s > backlog_end:
        # Served last, a job that its team's limit holds back would run on alone after the backlog.
        # It goes on meanwhile, behind jobs that have to start sooner.
        start_by = now + LATE_JOB_SLACK_S
    else:
        start_by = now + UNREACHABLE_OBJECTIVE_S - entry.min_remaining_s
    if not entry.started:
        start_by = min(start_by, entry.accepted_at + MAX_START_DELAY_S)
    return start_by
