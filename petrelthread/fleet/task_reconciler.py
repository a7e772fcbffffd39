"""Reconciliation of the tasks that a heartbeat lists with the recorded attempts."""

from __future__ import annotations

import logging

from petrelthread import protocol
from petrelthread.fleet.attempt_outcomes import AttemptOutcomes
from petrelthread.fleet.callbacks import FleetCallbacks
from petrelthread.fleet.executed_starts import ExecutedStarts
from petrelthread.fleet.job_failures import JobFailures
from petrelthread.fleet.machine import Machine
from petrelthread.fleet.machine_registry import MachineRegistry
from petrelthread.fleet.start_key import StartKey, start_key_of
from petrelthread.fleet.unacknowledged_starts import UnacknowledgedStarts
from petrelthread.state import (
    TASK_PENDING,
    Attempt,
    Job,
    OperationState,
    TaskKey,
    epoch_of,
    transition,
)

log = logging.getLogger(__name__)

STATES_BEFORE_RUNNING = ("", protocol.TaskState.FETCHING, protocol.TaskState.GATHERING)
STATES_AFTER_START = (protocol.TaskState.RUNNING, protocol.TaskState.SAVING)
REFUSAL_CAUSES = (
    protocol.ExitCause.NO_CAPACITY,
    protocol.ExitCause.IN_USE,
    protocol.ExitCause.UNKNOWN_TASK,
)
REFUSED_RETRY_DELAY_S = 1.0
REPLICA_STABLE_AFTER_S = 8.0  # a replica that has run this long shows that its job works


class TaskReconciler:
    """Advances attempts according to what their worker lists, or no longer lists."""

    def __init__(
        self,
        registry: MachineRegistry,
        outcomes: AttemptOutcomes,
        unacknowledged_starts: UnacknowledgedStarts,
        executed_starts: ExecutedStarts,
        job_failures: JobFailures,
        callbacks: FleetCallbacks,
    ) -> None:
        self._registry = registry
        self._cluster_state = registry.cluster_state
        self._outcomes = outcomes
        self._unacknowledged_starts = unacknowledged_starts
        self._executed_starts = executed_starts
        self._job_failures = job_failures
        self._callbacks = callbacks

    def reconcile(self, machine: Machine, heartbeat: protocol.WorkerHeartbeat, now: float) -> None:
        """Reconcile all tasks on the machine with the newest heartbeat of its worker."""
        listed = self._reconcile_all_listed(machine, heartbeat, now)
        for key, attempt in list(self._registry.attempts_on(machine).items()):
            if attempt.incarnation < heartbeat.incarnation:
                self._outcomes.supersede(
                    attempt, f"{machine.name} is in incarnation {heartbeat.incarnation}"
                )
            elif key not in listed and attempt.incarnation == heartbeat.incarnation:
                self._reconcile_missing(machine, attempt)
        if self._registry.attempts_on(machine):
            machine.idle_since = now

    # ---- listed tasks ----------------------------------------------------------------------------

    def _reconcile_all_listed(
        self, machine: Machine, heartbeat: protocol.WorkerHeartbeat, now: float
    ) -> set[TaskKey]:
        """Reconcile each listed task. Returns those with a recorded attempt on this machine."""
        listed: set[TaskKey] = set()
        listed_starts: set[StartKey] = set()
        has_direct_starts = self._has_direct_starts(machine)
        attempts = self._registry.attempts_on(machine)
        for task_report in heartbeat.tasks:
            job_id, task = task_report.job_and_index
            job = self._cluster_state.jobs_by_id.get(job_id)
            if job is None or not 0 <= task < job.task_count:
                continue
            if has_direct_starts:
                listed_starts.add(StartKey(job.index, task, task_report.attempt))
            key = (job.index, task)
            attempt = attempts.get(key)
            if attempt is None or attempt.number != task_report.attempt:
                attempt = self._adopt_unrecorded(
                    machine, heartbeat.incarnation, job, task, task_report
                )
                if attempt is None:
                    continue
                attempts = self._registry.attempts_on(machine)
            listed.add(key)
            self._reconcile_listed(machine, attempt, task_report, now)
        if has_direct_starts:
            self._unacknowledged_starts.on_listing(machine.index, listed_starts)
            self._executed_starts.on_listing(machine.index, listed_starts, now)
        return listed

    def _has_direct_starts(self, machine: Machine) -> bool:
        """Whether a late command could start a task on the machine, for the first time or again."""
        return self._unacknowledged_starts.has_any_on(
            machine.index
        ) or self._executed_starts.has_any_on(machine.index)

    def _adopt_unrecorded(
        self,
        machine: Machine,
        incarnation: int,
        job: Job,
        task: int,
        task_report: protocol.TaskReport,
    ) -> Attempt | None:
        """Record an attempt that runs without a record, so that its task starts nowhere else.

        Returns:
            The new attempt; None if the attempt has exited, or its task is not pending.
        """
        if task_report.state == protocol.TaskState.EXITED:
            if _is_finished(job, task_report):
                self._count_finished(machine, job, task)
            return None
        if job.final_status is not None or job.task_states[task] != TASK_PENDING:
            return None
        log.info("machine %s runs unrecorded task %s/%d: adopted", machine.name, job.id, task)
        return self._cluster_state.add_attempt(
            task_report.attempt, job, task, machine.index, incarnation
        )

    def _reconcile_listed(
        self, machine: Machine, attempt: Attempt, task_report: protocol.TaskReport, now: float
    ) -> None:
        """Apply the reported state of a recorded attempt."""
        job, state = attempt.job, task_report.state
        if attempt.state is not OperationState.CONFIRMED:
            transition(attempt, OperationState.CONFIRMED)
            if epoch_of(attempt.number) == self._registry.epoch:
                machine.ignored_starts = 0
        before = self._cluster_state.set_reported_state(attempt, state)
        if job.is_service and state == protocol.TaskState.RUNNING and not attempt.proven_stable:
            attempt.proven_stable = 0 < attempt.running_at < now - REPLICA_STABLE_AFTER_S
            if attempt.proven_stable:
                self._job_failures.on_completed(machine, job, attempt.task)
        if state in STATES_AFTER_START and before in STATES_BEFORE_RUNNING:
            attempt.running_at = now
            self._use_image(machine, job)
        if state == protocol.TaskState.EXITED:
            if before != protocol.TaskState.EXITED:
                self._callbacks.on_change()
            self._on_exited(machine, attempt, task_report, now)

    def _use_image(self, machine: Machine, job: Job) -> None:
        cache_gb = self._callbacks.image_cache_gb(machine.machine_type)
        machine.use_image(job.image, job.image_size_gb, cache_gb)

    # ---- exited tasks ----------------------------------------------------------------------------

    def _on_exited(
        self, machine: Machine, attempt: Attempt, task_report: protocol.TaskReport, now: float
    ) -> None:
        """Apply the exit of a recorded attempt.

        Called for every heartbeat that lists the exited attempt, not only for the first one: an
        election discards finished tasks that are not recorded, but not the reported states of the
        attempts. All effects are therefore idempotent.
        """
        job, cause = attempt.job, task_report.exit_cause
        if _is_finished(job, task_report):
            self._on_finished(machine, attempt, now)
            return
        if cause == protocol.ExitCause.ERROR:
            self._job_failures.on_failed(machine, job, attempt.task, now)
        elif cause in REFUSAL_CAUSES:
            log.info("machine %s refused %s/%d: %s", machine.name, job.id, attempt.task, cause)
            job.retry_at = max(job.retry_at, now + REFUSED_RETRY_DELAY_S)
        elif task_report.progress_saved:
            self._outcomes.credit_checkpoint(attempt, stopped=True)
        # The worker keeps listing the attempt until it gets a forget command, so that no delayed
        # command can start it again. Once superseded, the attempt is no longer recorded here.
        self._outcomes.supersede(attempt, f"ended: {cause}")

    def _on_finished(self, machine: Machine, attempt: Attempt, now: float) -> None:
        job = attempt.job
        if attempt.running_at:
            checkpointed_s = job.checkpointed_s.pop(attempt.task, 0.0)
            self._callbacks.on_run_time(job, checkpointed_s + now - attempt.running_at)
            attempt.running_at = 0.0
        if job.final_status is None:
            self._count_finished(machine, job, attempt.task)
        else:
            self._on_completed(machine, job, attempt.task)
            self._cluster_state.release(attempt, task_finished=True)

    def _count_finished(self, machine: Machine, job: Job, task: int) -> None:
        """Count a finished task, once in each epoch until it is recorded."""
        if self._outcomes.finish(job, task):
            self._on_completed(machine, job, task)

    def _on_completed(self, machine: Machine, job: Job, task: int) -> None:
        self._job_failures.on_completed(machine, job, task)
        self._use_image(machine, job)

    # ---- missing tasks ---------------------------------------------------------------------------

    def _reconcile_missing(self, machine: Machine, attempt: Attempt) -> None:
        """Supersede an attempt that the newest heartbeat does not list, if that proves its end."""
        start = start_key_of(attempt)
        if machine.commands_in_flight or self._unacknowledged_starts.contains(machine.index, start):
            return  # a delayed direct command may still start it
        if attempt.state is OperationState.CONFIRMED:
            if self._executed_starts.contains(machine.index, start):
                return  # the machine has restarted, and a late copy may start it again
            if not attempt.has_exited:
                self._outcomes.supersede(attempt, f"{machine.name} no longer lists it")
            return
        epoch = self._registry.epoch
        if epoch_of(attempt.number) >= epoch:
            # A start of this epoch is sent again; one of a newer epoch is left to its leader.
            return
        if machine.highest_token >= epoch:
            # The worker rejects the commands of all former leaders.
            self._outcomes.supersede(
                attempt, f"{machine.name} does not list it and acknowledges epoch {epoch}"
            )


def _is_finished(job: Job, task_report: protocol.TaskReport) -> bool:
    """Whether the exited task has completed its work; replicas of services never do."""
    return task_report.exit_cause == protocol.ExitCause.DONE and not job.is_service
