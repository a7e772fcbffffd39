"""Reconciliation of a worker's heartbeat with the leader's state of its machine.

``TaskReconciler`` reconciles the tasks that the heartbeat lists.
"""

from __future__ import annotations

import logging

from petrelthread import protocol
from petrelthread.fleet.attempt_outcomes import AttemptOutcomes
from petrelthread.fleet.callbacks import FleetCallbacks
from petrelthread.fleet.executed_starts import ExecutedStarts
from petrelthread.fleet.machine import Health, Machine
from petrelthread.fleet.machine_registry import MachineRegistry
from petrelthread.fleet.task_reconciler import TaskReconciler
from petrelthread.fleet.unacknowledged_starts import UnacknowledgedStarts
from petrelthread.fleet.worker_lease import WorkerLeases

log = logging.getLogger(__name__)

# Consecutive heartbeats that lack an already delivered start, after which an asymmetric partition
# of the machine is suspected.
MAX_IGNORED_STARTS = 3


class HeartbeatReconciler:
    """Updates a machine from a heartbeat, received as a request or as a command response."""

    def __init__(
        self,
        registry: MachineRegistry,
        leases: WorkerLeases,
        outcomes: AttemptOutcomes,
        unacknowledged_starts: UnacknowledgedStarts,
        executed_starts: ExecutedStarts,
        task_reconciler: TaskReconciler,
        callbacks: FleetCallbacks,
    ) -> None:
        self._registry = registry
        self._leases = leases
        self._outcomes = outcomes
        self._unacknowledged_starts = unacknowledged_starts
        self._executed_starts = executed_starts
        self._task_reconciler = task_reconciler
        self._callbacks = callbacks

    def on_heartbeat(
        self, heartbeat: protocol.WorkerHeartbeat, now: float, answered: bool
    ) -> Machine | None:
        """Reconcile a heartbeat with the state.

        Args:
            heartbeat: Sent by the worker as a request, or as its response to a command.
            now: Event loop time.
            answered: Whether a response is sent that renews the worker's lease.

        Returns:
            The machine; None if the heartbeat is stale or the machine is terminated, so that the
            task list is no evidence.
        """
        machine = self._registry.get_or_add(heartbeat.machine_name, now)
        if (heartbeat.incarnation, heartbeat.sequence_number) <= (
            machine.incarnation,
            machine.sequence_number,
        ):
            if answered:
                # The worker sent this heartbeat before the newest one arrived, and counts a renewed
                # lease from the time of sending, so from that arrival at the latest.
                machine.lease_renewed_at = max(machine.lease_renewed_at, machine.last_message_at)
            return None
        if machine.health is Health.TERMINATED:
            return None  # a delayed message: the cloud has confirmed the scale-in
        if answered:
            self._leases.on_renewed(machine, now)
        if heartbeat.incarnation > machine.incarnation:
            if machine.incarnation:
                self._on_new_incarnation(machine, heartbeat.incarnation, now)
            machine.incarnation_seen_at = now
        self._update_liveness(machine, heartbeat, now, answered)
        self._update_identity(machine, heartbeat)
        self._update_health(machine, heartbeat, now, answered)
        self._unacknowledged_starts.on_token_acknowledged(machine.index, machine.highest_token)
        self._executed_starts.on_token_acknowledged(machine.index, machine.highest_token)
        self._task_reconciler.reconcile(machine, heartbeat, now)
        self._detect_asymmetric_partition(machine, now)
        return machine

    def _on_new_incarnation(self, machine: Machine, incarnation: int, now: float) -> None:
        """Supersede the attempts, and invalidate the starts, of the incarnation that has ended."""
        self._leases.on_incarnation_ended(machine, now)
        reason = f"{machine.name} began incarnation {incarnation}"
        for attempt in list(self._registry.attempts_on(machine).values()):
            if attempt.incarnation < incarnation:
                self._outcomes.supersede(attempt, reason)
        self._unacknowledged_starts.on_incarnation_ended(machine.index, reason)
        self._executed_starts.on_incarnation_ended(machine.index)
        machine.clear_images()

    def _update_liveness(
        self, machine: Machine, heartbeat: protocol.WorkerHeartbeat, now: float, answered: bool
    ) -> None:
        """Update liveness, acknowledged epoch and lease times from the heartbeat."""
        epoch = self._registry.epoch
        acknowledges_epoch = heartbeat.fencing_token >= epoch
        if not machine.incarnation or (acknowledges_epoch and answered):
            # A heartbeat with an older token may be a copy from before the election. A worker that
            # reaches no controller still responds to commands although its lease expires, so
            # command responses do not count. The first heartbeat of a machine always counts, which
            # gives a new worker time to acknowledge the epoch.
            machine.last_seen_at = now
            machine.failed_probes = 0
        if acknowledges_epoch:
            if not answered and machine.acknowledged_epoch != epoch:
                # The worker has just adopted the token from a command. Until now a former leader
                # may have renewed its lease.
                machine.lease_renewed_at = machine.renewed_without_gap_since = now
            machine.acknowledged_epoch = epoch
            machine.failed_reads = 0
        if answered:
            machine.answered_epoch = epoch
        machine.last_message_at = now

    def _update_identity(self, machine: Machine, heartbeat: protocol.WorkerHeartbeat) -> None:
        names = self._registry.cluster_state.names
        machine.incarnation = heartbeat.incarnation
        machine.sequence_number = heartbeat.sequence_number
        machine.highest_token = max(machine.highest_token, heartbeat.fencing_token)
        machine.address = heartbeat.address or machine.address
        if heartbeat.machine_type:
            machine.machine_type = names.machine_types.index(heartbeat.machine_type)
        if heartbeat.zone:
            machine.zone = names.zones.index(heartbeat.zone)
        machine.spot = heartbeat.spot

    def _update_health(
        self, machine: Machine, heartbeat: protocol.WorkerHeartbeat, now: float, answered: bool
    ) -> None:
        reachable = answered and machine.acknowledged_epoch == self._registry.epoch
        if machine.health is Health.BOOTING:
            machine.idle_since = now
            machine.transition(Health.UP)
            self._callbacks.on_change()
        elif machine.health is Health.UNRESPONSIVE and reachable:
            log.info("machine %s is responsive again", machine.name)
            machine.transition(Health.UP)
            self._callbacks.on_change()
        if heartbeat.spot_notice_s is not None:
            self._on_spot_notice(machine, heartbeat.spot_notice_s, now)

    def _on_spot_notice(self, machine: Machine, notice_s: float, now: float) -> None:
        if machine.spot_notice_s is None:
            log.info("machine %s: spot termination notice, %.0f s left", machine.name, notice_s)
            machine.spot_notice_at = now
            self._registry.machines_with_notice[machine.index] = machine
        machine.spot_notice_s = notice_s
        if machine.health is Health.UP:
            machine.transition(Health.DRAINING)
            self._callbacks.on_change()

    def _detect_asymmetric_partition(self, machine: Machine, now: float) -> None:
        """Stop scheduling on a machine whose heartbeats arrive but which receives no messages.

        Such a machine looks healthy and idle, so the scheduler would place one task after another
        on it.
        """
        before = machine.partition_reason
        reason = ""
        if machine.ignored_starts >= MAX_IGNORED_STARTS:
            reason = "it does not carry out its start commands"
        elif self._leases.was_lost_recently(machine, now):
            reason = "its lease expired although its heartbeats were answered"
        machine.partition_reason = reason
        if reason and not before:
            log.info("machine %s: one-way partition suspected: %s", machine.name, reason)
        elif before and not reason:
            log.info("machine %s: one-way partition no longer suspected", machine.name)
