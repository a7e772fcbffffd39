"""Consequences of task failures: backoff of failing jobs, quarantine of faulty machines."""

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

MAX_RECORDED_MACHINES = 8  # maximum number in the stored record of a suspect job
INITIAL_BACKOFF_S = 5.0  # before a failing job is retried; doubled with each further failure
MAX_BACKOFF_S = 60.0


class JobFailures:
    """Applies the conclusions of ``FailureAttribution`` to jobs and machines."""

    def __init__(self, cluster_state: ClusterState, machines: dict[int, Machine]) -> None:
        """Start without recorded failures.

        Args:
            cluster_state: The jobs, and the records of suspect ones.
            machines: All machines that the leader knows, by index; shared with the registry.
        """
        self._cluster_state = cluster_state
        self._machines = machines
        self._attribution = FailureAttribution()

    def begin_epoch(self, now: float) -> None:
        """Begin with the records of former leaders, so that suspect jobs remain suspect.

        Other failures and their consequences for jobs are discarded, since this controller does not
        know how the jobs fared under the leaders in between.
        """
        self._attribution.clear()
        names = self._cluster_state.names.machines
        recorded = self._cluster_state.machines_by_suspect_job
        for job in self._cluster_state.open_jobs.values():
            job.backoff_s = job.retry_at = 0.0
            job.failing_tasks.clear()
            if job.finished_count:
                self._attribution.on_proven(job.index)
            elif job.id in recorded:
                machines = [names.index(name) for name in recorded[job.id]]
                self._attribution.restore(job.index, machines)
                job.suspect_since = now

    def is_suspect(self, job: Job) -> bool:
        """Whether the job fails everywhere, so that only one task at a time is tried."""
        return self._attribution.job_health(job.index) is JobHealth.SUSPECT

    def failed_on(self, job: Job) -> set[int]:
        """Return the machines on which the job has failed, by index."""
        return self._attribution.failed_on(job.index)

    # ---- stored records of suspect jobs ----------------------------------------------------------

    def new_suspects(self) -> dict[str, list[str]]:
        """Return suspect jobs without a record, by id, with names of machines they failed on."""
        name = self._cluster_state.names.machines.name
        return {
            job.id: [name(index) for index in sorted(self.failed_on(job))[:MAX_RECORDED_MACHINES]]
            for job in map(self._cluster_state.open_jobs.get, self._attribution.unproven())
            if job is not None
            and self.is_suspect(job)
            and job.id not in self._cluster_state.machines_by_suspect_job
        }

    def cleared_suspects(self) -> list[str]:
        """Return the ids of jobs that have a record but have finished or are no longer suspect."""
        cleared = []
        for job_id in self._cluster_state.machines_by_suspect_job:
            job = self._cluster_state.jobs_by_id.get(job_id)
            if job is not None and (job.final_status is not None or not self.is_suspect(job)):
                cleared.append(job_id)
        return cleared

    def drop_finished(self) -> None:
        """Drop the failures of unproven jobs that have their final status."""
        for job in self._attribution.unproven():
            if job not in self._cluster_state.open_jobs:
                self._attribution.on_finished(job)

    def forget(self, jobs: list[Job]) -> None:
        """Drop the failures and conclusions of jobs that are no longer in memory."""
        for job in jobs:
            self._attribution.forget(job.index)

    # ---- events ----------------------------------------------------------------------------------

    def on_completed(self, machine: Machine, job: Job, task: int) -> None:
        """Record a completed task, or a replica that ran long enough to prove its job."""
        was_suspect = self.is_suspect(job)
        self._quarantine(self._attribution.on_completed(job.index, machine.index))
        job.failing_tasks.discard(task)
        if job.backoff_s:
            job.backoff_s = job.retry_at = 0.0
        if was_suspect:
            log.info("job %s is no longer suspect: it completes tasks", job.id)

    def on_failed(self, machine: Machine, job: Job, task: int, now: float) -> None:
        """Record a task that has exited with an error, and back off its job if necessary."""
        log.info("task %d of %s failed on %s", task, job.id, machine.name)
        job.failing_tasks.add(task)
        was_suspect = self.is_suspect(job)
        self._quarantine(self._attribution.on_failed(job.index, machine.index))
        is_suspect = self.is_suspect(job)
        if is_suspect and not was_suspect:
            job.suspect_since = now
            log.warning(
                "job %s is suspect: it fails everywhere, on %d machines, and has never completed a"
                " task; one task at a time is tried until one completes or the job is cancelled",
                job.id,
                len(self.failed_on(job)),
            )
        if now < job.retry_at:
            return  # tasks that fail at the same time extend the backoff only once
        if is_suspect or self._all_pending_have_failed(job):
            job.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, job.backoff_s * 2))
            job.retry_at = now + job.backoff_s

    def _all_pending_have_failed(self, job: Job) -> bool:
        """Whether the job failed on several machines and only failed tasks are left to start."""
        if job.is_service and self._attribution.job_health(job.index) is JobHealth.PROVEN:
            return False
        return len(self.failed_on(job)) >= SUSPECT_AFTER_MACHINES and all(
            task in job.failing_tasks for task in job.pending_tasks()
        )

    def _quarantine(self, faulty: list[int]) -> None:
        for index in faulty:
            machine = self._machines.get(index)
            if machine is not None and not machine.quarantine_reason:
                machine.quarantine_reason = self._attribution.faulty[index]
                log.info("machine %s is faulty: %s", machine.name, machine.quarantine_reason)
