"""The machines that the leader knows, and which of them work may be placed on."""

from __future__ import annotations

from collections.abc import Collection

from petrelthread.fleet.machine import Health, Machine
from petrelthread.state import Attempt, ClusterState, KeyKind, OperationState, TaskKey, transition

# How long a terminated machine is kept, so that late copies of its heartbeats are recognized.
TERMINATED_RETENTION_S = 600.0
NO_EPOCH = -1  # the epoch of a controller that does not lead


class MachineRegistry:
    """All machines by index, in the epoch in which this controller leads."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self.cluster_state = cluster_state
        self.machines: dict[int, Machine] = {}
        self.machines_with_notice: dict[int, Machine] = {}  # with a spot termination notice
        self.epoch = 0  # the epoch of this controller's leadership, or NO_EPOCH
        self.elected_at = 0.0  # event loop time

    def get_or_add(self, name: str, now: float) -> Machine:
        """Return the machine of that name; add it if it is not known yet."""
        index = self.cluster_state.names.machines.index(name)
        found = self.machines.get(index)
        if found is None:
            found = self.machines[index] = Machine(
                index, name, now, self.cluster_state.usage.changed_machines
            )
        return found

    def find(self, name: str) -> Machine | None:
        """Return the machine of that name, if it is known."""
        index = self.cluster_state.names.machines.find(name)
        return None if index is None else self.machines.get(index)

    def attempts_on(self, machine: Machine) -> dict[TaskKey, Attempt]:
        """Return the attempts recorded for the machine, by indices of job and task."""
        return self.cluster_state.attempts_by_machine.get(machine.index, {})

    def hosts_replicas(self, machine: Machine) -> bool:
        """Whether the machine hosts service replicas, whose loss must be detected quickly."""
        return any(
            a.job.is_service and not a.has_exited for a in self.attempts_on(machine).values()
        )

    def is_schedulable(self, machine: Machine) -> bool:
        """Whether work may be placed on the machine.

        Its worker must reject commands of former leaders. So the worker must have acknowledged this
        epoch, or the machine must have been rented in this epoch.
        """
        fenced = machine.acknowledged_epoch == self.epoch or self.is_rented_in_this_epoch(machine)
        return machine.accepts_work and fenced

    def is_rented_in_this_epoch(self, machine: Machine) -> bool:
        """Whether this leader rented it: no other leader can then have answered its worker."""
        return machine.scale_out_key.startswith(KeyKind.SCALE_OUT.key(f"{self.epoch}-"))

    def begin_epoch(self, epoch: int, now: float, recorded_machines: Collection[str]) -> None:
        """Begin an epoch: drop the machines known before, or reset what was observed of them.

        Args:
            epoch: The epoch in which this controller has been elected.
            now: Event loop time.
            recorded_machines: Names of machines in records of scale-out and scale-in. Other
                machines without attempts are dropped, since a former leader may have scaled them in
                long ago; those that exist are added again by a heartbeat or the cloud's list.
        """
        self.epoch = epoch
        self.elected_at = now
        # A returned machine that has attempts again, by a claim that was applied late, is added
        # anew below: its missing heartbeats then end them.
        self._drop([m for m in self.machines.values() if m.health is Health.TERMINATED])
        attempts_by_machine = self.cluster_state.attempts_by_machine
        for index in attempts_by_machine:
            self.get_or_add(self.cluster_state.names.machines.name(index), now)
        unknown = [
            machine
            for machine in self.machines.values()
            if machine.name not in recorded_machines and machine.index not in attempts_by_machine
        ]
        self._drop(unknown)
        for machine in self.machines.values():
            self._reset_observations(machine, now)

    def drop_terminated(self, now: float) -> None:
        """Drop the machines that were scaled in long ago."""
        self._drop(
            [
                machine
                for machine in self.machines.values()
                if machine.health is Health.TERMINATED
                and now - machine.terminated_at > TERMINATED_RETENTION_S
            ]
        )

    def _drop(self, machines: list[Machine]) -> None:
        for machine in machines:
            del self.machines[machine.index]
            self.machines_with_notice.pop(machine.index, None)

    def _reset_observations(self, machine: Machine, now: float) -> None:
        """Reset what only the former leader could know about the machine and its attempts."""
        machine.last_seen_at = machine.registered_at = now
        machine.idle_since = now
        machine.failed_reads = 0
        machine.commands_in_flight = 0
        machine.ignored_starts = 0  # its next heartbeat updates the suspicion of a partition
        has_attempts = machine.index in self.cluster_state.attempts_by_machine
        if machine.health is Health.BOOTING and has_attempts:
            # It has run work, so missing heartbeats are evidence of a fault.
            machine.transition(Health.UP)
        elif machine.health is Health.UNRESPONSIVE:
            # It may have reported to another leader since.
            machine.transition(Health.UP)
        for attempt in self.attempts_on(machine).values():
            attempt.proven_stable = False  # the evidence that it gave is cleared as well
            if attempt.state in (OperationState.CONFIRMED, OperationState.DISPATCHING):
                transition(attempt, OperationState.UNKNOWN)
