"""Running tasks that may be preempted, and attempts that are already stopping."""

from __future__ import annotations

import time
from collections.abc import Iterable

from petrelthread.scheduling.job_order import MAX_START_DELAY_S
from petrelthread.scheduling.preemption_rules import Victim
from petrelthread.state import Attempt, ClusterState, Job, OperationState

# An attempt whose stop was requested longer ago than this does not count as about to free its
# capacity.
STOP_TIMEOUT_S = 5.0
# Attempts among which one round looks for tasks to preempt, so that its time does not depend on the
# number of running tasks.
MAX_EXAMINED_ATTEMPTS = 10_000


def ran_s(attempt: Attempt, now: float) -> float:
    """How long the attempt has been running, in seconds; 0 if it is not running yet."""
    return now - attempt.running_at if attempt.running_at else 0.0


def stopping_attempts(cluster_state: ClusterState, now: float) -> list[Attempt]:
    """Attempts whose stop was requested recently: their capacity is about to become free."""
    return [
        attempt
        for attempts in cluster_state.attempts_by_machine.values()
        for attempt in attempts.values()
        if attempt.stop_requested_at
        and not attempt.has_exited
        and now - attempt.stop_requested_at < STOP_TIMEOUT_S
    ]


class MachineRotation:
    """Selects the machines on which a round looks for tasks to preempt.

    These are all machines, unless they have too many attempts: then each round continues where the
    previous one ended.
    """

    def __init__(self, max_attempts: int = MAX_EXAMINED_ATTEMPTS) -> None:
        self._max_attempts = max_attempts
        self._position = 0  # of the next machine

    def next_machines(self, cluster_state: ClusterState) -> list[int]:
        """The machines of this round, by index; at least one if any has attempts."""
        counts = [(index, len(a)) for index, a in cluster_state.attempts_by_machine.items()]
        first = self._position % len(counts) if counts else 0
        selected: list[int] = []
        attempts = 0
        for index, count in counts[first:] + counts[:first]:
            if selected and attempts + count > self._max_attempts:
                self._position = first + len(selected)
                return selected
            selected.append(index)
            attempts += count
        self._position = 0
        return [index for index, _ in counts]


def preemptible_tasks(
    cluster_state: ClusterState, machines: Iterable[int], now: float
) -> list[Victim]:
    """The running tasks on the machines that may be preempted for some job."""
    wall_now = time.time()
    return [
        _victim(attempt, now)
        for machine in machines
        for attempt in cluster_state.attempts_by_machine[machine].values()
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
