"""When a worker's lease has certainly expired, so that none of its tasks runs any more.

A worker holds a lease that an answer to one of its heartbeats renews, and kills its tasks when the
lease expires. It measures the lease with its own clock, from the moment at which it sent the
heartbeat. Seen from here, the lease therefore ends at the latest ``longest_lease_s`` after the
answer was given.
"""

from __future__ import annotations

import logging

from petrelthread.fleet.machine import Machine
from petrelthread.fleet.machine_registry import MachineRegistry

log = logging.getLogger(__name__)

CLOCK_DRIFT_FACTOR = 1.002  # how much longer the worker's clock may take for a lease
LEASE_MARGIN_S = 0.5
REPEATED_LOSS_WINDOW_LEASES = 1.5  # lease losses within it count as consecutive


def longest_lease_s(lease_s: float) -> float:
    """How long, by this node's clock, a lease of ``lease_s`` may last at most."""
    return lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S


class WorkerLeases:
    """The leases that workers may hold, as far as this leader can tell."""

    def __init__(self, registry: MachineRegistry, lease_s: float, lease_grace_s: float) -> None:
        """Know of no lease yet.

        Args:
            registry: It knows the epoch of this leader and when that began.
            lease_s: The duration of a worker's lease.
            lease_grace_s: How long a former leader may answer workers after losing the leadership.
        """
        self._registry = registry
        self._lease_s = lease_s
        self._lease_grace_s = lease_grace_s

    def expires_at(self, machine: Machine) -> float:
        """When the lease of the machine's worker has certainly expired, if nobody renews it.

        The lease counts from the last of these instants:

        - the last answer of this leader that may have renewed it;
        - until the worker has acknowledged this epoch, the end of the former leader's grace period,
          in which that may have renewed it. A heartbeat with an older token proves nothing: it may
          be a delayed copy;
        - the first sign of the worker's present incarnation, which starts with a lease.
        """
        renewed_at = machine.lease_renewed_at
        if machine.acknowledged_epoch != self._registry.epoch:
            renewed_at = max(self._former_leader_silent_at(), renewed_at)
        begun_at = max(renewed_at, machine.incarnation_seen_at)
        return begun_at + longest_lease_s(self._lease_s)

    def may_be_renewed_until(self, machine: Machine, now: float) -> float:
        """Until when answers given so far, by this leader or a former one, may renew the lease."""
        if machine.acknowledged_epoch == self._registry.epoch:
            return now
        return max(now, self._former_leader_silent_at())

    def _former_leader_silent_at(self) -> float:
        return self._registry.elected_at + self._lease_grace_s

    def on_renewed(self, machine: Machine, now: float) -> None:
        """A heartbeat of the machine is answered now."""
        if now - machine.lease_renewed_at > self._lease_s / 2:
            machine.renewed_without_gap_since = now
        machine.lease_renewed_at = now

    def on_incarnation_ended(self, machine: Machine, now: float) -> None:
        """The worker has begun a new incarnation: judge whether it lost its lease.

        If all its heartbeats were answered for longer than a lease lasts, the answers do not arrive
        there. The end of a lease that this leader could not have renewed proves nothing.
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
        """Whether the machine lately lost its lease although its heartbeats were answered."""
        window_s = REPEATED_LOSS_WINDOW_LEASES * self._lease_s
        return machine.lease_losses > 0 and now - machine.lease_lost_at < window_s
