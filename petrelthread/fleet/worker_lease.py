"""When a worker's lease has certainly expired, so that none of its tasks runs any more.

The response to a heartbeat renews the worker's lease. The worker kills its tasks when the lease
expires. It measures the lease with its own clock, from when it sent the heartbeat. By this
controller's clock, the lease therefore expires at most ``longest_lease_s`` after the response was
sent.
"""

from __future__ import annotations

import logging

from petrelthread.fleet.machine import Machine
from petrelthread.fleet.machine_registry import MachineRegistry
from petrelthread.settings import CLOCK_DRIFT_FACTOR

log = logging.getLogger(__name__)

LEASE_MARGIN_S = 0.5
# Losses of a worker's lease less than this many lease durations apart count as consecutive.
REPEATED_LOSS_WINDOW_LEASES = 1.5


def longest_lease_s(lease_s: float) -> float:
    """Return how long a lease of ``lease_s`` may last at most by this controller's clock."""
    return lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S


class WorkerLeases:
    """Upper bounds, computed by the leader, on when the leases of workers expire."""

    def __init__(self, registry: MachineRegistry, lease_s: float, lease_grace_s: float) -> None:
        """Create the tracker of worker leases.

        Args:
            registry: Provides the epoch and time of this leader's election.
            lease_s: The duration of a worker's lease.
            lease_grace_s: How long a former leader may answer heartbeats after it lost leadership.
        """
        self._registry = registry
        self._lease_s = lease_s
        self._lease_grace_s = lease_grace_s

    def expires_at(self, machine: Machine) -> float:
        """Return when the lease of the machine's worker has certainly expired unless renewed.

        The lease counts from the latest of these times:

        - the last response of this leader that may have renewed it;
        - while the worker has not acknowledged this epoch, the end of the former leader's grace
          period, until which the former leader may have renewed it. A heartbeat with an older token
          is no evidence, because it may be a delayed copy;
        - the first heartbeat of the worker's present incarnation, which starts with a lease.
        """
        renewed_at = machine.lease_renewed_at
        if machine.acknowledged_epoch != self._registry.epoch:
            renewed_at = max(self._former_grace_ends_at(), renewed_at)
        starts_at = max(renewed_at, machine.incarnation_seen_at)
        return starts_at + longest_lease_s(self._lease_s)

    def may_be_renewed_until(self, machine: Machine, now: float) -> float:
        """Return until when earlier responses, or a former leader's, may renew the lease."""
        if machine.acknowledged_epoch == self._registry.epoch:
            return now
        return max(now, self._former_grace_ends_at())

    def _former_grace_ends_at(self) -> float:
        return self._registry.elected_at + self._lease_grace_s

    def on_renewed(self, machine: Machine, now: float) -> None:
        """Record that a heartbeat of the machine is answered now."""
        if now - machine.lease_renewed_at > self._lease_s / 2:
            machine.renewed_without_gap_since = now
        machine.lease_renewed_at = now

    def on_incarnation_ended(self, machine: Machine, now: float) -> None:
        """Record a lost lease if a new incarnation began although heartbeats were answered.

        If the heartbeats were answered without a gap for longer than a lease lasts, the responses
        do not reach the worker. The expiry of a lease that this leader could not have renewed is
        no evidence.
        """
        answered_s = now - machine.renewed_without_gap_since
        acknowledged = machine.acknowledged_epoch == self._registry.epoch
        if not acknowledged or answered_s <= longest_lease_s(self._lease_s):
            return
        repeated = self.was_lost_recently(machine, now)
        machine.lease_losses = machine.lease_losses + 1 if repeated else 1
        machine.lease_lost_at = now
        log.info("machine %s: its lease expired although its heartbeats are answered", machine.name)

    def was_lost_recently(self, machine: Machine, now: float) -> bool:
        """Whether the lease expired recently although the machine's heartbeats were answered."""
        window_s = REPEATED_LOSS_WINDOW_LEASES * self._lease_s
        return machine.lease_losses > 0 and now - machine.lease_lost_at < window_s
