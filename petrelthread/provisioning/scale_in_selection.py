"""Selection of the machines to scale in: the plan's idle surplus and unusable machines."""

from __future__ import annotations

import logging

from petrelthread.fleet import Health, Machine
from petrelthread.provisioning.boot_monitor import BootMonitor
from petrelthread.provisioning.context import ProvisioningContext
from petrelthread.provisioning.plan import Plan

log = logging.getLogger(__name__)

MIN_MASS_OUTAGE = 4  # with fewer unresponsive machines, no network fault is assumed


class ScaleInSelection:
    """Selects machines that are surplus, quarantined, unresponsive, drained or never booted."""

    def __init__(self, context: ProvisioningContext, boot_monitor: BootMonitor) -> None:
        self._fleet = context.fleet
        self._cluster_state = context.cluster_state
        self._boot_monitor = boot_monitor

    def unresponsive(self) -> list[Machine]:
        """Unresponsive machines that failed independently.

        If most machines are unresponsive, the cause is more likely this controller or the
        network. The list is then empty: ``select`` waits until the machines' leases expire.
        """
        machines = self._fleet.machines.values()
        up = sum(m.health in (Health.UP, Health.DRAINING) for m in machines)
        unresponsive = [m for m in machines if m.health is Health.UNRESPONSIVE]
        if len(unresponsive) >= MIN_MASS_OUTAGE and len(unresponsive) > up:
            return []
        return unresponsive

    def unresponsive_with_replicas(self) -> list[Machine]:
        """Unresponsive machines whose replicas can move as soon as the scale-in is confirmed."""
        return [m for m in self.unresponsive() if self._fleet.hosts_replicas(m)]

    def select(self, plan: Plan, now: float) -> list[Machine]:
        """Machines to scale in now, each once."""
        machines = self._fleet.machines
        # Machines may have received tasks since the plan was made, during the scale-outs.
        selected = {index: machines[index] for index in plan.scale_ins if self._is_idle(index)}
        unresponsive = {machine.index for machine in self.unresponsive()}
        for machine in machines.values():
            reason = self._reason(machine, unresponsive, now)
            if reason:
                log.info("scaling in machine %s: %s", machine.name, reason)
                selected[machine.index] = machine
        return list(selected.values())

    def _is_idle(self, index: int) -> bool:
        machine = self._fleet.machines.get(index)
        return (
            machine is not None
            and machine.health is Health.UP
            and index not in self._cluster_state.attempts_by_machine
        )

    def _reason(self, machine: Machine, unresponsive: set[int], now: float) -> str:
        """Why the machine is to be scaled in regardless of the plan; empty if it is not."""
        if machine.health in (Health.TERMINATED, Health.TERMINATING):
            return ""
        if machine.quarantine_reason:
            return machine.quarantine_reason
        if machine.health is Health.UNRESPONSIVE:
            confirmed = machine.index in unresponsive or now > self._fleet.lease_expires_at(machine)
            return "unresponsive" if confirmed else ""
        if machine.health is Health.DRAINING:
            empty = machine.index not in self._cluster_state.attempts_by_machine
            return "drained after spot notice" if self._has_spot_notice(machine) and empty else ""
        return "did not boot in time" if self._boot_monitor.has_timed_out(machine, now) else ""

    @staticmethod
    def _has_spot_notice(machine: Machine) -> bool:
        """Whether the cloud has announced that it will reclaim the spot machine."""
        return machine.spot_notice_s is not None
