"""Applies committed claims: updates the cluster state, sends commands and logs the starts."""

from __future__ import annotations

import logging
import time

from petrelthread import protocol
from petrelthread.fleet import CommandDispatcher, Fleet
from petrelthread.scheduling.cluster_view import ClusterView
from petrelthread.scheduling.round_claim import RoundClaim
from petrelthread.scheduling.start_log import StartLog
from petrelthread.scheduling.start_validator import StartValidator
from petrelthread.state import (
    TASK_FINISHED,
    Attempt,
    ClusterState,
    FinishedTasksRecord,
    Job,
    KeyKind,
    OperationState,
    TaskKey,
)

log = logging.getLogger(__name__)


class ClaimApplier:
    """Applies committed claims to the cluster state and sends their commands."""

    def __init__(
        self,
        cluster_state: ClusterState,
        fleet: Fleet,
        dispatcher: CommandDispatcher,
        view: ClusterView,
        validator: StartValidator,
        obsolete_keys: list[str],
    ) -> None:
        """Initialize the applier; it removes deleted keys from ``obsolete_keys``."""
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._view = view
        self._validator = validator
        self._obsolete_keys = obsolete_keys
        self._start_log = StartLog(cluster_state, fleet)

    def apply(self, claim: RoundClaim, now: float) -> None:
        """Apply a committed claim; ``now`` is the event loop time of the round's decision."""
        for key in claim.deleted_keys:
            self._apply_deletion(key)
        self._cluster_state.machines_by_suspect_job.update(claim.suspects)
        for job in claim.completed:
            self._complete(job)
        if claim.finished_tasks_number:
            self._cluster_state.apply_finished_tasks(
                claim.finished_tasks_number, claim.finished_tasks_record
            )
            self._discard_recorded_tasks(claim.finished_tasks_record)
        launched = self._apply_starts(claim)
        stopped = [attempt for attempt in claim.stops if attempt.stop_requested_at]
        for attempt in stopped:
            attempt.stop_requested_at = now
        self._dispatcher.send(launched, stopped)

    def _apply_starts(self, claim: RoundClaim) -> list[Attempt]:
        """Add the attempts that the claim starts. Returns those to send."""
        unsent = self._invalidated_starts(claim)
        launched: list[Attempt] = []
        for number, record in claim.records:
            launched += self._cluster_state.apply_round(
                number, record, OperationState.DISPATCHING, unsent
            )
        for attempt in launched:
            attempt.job.last_start_at = time.time()
            self._start_log.write(attempt)
        return launched

    def _invalidated_starts(self, claim: RoundClaim) -> set[TaskKey]:
        """Job index and task of starts that became invalid while the claim was in flight.

        For example, a heartbeat has listed the task on another machine, or the machine has become
        unresponsive. Such a start stays recorded but is not sent.
        """
        refused = self._validator.check(claim.starts).refused
        for start, violation in refused:
            log.info(
                "start of %s/%d on %s is not sent; it became invalid after the decision: %s",
                start.job.id,
                start.task,
                start.machine.name,
                violation.value,
            )
        return {(start.job.index, start.task) for start, _ in refused}

    def _complete(self, job: Job) -> None:
        self._fleet.finished_tasks.pop(job.index, None)
        self._cluster_state.finish_job(job, protocol.JobStatus.DONE)
        log.debug(
            "job %s (class %s, team %s) done: %d tasks, %.1f s after acceptance, estimated minimum"
            " %.1f s",
            job.id,
            self._cluster_state.names.job_classes.name(job.job_class),
            self._cluster_state.names.teams.name(job.team),
            job.task_count,
            time.time() - job.accepted_at,
            self._view.wave_count(job, job.task_count) * self._view.estimates.run_s(job),
        )

    def _apply_deletion(self, key: str) -> None:
        kind, _, rest = key.partition("/")
        if kind == KeyKind.ROUND:
            self._cluster_state.attempts_by_round.pop(int(rest), None)
        elif kind == KeyKind.FINISHED_TASKS:
            self._cluster_state.open_jobs_by_finished_task_record.pop(int(rest), None)
        elif kind == KeyKind.SUSPECT_JOB:
            self._cluster_state.machines_by_suspect_job.pop(rest, None)
        elif key in self._obsolete_keys:
            self._obsolete_keys.remove(key)

    def _discard_recorded_tasks(self, record: FinishedTasksRecord) -> None:
        """Discard finished tasks that the committed record contains."""
        for finished in record:
            job = self._cluster_state.jobs_by_id.get(finished.job_id)
            if job is None:
                continue  # it was cancelled while the claim was in flight, and dropped
            tasks = self._fleet.finished_tasks.get(job.index)
            if tasks is None:
                continue
            unrecorded = {
                task
                for task in tasks
                if job.final_status is None and job.task_states[task] != TASK_FINISHED
            }
            if unrecorded:
                self._fleet.finished_tasks[job.index] = unrecorded
            else:
                del self._fleet.finished_tasks[job.index]
