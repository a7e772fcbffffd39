"""The leader's view of all machines and of the attempts on them."""

from __future__ import annotations

from collections.abc import Collection

from petrelthread import protocol
from petrelthread.fleet.attempt_outcomes import AttemptOutcomes
from petrelthread.fleet.callbacks import NO_CALLBACKS, FleetCallbacks
from petrelthread.fleet.heartbeat_reconciler import HeartbeatReconciler
from petrelthread.fleet.job_failures import JobFailures
from petrelthread.fleet.machine import NEVER, Machine
from petrelthread.fleet.machine_registry import NO_EPOCH, MachineRegistry
from petrelthread.fleet.task_reconciler import TaskReconciler
from petrelthread.fleet.unacknowledged_starts import UnacknowledgedStarts
from petrelthread.fleet.worker_lease import WorkerLeases
from petrelthread.state import Attempt, ClusterState, Job


class Fleet(MachineRegistry):
    """The registry of machines, with all that follows from what their workers report.

    Nothing here is durable: a new leader reads it from the workers again.

    Attributes:
        lease_s: The duration of a worker's lease.
        heartbeat_interval_s: How often workers report.
        fencing_token: Carried by commands and answers; the epoch, or raised since.
        resumed_at: Since when this process has run without a pause; event loop time.
        finished_tasks: Finished but not yet durably recorded: job index to task indices.
        unacknowledged_starts: Starts that were sent and may still be carried out.
        job_failures: Jobs and machines that fail.
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
            cluster_state: What is durable.
            lease_s: The duration of a worker's lease.
            heartbeat_interval_s: How often workers report.
            lease_grace_s: How long a former leader may answer workers after losing the lead.
            callbacks: Links to the rest of the controller.
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
        self._leases = WorkerLeases(self, lease_s, lease_grace_s)
        self._outcomes = AttemptOutcomes(self, self.unacknowledged_starts, callbacks)
        self.finished_tasks = self._outcomes.finished_tasks
        self._heartbeat_reconciler = self._build_heartbeat_reconciler()

    def _build_heartbeat_reconciler(self) -> HeartbeatReconciler:
        task_reconciler = TaskReconciler(
            self, self._outcomes, self.unacknowledged_starts, self.job_failures, self.callbacks
        )
        return HeartbeatReconciler(
            self,
            self._leases,
            self._outcomes,
            self.unacknowledged_starts,
            task_reconciler,
            self.callbacks,
        )

    def step_down(self) -> None:
        """This controller leads no more; late responses for its epoch must have no effect."""
        self.epoch = NO_EPOCH

    def fail_over(self, epoch: int, now: float, recorded_machines: Collection[str] = ()) -> None:
        """This controller leads from now on; see ``MachineRegistry.begin_epoch``."""
        self.fencing_token = epoch
        self.finished_tasks.clear()  # workers report what is not durable again
        self.job_failures.fail_over(now)
        self.begin_epoch(epoch, now, recorded_machines)

    def on_heartbeat(
        self, heartbeat: protocol.WorkerHeartbeat, now: float, answered: bool
    ) -> Machine | None:
        """Reconcile a heartbeat with the state; see ``HeartbeatReconciler.on_heartbeat``."""
        return self._heartbeat_reconciler.on_heartbeat(heartbeat, now, answered)

    def lease_expires_at(self, machine: Machine) -> float:
        """When the worker's lease has certainly expired; see ``WorkerLeases.expires_at``."""
        return self._leases.expires_at(machine)

    def on_start_sent(self, attempt: Attempt, machine: Machine, now: float) -> None:
        """A direct command with the present token, sent now, may start the attempt."""
        renewed_at = self._leases.may_be_renewed_until(machine, now)
        self.unacknowledged_starts.on_sent(
            attempt, machine.name, self.fencing_token, now, renewed_at
        )

    def mark_lost(self, machine: Machine, reason: str) -> int:
        """Supersede all on a machine that is certainly gone; see ``AttemptOutcomes.mark_lost``."""
        return self._outcomes.mark_lost(machine, reason)

    def supersede(self, attempt: Attempt, reason: str) -> None:
        """End an attempt that certainly does not run and never will."""
        self._outcomes.supersede(attempt, reason)

    def startable_count(self, job: Job) -> int:
        """How many tasks of the job may be started."""
        return self._outcomes.startable_count(job)
