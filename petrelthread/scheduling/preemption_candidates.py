"""Running tasks that may be preempted, and attempts that are already stopping."""

from __future__ import annotations

import time
from collections.abc import Iterator

from petrelthread.scheduling.job_order import MAX_START_DELAY_S
from petrelthread.scheduling.preemption_rules import Victim
from petrelthread.state import Attempt, ClusterState, Job, OperationState

# An attempt whose stop was requested longer ago than this does not count as about to free its
# capacity.
STOP_TIMEOUT_S = 5.0


def _attempts(cluster_state: ClusterState) -> Iterator[Attempt]:
    for attempts in cluster_state.attempts_by_machine.values():
        yield from attempts.values()


def ran_s(attempt: Attempt, now: float) -> float:
    """How long the attempt has been running, in seconds; 0 if it is not running yet."""
    return now - attempt.running_at if attempt.running_at else 0.0


def stopping_attempts(cluster_state: ClusterState, now: float) -> list[Attempt]:
    """Attempts whose stop was requested recently: their capacity is about to become free."""
    return [
        attempt
        for attempt in _attempts(cluster_state)
        if attempt.stop_requested_at
        and not attempt.has_exited
        and now - attempt.stop_requested_at < STOP_TIMEOUT_S
    ]


def preemptible_tasks(cluster_state: ClusterState, now: float) -> list[Victim]:
    """All running tasks that may be preempted for some job."""
    wall_now = time.time()
    return [
        _victim(attempt, now)
        for attempt in _attempts(cluster_state)
        if attempt.state is OperationState.CONFIRMED
        and not attempt.has_exited
        and not attempt.stop_requested_at
        and _is_preemptible(attempt.job, wall_now)
    ]


def _is_preemptible(job: Job, wall_now: float) -> bool:
    if job.is_gang or job.is_service:
        # A gang would lose all its tasks. A replica would be placed again before other jobs.
        return False
    # The first and only task of a job that started overdue is never preempted. It has just started,
    # so its preemption would cost least and it would be preempted repeatedly.
    is_first_task = len(job.live_attempts) == 1 and not job.finished_count
    return not (is_first_task and wall_now > job.accepted_at + MAX_START_DELAY_S)


def _victim(attempt: Attempt, now: float) -> Victim:
    job = attempt.job
    lost_s = job.lost_work_s(ran_s(attempt, now), stopped=True)
    return Victim(
        job.index,
        attempt.task,
        job.team,
        job.priority,
        attempt.machine,
        job.cores,
        job.accelerators,
        job.ram_gb,
        # Each preemption of a task doubles the cost of the next one, so that the same task is not
        # preempted repeatedly.
        lost_s * 2.0 ** job.preemption_counts.get(attempt.task, 0),
    )
