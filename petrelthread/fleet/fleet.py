"""The leader's view of all machines and of the attempts on them."""

from __future__ import annotations

import logging
from collections.abc import Collection

from petrelthread import protocol
from petrelthread.fleet.attempt_outcomes import AttemptOutcomes
from petrelthread.fleet.callbacks import NO_CALLBACKS, FleetCallbacks
from petrelthread.fleet.executed_starts import ExecutedStarts
from petrelthread.fleet.heartbeat_reconciler import HeartbeatReconciler
from petrelthread.fleet.job_failures import JobFailures
from petrelthread.fleet.machine import NEVER, Machine
from petrelthread.fleet.machine_registry import NO_EPOCH, MachineRegistry
from petrelthread.fleet.start_key import start_key_of
from petrelthread.fleet.task_reconciler import TaskReconciler
from petrelthread.fleet.token_raise_policy import TokenRaisePolicy
from petrelthread.fleet.unacknowledged_starts import UnacknowledgedStarts
from petrelthread.fleet.worker_lease import WorkerLeases
from petrelthread.state import Attempt, ClusterState, Job

log = logging.getLogger(__name__)


class Fleet(MachineRegistry):
    """The registry of machines, with the reconciliation of what their workers report.

    This state is not durable: a new leader builds it again from the workers' heartbeats.

    Attributes:
        lease_s: The duration of a worker's lease.
        heartbeat_interval_s: The interval at which workers send heartbeats.
        fencing_token: Sent with commands and heartbeat responses; at least the epoch, as it may
            have been raised since the election.
        resumed_at: When this process last resumed after a pause; event loop time.
        finished_tasks: Finished tasks not yet durably recorded: task indices by job index.
        unacknowledged_starts: Starts that were sent and may still take effect.
        executed_starts: Executed direct starts that a late copy could repeat.
        token_raise_policy: When the fencing token is raised.
        job_failures: Failing jobs and faulty machines.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        lease_s: float,
        heartbeat_interval_s: float,
        lease_grace_s: float,
        callbacks: FleetCallbacks = NO_CALLBACKS,
    ) -> None:
        """Start without machines.

        Args:
            cluster_state: The durable state of the cluster.
            lease_s: The duration of a worker's lease.
            heartbeat_interval_s: The interval at which workers send heartbeats.
            lease_grace_s: How long a former leader may answer heartbeats after it lost leadership.
            callbacks: Calls to the rest of the controller.
        """
        super().__init__(cluster_state)
        self.lease_s = lease_s
        self.heartbeat_interval_s = heartbeat_interval_s
        self.callbacks = callbacks
        self.fencing_token = 0
        self.resumed_at = NEVER
        self.job_failures = JobFailures(cluster_state, self.machines)
        self.unacknowledged_starts = UnacknowledgedStarts(
            lease_s, lease_grace_s, callbacks.state_current_as_of
        )
        self.executed_starts = ExecutedStarts()
        self.token_raise_policy = TokenRaisePolicy(
            lease_s, lease_grace_s, self.unacknowledged_starts, self.executed_starts
        )
        self._leases = WorkerLeases(self, lease_s, lease_grace_s)
        self._outcomes = AttemptOutcomes(
            self, self.unacknowledged_starts, self.executed_starts, callbacks
        )
        self.finished_tasks = self._outcomes.finished_tasks
        self._heartbeat_reconciler = self._build_heartbeat_reconciler()

    def _build_heartbeat_reconciler(self) -> HeartbeatReconciler:
        task_reconciler = TaskReconciler(
            self,
            self._outcomes,
            self.unacknowledged_starts,
            self.executed_starts,
            self.job_failures,
            self.callbacks,
        )
        return HeartbeatReconciler(
            self,
            self._leases,
            self._outcomes,
            self.unacknowledged_starts,
            self.executed_starts,
            task_reconciler,
            self.callbacks,
        )

    def step_down(self) -> None:
        """End this controller's leadership: delayed responses for its epoch have no effect."""
        self.epoch = NO_EPOCH

    def begin_leadership(
        self, epoch: int, now: float, recorded_machines: Collection[str] = ()
    ) -> None:
        """Begin this controller's leadership; see ``MachineRegistry.begin_epoch``."""
        self.fencing_token = epoch
        self.executed_starts.clear()
        self._discard_finished_tasks(epoch)
        self.job_failures.begin_epoch(now)
        self.begin_epoch(epoch, now, recorded_machines)

    def _discard_finished_tasks(self, epoch: int) -> None:
        """Discard unrecorded finished tasks; their workers list them until they are recorded."""
        for job_index, tasks in self.finished_tasks.items():
            log.info(
                "epoch %d: %d finished tasks of %s are not recorded; their workers list them again",
                epoch,
                len(tasks),
                self.cluster_state.jobs[job_index].id,
            )
        self.finished_tasks.clear()

    def drop_past(self, now: float) -> None:
        """Drop finished jobs and terminated machines that are no longer needed from memory."""
        self.drop_finished_jobs()
        self.drop_terminated(now)

    def drop_finished_jobs(self) -> None:
        """Drop finished jobs from memory, except recent ones and those that are still needed."""
        if not self.cluster_state.finished_jobs.excess:
            return
        needed = (
            self.finished_tasks.keys()
            | self.unacknowledged_starts.jobs()
            | self.executed_starts.jobs()
        )
        dropped = self.cluster_state.drop_finished_jobs(lambda job: job.index in needed)
        self.job_failures.forget(dropped)

    def on_heartbeat(
        self, heartbeat: protocol.WorkerHeartbeat, now: float, answered: bool
    ) -> Machine | None:
        """Reconcile a heartbeat with the state; see ``HeartbeatReconciler.on_heartbeat``."""
        return self._heartbeat_reconciler.on_heartbeat(heartbeat, now, answered)

    def lease_expires_at(self, machine: Machine) -> float:
        """Return when the worker's lease has certainly expired; see ``WorkerLeases.expires_at``."""
        return self._leases.expires_at(machine)

    def on_start_sent(self, attempt: Attempt, machine: Machine, now: float) -> None:
        """Track a direct start command that is sent now with the present fencing token."""
        renewed_at = self._leases.may_be_renewed_until(machine, now)
        self.unacknowledged_starts.on_sent(
            attempt, machine.name, self.fencing_token, now, renewed_at
        )

    def on_start_executed(self, attempt: Attempt) -> None:
        """Record that the worker has executed a direct start, unless it can never be repeated."""
        start = self.unacknowledged_starts.on_acknowledged(attempt)
        if start is not None:
            self.executed_starts.on_executed(
                attempt.machine, start_key_of(attempt), start.fencing_token
            )

    def late_command_may_start(self, attempt: Attempt) -> bool:
        """Whether a late direct command would start the attempt, as its worker does not list it."""
        start = start_key_of(attempt)
        return self.unacknowledged_starts.contains(
            attempt.machine, start
        ) or self.executed_starts.contains(attempt.machine, start)

    def mark_lost(self, machine: Machine, reason: str) -> int:
        """Supersede all attempts on a lost machine; see ``AttemptOutcomes.mark_lost``."""
        return self._outcomes.mark_lost(machine, reason)

    def supersede(self, attempt: Attempt, reason: str) -> None:
        """End an attempt that certainly does not run and never will."""
        self._outcomes.supersede(attempt, reason)

    def startable_count(self, job: Job) -> int:
        """Return how many tasks of the job may be started."""
        return self._outcomes.startable_count(job)
