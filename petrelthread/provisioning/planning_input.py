"""Conversion of the fleet and the catalog into the planner's input."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from petrelthread import protocol
from petrelthread.fleet import Health, Machine
from petrelthread.provisioning.boot_monitor import BootMonitor
from petrelthread.provisioning.context import ProvisioningContext
from petrelthread.provisioning.offer_backoff import OfferBackoff
from petrelthread.provisioning.plan import Offer, OfferKey, OwnedMachine


class PlanningInput:
    """Provides owned machines and available offers from the present fleet and catalog."""

    def __init__(
        self,
        context: ProvisioningContext,
        machine_types: dict[int, protocol.MachineType],
        offer_backoff: OfferBackoff,
        boot_monitor: BootMonitor,
        unreachable_zones: Collection[int],
    ) -> None:
        self._fleet = context.fleet
        self._cluster_state = context.cluster_state
        self._names = context.cluster_state.names
        self._machine_types = machine_types
        self._offer_backoff = offer_backoff
        self._boot_monitor = boot_monitor
        self._unreachable_zones = unreachable_zones

    def owned_machines(self, now: float) -> list[OwnedMachine]:
        """Machines that are up, or expected to boot in time."""
        owned = []
        for machine in self._fleet.machines.values():
            machine_type = self._machine_types.get(machine.machine_type)
            if machine_type is not None and self._is_capacity(machine, now):
                owned.append(self._owned(machine, machine_type, now))
        return owned

    def offers(self, now: float) -> list[Offer]:
        """Offers in reachable zones that have no active backoff."""
        return [
            self._offer(key, machine_type, price)
            for key, machine_type, price in self._catalog_offers()
            if price > 0 and self._offer_backoff.is_available(key, now)
        ]

    def _is_capacity(self, machine: Machine, now: float) -> bool:
        if machine.quarantine_reason or machine.health not in (Health.UP, Health.BOOTING):
            return False
        if self._boot_monitor.is_late(machine, now):
            return False
        return machine.health is Health.UP or machine.zone not in self._unreachable_zones

    def _owned(
        self, machine: Machine, machine_type: protocol.MachineType, now: float
    ) -> OwnedMachine:
        attempts = self._fleet.attempts_on(machine)
        occupied_cores = 0.0
        replicas = 0
        for job_index, count in self._cluster_state.usage.job_attempts(machine.index).items():
            job = self._cluster_state.jobs[job_index]
            if job.is_service:
                replicas += count
            elif job.pending_count == 0:
                occupied_cores += count * job.cores
        idle = machine.health is Health.UP and not attempts
        return OwnedMachine(
            machine.index,
            machine.machine_type,
            machine.zone,
            machine.spot,
            machine_type.cores,
            machine_type.accelerators,
            machine_type.ram_gb,
            machine_type.spot_price if machine.spot else machine_type.on_demand_price,
            now - machine.idle_since if idle else None,
            len(attempts),
            occupied_cores,
            replicas,
        )

    def _catalog_offers(self) -> Iterator[tuple[OfferKey, protocol.MachineType, float]]:
        """Key, machine type and hourly price of each offer in reachable zones."""
        for index, machine_type in self._machine_types.items():
            for zone_name in machine_type.zones:
                zone = self._names.zones.index(zone_name)
                # Machines in an unreachable zone would cost money and run no tasks.
                if zone not in self._unreachable_zones:
                    yield OfferKey(index, zone, True), machine_type, machine_type.spot_price
                    yield OfferKey(index, zone, False), machine_type, machine_type.on_demand_price

    def _offer(self, key: OfferKey, machine_type: protocol.MachineType, price: float) -> Offer:
        return Offer(
            key.machine_type,
            key.zone,
            key.spot,
            machine_type.cores,
            machine_type.accelerators,
            machine_type.ram_gb,
            price,
            machine_type.boot_s,
            last_filled=self._offer_backoff.last_filled(key),
            # Untried offers are requested together only while there is no machine. Later scale-outs
            # wait for the response of one offer before they request the next.
            tried=bool(self._fleet.machines) or self._offer_backoff.was_tried(key),
        )
