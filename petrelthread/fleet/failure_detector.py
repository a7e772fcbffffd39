"""Detection of unresponsive machines, and of machines whose tasks are lost.

The module makes three decisions, each from different evidence:

- *Unresponsive*: the machine sends no heartbeats within the heartbeat timeout or does not respond
  to reads by a new leader (``FailureDetector.check``), or it does not respond to probes
  (``on_probe``). It gets no new work, and the provisioner scales it in. Its tasks may still run,
  so none of them is started elsewhere yet.
- *Quarantined*: the machine sends heartbeats, but an asymmetric partition keeps messages from
  reaching it (``check``). It gets no new work either, and the provisioner scales it in.
- *Lost*: the worker's lease has certainly expired (``check``, by ``WorkerLeases.expires_at``), or
  the cloud has confirmed the machine's scale-in (``provisioning``). ``Fleet.mark_lost`` ends its
  attempts, and their tasks may start elsewhere. A new incarnation of the worker likewise ends the
  attempts of the former one (``HeartbeatReconciler``).
"""

from __future__ import annotations

import logging

from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.machine import Health, Machine

log = logging.getLogger(__name__)

READ_INTERVAL_S = 2.5  # minimum time between two reads of the same worker by a new leader
# Consecutive failed reads after which a machine is unresponsive before its heartbeat timeout.
MAX_FAILED_READS = 2
# A heartbeat is overdue after this many heartbeat intervals plus the longest transit time.
OVERDUE_AFTER_INTERVALS = 1.25
MAX_HEARTBEAT_TRANSIT_S = 0.75
MAX_FAILED_PROBES = 2  # consecutive failed probes after which a machine's replicas are replaced
# Added to the heartbeat timeout of workers that this leader has not answered yet: they may still be
# looking for the new leader. The timeout itself has a margin (``SchedulingLoop``); together they
# exceed ``protocol.LEADER_DISCOVERY_S``.
LEADER_DISCOVERY_MARGIN_S = 4.0
# If heartbeats of more machines than this, and of more than half, are overdue, the fault is
# probably on this controller's side.
MAX_INDEPENDENT_OVERDUE = 2


class FailureDetector:
    """Detects failures by the times recorded in the fleet; the only class to set UNRESPONSIVE."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def check(self, now: float, timeout_s: float) -> None:
        """Mark unresponsive machines, quarantine partitioned ones, and expire leases.

        Args:
            now: Event loop time.
            timeout_s: How long a machine may go without sending a heartbeat.
        """
        self._fleet.job_failures.drop_finished()
        seen_after = now - timeout_s
        partitioned: list[Machine] = []
        up_count = 0
        for machine in list(self._fleet.machines.values()):
            if machine.health is not Health.UP and machine.health is not Health.DRAINING:
                continue
            up_count += 1
            if machine.last_seen_at < seen_after and self._mark_if_timed_out(
                machine, now, timeout_s
            ):
                continue
            if machine.failed_reads >= MAX_FAILED_READS and self._mark_if_unreadable(machine, now):
                continue
            if machine.partition_reason:
                partitioned.append(machine)
        # If most machines seem to be partitioned, the fault is probably on this controller's side.
        if 2 * len(partitioned) <= max(2, up_count):
            for machine in partitioned:
                self._quarantine_if_persistent(machine, now)
        self._expire_leases(now)
        self._fleet.unacknowledged_starts.expire_leases(now)

    def _mark_if_timed_out(self, machine: Machine, now: float, timeout_s: float) -> bool:
        """Mark a machine unresponsive after the heartbeat timeout. Returns whether it is."""
        answered = machine.answered_epoch == self._fleet.epoch
        if not answered:
            timeout_s += LEADER_DISCOVERY_MARGIN_S
        # This process received no heartbeats while it was paused.
        if now - max(machine.last_seen_at, self._fleet.resumed_at) <= timeout_s:
            return False
        log.info(
            "machine %s is unresponsive: no heartbeat for %.1f s (limit %.1f s); %s in epoch %d",
            machine.name,
            now - machine.last_seen_at,
            timeout_s,
            "answered" if answered else "never answered",
            self._fleet.epoch,
        )
        machine.transition(Health.UNRESPONSIVE)
        return True

    def _mark_if_unreadable(self, machine: Machine, now: float) -> bool:
        """Mark a machine with attempts unresponsive after failed reads. Returns whether it is.

        This applies to machines that have not acknowledged this epoch. Failed reads take less time
        than the heartbeat timeout, so the machine is scaled in and its tasks start elsewhere
        sooner.
        """
        fleet = self._fleet
        has_attempts = machine.index in fleet.cluster_state.attempts_by_machine
        if machine.acknowledged_epoch == fleet.epoch or not has_attempts:
            return False
        log.info(
            "machine %s is unresponsive: no heartbeat and no response to %d reads in the %.1f s"
            " since the election of epoch %d",
            machine.name,
            machine.failed_reads,
            now - fleet.elected_at,
            fleet.epoch,
        )
        machine.transition(Health.UNRESPONSIVE)
        return True

    def _quarantine_if_persistent(self, machine: Machine, now: float) -> None:
        """Quarantine a machine if its asymmetric partition persists or recurs."""
        if machine.quarantine_reason:
            return
        ignored_s = now - machine.ignored_starts_since if machine.ignored_starts else 0.0
        if machine.lease_losses > 1 or ignored_s > self._fleet.lease_s / 2:
            machine.quarantine_reason = machine.partition_reason

    def _expire_leases(self, now: float) -> None:
        """Mark a machine as lost if its worker's lease has certainly expired."""
        for index in list(self._fleet.cluster_state.attempts_by_machine):
            machine = self._fleet.machines.get(index)
            # A lease lasts at least ``lease_s`` from its newest renewal. This check comes first
            # because it is cheap and excludes nearly all machines.
            if machine is None or now - machine.lease_renewed_at < self._fleet.lease_s:
                continue
            if now > self._fleet.lease_expires_at(machine):
                self._fleet.mark_lost(machine, f"lease of {machine.name} has expired")

    # ---- reads by a new leader -------------------------------------------------------------------

    def unread_machines(self, now: float) -> list[Machine]:
        """Return machines that have not acknowledged this epoch, those with attempts first."""
        fleet = self._fleet
        unread = [
            machine
            for machine in fleet.machines.values()
            if machine.address
            and machine.acknowledged_epoch != fleet.epoch
            and machine.health not in (Health.TERMINATED, Health.TERMINATING)
            and now - machine.last_read_at > READ_INTERVAL_S
            and not fleet.is_rented_in_this_epoch(machine)
        ]
        with_attempts = fleet.cluster_state.attempts_by_machine
        return sorted(unread, key=lambda machine: machine.index not in with_attempts)

    def on_read(self, machine: Machine, answered: bool) -> None:
        """Count failed reads of a worker that has not acknowledged this epoch.

        Args:
            machine: The worker's machine.
            answered: Whether the read got a response.
        """
        machine.failed_reads = 0 if answered else machine.failed_reads + 1

    # ---- probes of machines with replicas --------------------------------------------------------

    def overdue_machines(self, now: float) -> list[Machine]:
        """Return the machines to probe: those with service replicas and an overdue heartbeat."""
        return [
            machine
            for machine in self._overdue(now)
            if machine.address and not machine.probing and self._fleet.hosts_replicas(machine)
        ]

    def _overdue(self, now: float) -> list[Machine]:
        """Return the machines that are UP and whose heartbeat is overdue.

        The list is empty if most are overdue: the fault is then probably on this controller's
        side, and healthy machines would be scaled in.
        """
        fleet = self._fleet
        limit_s = OVERDUE_AFTER_INTERVALS * fleet.heartbeat_interval_s + MAX_HEARTBEAT_TRANSIT_S
        up = [m for m in fleet.machines.values() if m.health is Health.UP]
        overdue = [m for m in up if now - max(m.last_seen_at, fleet.resumed_at) > limit_s]
        if len(overdue) > max(MAX_INDEPENDENT_OVERDUE, len(up) / 2):
            return []
        return [m for m in overdue if m.answered_epoch == fleet.epoch]

    def on_probe(self, machine: Machine, answered: bool, now: float) -> None:
        """Record a probe's result; consecutive failures make the machine unresponsive."""
        if machine not in self._overdue(now):
            return
        machine.failed_probes = 0 if answered else machine.failed_probes + 1
        if machine.failed_probes >= MAX_FAILED_PROBES and machine.health is Health.UP:
            log.info(
                "machine %s is unresponsive: heartbeat overdue, no response to probes",
                machine.name,
            )
            machine.transition(Health.UNRESPONSIVE)
            self._fleet.callbacks.on_replicas_lost()
