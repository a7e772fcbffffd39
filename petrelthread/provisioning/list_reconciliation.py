"""Reconciliation of the fleet with the cloud's list of machines."""

from __future__ import annotations

import logging

from petrelthread import protocol
from petrelthread.fleet import Health, Machine
from petrelthread.provisioning.cloud import CloudError
from petrelthread.provisioning.context import ProvisioningContext

log = logging.getLogger(__name__)

LIST_INTERVAL_S = 10.0


class ListReconciler:
    """Reads the list periodically, and records which machines are new, failed or missing.

    Times are event loop times at which a list was requested.
    """

    def __init__(self, context: ProvisioningContext) -> None:
        self._cloud = context.cloud
        self._fleet = context.fleet
        self._names = context.cluster_state.names
        self._last_read_at = float("-inf")
        self.last_success_at = float("-inf")

    def begin_epoch(self) -> None:
        """Make the next list due immediately."""
        self._last_read_at = float("-inf")

    @property
    def never_read(self) -> bool:
        """Whether no list has been requested since this controller became the leader."""
        return self._last_read_at == float("-inf")

    def is_due(self, now: float) -> bool:
        """Whether the next list should be requested."""
        return now - self._last_read_at >= LIST_INTERVAL_S

    async def reconcile(self, now: float) -> None:
        """Read the list and apply it to the fleet, which does not change if the call fails."""
        self._last_read_at = now
        try:
            listed = await self._cloud.list_machines()
        except CloudError as error:
            log.info("cloud: listing the machines failed: %s", error)
            return
        self.last_success_at = now
        for entry in listed:
            self._apply(entry, now)
        listed_names = {entry.name for entry in listed}
        for machine in self._fleet.machines.values():
            self._check_presence(machine, listed_names)

    def _apply(self, entry: protocol.ListedMachine, now: float) -> None:
        unrecorded = self._fleet.find(entry.name) is None
        machine = self._fleet.get_or_add(entry.name, now)
        if unrecorded:
            log.info("machine %s is in the cloud's list but has no record", entry.name)
            machine.rented_at = now - entry.age_s
        machine.listed = True
        machine.address = machine.address or entry.address
        machine.machine_type = self._names.machine_types.index(entry.machine_type)
        machine.zone = self._names.zones.index(entry.zone)
        machine.spot = entry.spot
        if entry.status == protocol.MACHINE_FAILED and not machine.quarantine_reason:
            machine.quarantine_reason = "listed as failed"
            log.info("machine %s is listed as failed", machine.name)

    @staticmethod
    def _check_presence(machine: Machine, listed_names: set[str]) -> None:
        missing = machine.listed and machine.name not in listed_names
        machine.missing_from_lists = machine.missing_from_lists + 1 if missing else 0
        # A single list without the machine is no evidence: it may be older than the previous list.
        unlisted = machine.missing_from_lists > 1 and not machine.quarantine_reason
        if unlisted and machine.health not in (Health.TERMINATED, Health.TERMINATING, Health.UP):
            machine.quarantine_reason = "no longer listed"
            log.info("machine %s is no longer in the cloud's list", machine.name)
