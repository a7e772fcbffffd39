"""Selection of tasks to stop on spot machines that the cloud is about to reclaim."""

from __future__ import annotations

from petrelthread.fleet import Fleet, Health
from petrelthread.scheduling.preemption_candidates import ran_s
from petrelthread.scheduling.run_time_estimates import RunTimeEstimates
from petrelthread.state import Attempt


def attempts_unfinished_at_reclaim(
    fleet: Fleet, estimates: RunTimeEstimates, now: float
) -> list[Attempt]:
    """Attempts that are not expected to finish before their machine is reclaimed.

    Removes terminated machines from ``fleet.machines_with_notice``.
    """
    attempts = []
    for machine in list(fleet.machines_with_notice.values()):
        if machine.health is Health.TERMINATED:
            del fleet.machines_with_notice[machine.index]
        if machine.health is not Health.DRAINING or machine.spot_notice_s is None:
            continue
        reclaim_in_s = machine.spot_notice_s - (now - machine.spot_notice_at)
        for attempt in fleet.attempts_on(machine).values():
            if attempt.has_exited or attempt.stop_requested_at:
                continue
            if _remaining_run_s(attempt, estimates, now) > max(reclaim_in_s, 0.0):
                attempts.append(attempt)
    return attempts


def _remaining_run_s(attempt: Attempt, estimates: RunTimeEstimates, now: float) -> float:
    run_s = estimates.run_s(attempt.job)
    run_s -= attempt.job.checkpointed_s.get(attempt.task, 0.0)
    return run_s - ran_s(attempt, now)
