"""Jobs that fail, and machines on which jobs fail: what follows for each of them."""

from __future__ import annotations

import logging

from petrelthread.fleet.failure_attribution import (
    SUSPECT_AFTER_MACHINES,
    FailureAttribution,
    JobHealth,
)
from petrelthread.fleet.machine import Machine
from petrelthread.state import ClusterState, Job

log = logging.getLogger(__name__)

MAX_RECORDED_MACHINES = 8  # named in the record of a job that fails everywhere
INITIAL_BACKOFF_S = 5.0  # until a failing job is tried again, doubled each time
MAX_BACKOFF_S = 60.0


class JobFailures:
    """Applies the judgement of ``Failures`` to the jobs and machines of one leader."""

    def __init__(self, cluster_state: ClusterState, machines: dict[int, Machine]) -> None:
        """``machines``: by index, all that the leader knows."""
        self._cluster_state = cluster_state
        self._machines = machines
        self._failures = FailureAttribution()

    def fail_over(self, now: float) -> None:
        """Begin anew with what the records tell. Judged from scratch by each leader, a job that
        fails everywhere started all its tasks again each time."""
        self._failures.clear()
        for job in self._cluster_state.open_jobs.values():
            if job.done_count:
                self._failures.prove(job.index)
            elif job.id in self._cluster_state.machines_by_failing_job:
                names = self._cluster_state.names.machines
                on = [
                    names.index(name)
                    for name in self._cluster_state.machines_by_failing_job[job.id]
                ]
                self._failures.restore(job.index, on)
                job.suspect_since = now

    def is_suspect(self, job: Job) -> bool:
        """It fails on every machine: one task at a time is tried, and nothing waits for it."""
        return self._failures.job_health(job.index) is JobHealth.SUSPECT

    def failed_on(self, job: Job) -> set[int]:
        """The machines on which it has failed, by index."""
        return self._failures.failed_on(job.index)

    def new_suspects(self) -> dict[str, list[str]]:
        """Jobs that fail everywhere and are not on record as such, with machines that show it."""
        name = self._cluster_state.names.machines.name
        return {
            job.id: [name(index) for index in sorted(self.failed_on(job))[:MAX_RECORDED_MACHINES]]
            for job in map(self._cluster_state.jobs.__getitem__, self._failures.unproven())
            if job.final_status is None
            and self.is_suspect(job)
            and job.id not in self._cluster_state.machines_by_failing_job
        }

    def cleared_suspects(self) -> list[str]:
        """Jobs on record as failing everywhere that no longer count as such."""
        out = []
        for job_id in self._cluster_state.machines_by_failing_job:
            job = self._cluster_state.jobs_by_id.get(job_id)
            if job is not None and (job.final_status is not None or not self.is_suspect(job)):
                out.append(job_id)
        return out

    def drop_finished(self) -> None:
        """Jobs that are over are judged no more."""
        for job in self._failures.unproven():
            if self._cluster_state.jobs[job].final_status is not None:
                self._failures.over(job)

    def on_completed(self, machine: Machine, job: Job, task: int) -> None:
        """A task has completed, or a replica has run for long enough to show that it can."""
        was_suspect = self.is_suspect(job)
        for index in self._failures.completed(job.index, machine.index):
            self._mark_faulty(index)
        job.failing_tasks.discard(task)
        if job.backoff_s:
            job.backoff_s = job.retry_at = 0.0
        if was_suspect:
            log.info("job %s completes tasks after all", job.id)

    def on_failed(self, machine: Machine, job: Job, task: int, now: float) -> None:
        """A task has ended with an error."""
        log.info("task %d of %s failed on %s", task, job.id, machine.name)
        job.failing_tasks.add(task)
        was_suspect = self.is_suspect(job)
        for index in self._failures.failed(job.index, machine.index):
            self._mark_faulty(index)
        suspect = self.is_suspect(job)
        if suspect and not was_suspect:
            job.suspect_since = now
            log.warning(
                "job %s fails everywhere, on %d machines, and has never completed a task:"
                " one task at a time is tried until it does or is cancelled",
                job.id,
                len(self.failed_on(job)),
            )
        if now < job.retry_at:
            return  # a batch that fails together counts once
        if suspect or self._all_that_waits_has_failed(job):
            job.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, job.backoff_s * 2))
            job.retry_at = now + job.backoff_s

    def _all_that_waits_has_failed(self, job: Job) -> bool:
        if job.is_service and self._failures.job_health(job.index) is JobHealth.PROVEN:
            return False
        return len(self.failed_on(job)) >= SUSPECT_AFTER_MACHINES and all(
            other in job.failing_tasks for other in job.pending_tasks()
        )

    def _mark_faulty(self, index: int) -> None:
        machine = self._machines.get(index)
        if machine is not None and not machine.quarantine_reason:
            machine.quarantine_reason = self._failures.faulty[index]
            log.info("machine %s is faulty: %s", machine.name, machine.quarantine_reason)
