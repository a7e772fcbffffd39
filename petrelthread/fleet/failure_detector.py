"""Which machines are silent: not heard for too long, not readable, or past their lease."""

from __future__ import annotations

import logging

from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.machine import Health, Machine

log = logging.getLogger(__name__)

READ_INTERVAL_S = 2.5  # between two tries of a new leader to read a worker
MAX_FAILED_READS = 2  # unanswered in a row: with no report either, it is not waited for
MAX_HEARTBEAT_TRANSIT_S = 0.75  # that a report may take on its way
MAX_FAILED_PROBES = 2  # unanswered in a row: then its replicas are needed elsewhere
FIND_LEADER_S = 4.0  # that a worker may take longer whose controller is gone


class FailureDetector:
    """Looks at the times in the fleet's table; the only one to call a machine silent."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    # ---- reading workers after an election ---------------------------------------------------

    def unread_machines(self, now: float) -> list[Machine]:
        """What may be up, and has not heard this leader: those with work first."""
        out = [
            machine
            for machine in self._fleet.machines.values()
            if machine.address
            and machine.acknowledged_epoch != self._fleet.epoch
            and machine.health not in (Health.TERMINATED, Health.TERMINATING)
            and now - machine.last_read_at > READ_INTERVAL_S
            and not machine.scale_out_key.startswith(f"c/{self._fleet.epoch}-")
        ]
        return sorted(
            out,
            key=lambda machine: machine.index not in self._fleet.cluster_state.attempts_by_machine,
        )

    def on_read(self, machine: Machine, answered: bool) -> None:
        """A new leader has tried to read a worker that has not reported to it."""
        machine.failed_reads = 0 if answered else machine.failed_reads + 1

    # ---- machines with replicas whose report is overdue ---------------------------------------

    def overdue_machines(self, now: float) -> list[Machine]:
        """Machines with replicas whose report should have come: to be asked directly."""
        late = self._late(now)
        return [
            machine
            for machine in late
            if machine.address and not machine.probing and self._fleet.hosts_replicas(machine)
        ]

    def _late(self, now: float) -> list[Machine]:
        """Whose report should have come. None if that holds for most: then it is rather we who do
        not hear. A leader that no worker reached gave back every machine with replicas, though they
        were well and its sibling heard them."""
        latest_s = 1.25 * self._fleet.heartbeat_interval_s + MAX_HEARTBEAT_TRANSIT_S
        up = [m for m in self._fleet.machines.values() if m.health is Health.UP]
        late = [m for m in up if now - max(m.last_seen_at, self._fleet.resumed_at) > latest_s]
        if len(late) > max(2, len(up) / 2):
            return []
        return [m for m in late if m.answered_epoch == self._fleet.epoch]

    def on_probe(self, machine: Machine, answered: bool, now: float) -> None:
        """Not silent for long yet, but neither does it answer."""
        if machine not in self._late(now):
            return
        machine.failed_probes = 0 if answered else machine.failed_probes + 1
        if machine.failed_probes >= MAX_FAILED_PROBES and machine.health is Health.UP:
            log.info(
                "machine %s is unresponsive: no heartbeat, and no response to probes", machine.name
            )
            machine.transition(Health.UNRESPONSIVE)
            self._fleet.callbacks.on_replicas_lost()

    # ---- time --------------------------------------------------------------------------------

    def check(self, now: float, timeout_s: float) -> None:
        """Notice machines that have been silent for too long, and leases that have run out."""
        self._fleet.job_failures.drop_finished()
        heard_after = now - timeout_s
        not_receiving: list[Machine] = []
        up = 0
        for machine in list(self._fleet.machines.values()):
            if machine.health is not Health.UP and machine.health is not Health.DRAINING:
                continue
            up += 1
            if machine.last_seen_at < heard_after and self._fell_silent(machine, now, timeout_s):
                continue
            if machine.failed_reads >= MAX_FAILED_READS and self._unreadable(machine, now):
                continue
            if machine.partition_reason:
                not_receiving.append(machine)
        # If most seem deaf, it is rather our own voice that does not carry.
        if 2 * len(not_receiving) <= max(2, up):
            for machine in not_receiving:
                self._judge_fault(machine, now)
        self._end_leases(now)
        self._fleet.unacknowledged_starts.expire_leases(now)

    def _fell_silent(self, machine: Machine, now: float, silent_s: float) -> bool:
        grace = silent_s
        if machine.answered_epoch != self._fleet.epoch:
            grace += FIND_LEADER_S
        # Nothing was heard while we stood still: once, every machine was silent at once.
        if now - max(machine.last_seen_at, self._fleet.resumed_at) <= grace:
            return False
        log.info(
            "machine %s is unresponsive: not heard for %.1f s (limit %.1f s); %s in epoch %d",
            machine.name,
            now - machine.last_seen_at,
            grace,
            "answered" if machine.answered_epoch == self._fleet.epoch else "never answered",
            self._fleet.epoch,
        )
        machine.transition(Health.UNRESPONSIVE)
        return True

    def _unreadable(self, machine: Machine, now: float) -> bool:
        """With work of before the election on it, and neither reporting nor answering since.

        To wait for its report as long as for any other kept its tasks from starting elsewhere for
        16 s. Its return is the evidence; until that is confirmed nothing starts.
        """
        if (
            machine.acknowledged_epoch == self._fleet.epoch
            or machine.index not in self._fleet.cluster_state.attempts_by_machine
        ):
            return False
        log.info(
            "machine %s is unresponsive: no heartbeat and no response to %d reads in the %.1f s"
            " since the election of epoch %d",
            machine.name,
            machine.failed_reads,
            now - self._fleet.elected_at,
            self._fleet.epoch,
        )
        machine.transition(Health.UNRESPONSIVE)
        return True

    def _judge_fault(self, machine: Machine, now: float) -> None:
        if machine.quarantine_reason:
            return
        ignored_s = now - machine.ignored_starts_since if machine.ignored_starts else 0.0
        if machine.lease_losses > 1 or ignored_s > self._fleet.lease_s / 2:
            machine.quarantine_reason = machine.partition_reason

    def _end_leases(self, now: float) -> None:
        """Tasks on machines whose lease has surely run out are gone."""
        for index in list(self._fleet.cluster_state.attempts_by_machine):
            machine = self._fleet.machines.get(index)
            # A lease lasts longer than ``lease_s`` from its newest renewal: looked at first, since
            # it holds for nearly all.
            if machine is None or now - machine.lease_renewed_at < self._fleet.lease_s:
                continue
            if now > self._fleet.lease_expires_at(machine):
                self._fleet.mark_lost(machine, f"lease of {machine.name} has expired")
