"""Ends of attempts (superseded, finished, lost with their machine), and credit for checkpoints.

``unacknowledged_starts`` documents the whole life cycle of a start, of which this is the end.
"""

from __future__ import annotations

import logging

from petrelthread.fleet.callbacks import FleetCallbacks
from petrelthread.fleet.executed_starts import ExecutedStarts
from petrelthread.fleet.machine import Machine
from petrelthread.fleet.machine_registry import MachineRegistry
from petrelthread.fleet.unacknowledged_starts import UnacknowledgedStarts
from petrelthread.state import TASK_FINISHED, TASK_PENDING, Attempt, Job

log = logging.getLogger(__name__)


class AttemptOutcomes:
    """Ends attempts in the cluster state, once there is proof that they have ended."""

    def __init__(
        self,
        registry: MachineRegistry,
        unacknowledged_starts: UnacknowledgedStarts,
        executed_starts: ExecutedStarts,
        callbacks: FleetCallbacks,
    ) -> None:
        self._registry = registry
        self._unacknowledged_starts = unacknowledged_starts
        self._executed_starts = executed_starts
        self._callbacks = callbacks
        # Tasks that have finished but are not yet durably recorded as such: task indices by job
        # index. Sets keep lookups fast for jobs with tens of thousands of tasks.
        self.finished_tasks: dict[int, set[int]] = {}

    def mark_lost(self, machine: Machine, reason: str) -> int:
        """Supersede all attempts on a machine whose tasks have certainly ended.

        The evidence is either that the worker's lease has expired (``FailureDetector.check``), or
        that the cloud has confirmed the machine's scale-in (the provisioner).

        Returns:
            The number of superseded attempts.
        """
        lost = list(self._registry.attempts_on(machine).values())
        for attempt in lost:
            self.supersede(attempt, reason)
        self._unacknowledged_starts.on_incarnation_ended(machine.index, reason)
        self._executed_starts.on_incarnation_ended(machine.index)
        return len(lost)

    def supersede(self, attempt: Attempt, reason: str) -> None:
        """End an attempt that certainly does not run and never will; its task may start again."""
        log.info(
            "operation superseded: start of %s/%d attempt %d: %s",
            attempt.job.id,
            attempt.task,
            attempt.number,
            reason,
        )
        self.credit_checkpoint(attempt, stopped=False)
        self._registry.cluster_state.release(attempt)
        self._callbacks.on_change()

    def credit_checkpoint(self, attempt: Attempt, stopped: bool) -> None:
        """Add the run time that the attempt's checkpoints preserve to its task.

        Args:
            attempt: Its run time is added once; further calls have no effect.
            stopped: Whether it was stopped gracefully and saved its progress before it exited.
        """
        job, machine = attempt.job, self._registry.machines.get(attempt.machine)
        if job.checkpoint_interval_s <= 0 or not attempt.running_at or machine is None:
            return
        ran_s = machine.last_message_at - attempt.running_at
        kept_s = ran_s if stopped else ran_s - job.lost_work_s(ran_s, stopped=False)
        if kept_s > 0:
            job.checkpointed_s[attempt.task] = job.checkpointed_s.get(attempt.task, 0.0) + kept_s
        attempt.running_at = 0.0

    def finish(self, job: Job, task: int) -> bool:
        """Mark a task as finished, for the scheduler to record durably; idempotent.

        Returns:
            Whether the task was neither recorded nor marked before in this epoch.
        """
        if job.final_status is not None or job.task_states[task] == TASK_FINISHED:
            return False
        tasks = self.finished_tasks.setdefault(job.index, set())
        if task in tasks:
            return False
        tasks.add(task)
        log.debug("task %s/%d has finished and is to be recorded", job.id, task)
        self._callbacks.on_change()
        return True

    def startable_count(self, job: Job) -> int:
        """Return how many tasks of the job may be started: pending ones not marked as finished."""
        finished = self.finished_tasks.get(job.index, ())
        return job.pending_count - sum(job.task_states[task] == TASK_PENDING for task in finished)
