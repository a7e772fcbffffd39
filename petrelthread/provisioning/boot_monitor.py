"""Detection of machines that take too long to boot."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.fleet import Fleet, Health, Machine
from petrelthread.provisioning.demand import LATE_BOOT_FACTOR
from petrelthread.settings import Settings

BOOT_TIMEOUT_FACTOR = 2.5  # multiple of the usual boot time after which a machine is scaled in
# Minimum time beyond the usual boot time until a machine is scaled in, in multiples of the lag of
# the cloud's list of machines.
BOOT_TIMEOUT_LIST_LAGS = 2.0
UNKNOWN_TYPE_BOOT_S = 60.0  # assumed boot time if the machine type is unknown


class BootMonitor:
    """Detects machines that are late to boot, and those whose boot has timed out."""

    def __init__(
        self, settings: Settings, fleet: Fleet, machine_types: dict[int, protocol.MachineType]
    ) -> None:
        self._fleet = fleet
        self._machine_types = machine_types
        self._list_lag_s = settings.cluster.cloud.list_lag_s
        # Time within which machines that are up send their first heartbeat to a new leader.
        report_s = settings.cluster.workers.report_s
        self._first_heartbeat_s = 2 * report_s + protocol.LEADER_DISCOVERY_S

    def is_late(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been booting for so long that it no longer counts as capacity.

        A new leader cannot tell an idle machine from a booting one before the machine's first
        heartbeat, so no machine counts as late until that heartbeat could have arrived.
        """
        machine_type = self._machine_types.get(machine.machine_type)
        return (
            machine_type is not None
            and machine.health is Health.BOOTING
            and now - machine.rented_at > LATE_BOOT_FACTOR * machine_type.boot_s
            and now - machine.registered_at > self._first_heartbeat_s
        )

    def late_count(self, now: float) -> int:
        """Number of machines that are late to boot."""
        return sum(self.is_late(machine, now) for machine in self._fleet.machines.values())

    def has_timed_out(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been booting for so long that it is to be scaled in."""
        if machine.health is not Health.BOOTING:
            return False
        machine_type = self._machine_types.get(machine.machine_type)
        boot_s = machine_type.boot_s if machine_type else UNKNOWN_TYPE_BOOT_S
        timeout_s = max(
            BOOT_TIMEOUT_FACTOR * boot_s, boot_s + BOOT_TIMEOUT_LIST_LAGS * self._list_lag_s
        )
        return (
            now - machine.rented_at > timeout_s
            and now - machine.registered_at > boot_s
            and now - self._fleet.resumed_at > self._first_heartbeat_s
        )
