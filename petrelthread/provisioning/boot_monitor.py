"""Machines that take too long to boot."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.fleet import Fleet, Health, Machine
from petrelthread.provisioning.demand import LATE_BOOT_FACTOR
from petrelthread.settings import Settings

LOST_BOOT_FACTOR = 2.5  # times the usual boot time: later than that, a machine is scaled in
LOST_BOOT_LIST_LAGS = 2.0  # and not before so many lags of the cloud's list beyond the usual time
UNKNOWN_TYPE_BOOT_S = 60.0  # usual boot time if the machine type is unknown
LEADER_DISCOVERY_S = 5.0  # that a worker may take to find a new leader, besides two reports


class BootMonitor:
    """Tells machines that are late to boot from those that are lost."""

    def __init__(
        self, settings: Settings, fleet: Fleet, machine_types: dict[int, protocol.MachineType]
    ) -> None:
        self._fleet = fleet
        self._machine_types = machine_types
        self._list_lag_s = settings.cluster.cloud.list_lag_s
        # Until then, a machine that is up may not have reported to a new leader yet.
        self._first_report_s = 2 * settings.cluster.workers.report_s + LEADER_DISCOVERY_S

    def is_late(self, machine: Machine, now: float) -> bool:
        """Whether the machine boots for so long that it does not count as capacity any more.

        To a new leader an idle machine looks like a booting one until it reports, so it does not
        count as late before that.
        """
        machine_type = self._machine_types.get(machine.machine_type)
        return (
            machine_type is not None
            and machine.health is Health.BOOTING
            and now - machine.rented_at > LATE_BOOT_FACTOR * machine_type.boot_s
            and now - machine.registered_at > self._first_report_s
        )

    def late_count(self, now: float) -> int:
        """How many machines are late."""
        return sum(self.is_late(machine, now) for machine in self._fleet.machines.values())

    def is_lost(self, machine: Machine, now: float) -> bool:
        """Whether the machine boots for so long that it should be scaled in."""
        if machine.health is not Health.BOOTING:
            return False
        machine_type = self._machine_types.get(machine.machine_type)
        boot_s = machine_type.boot_s if machine_type else UNKNOWN_TYPE_BOOT_S
        limit_s = max(LOST_BOOT_FACTOR * boot_s, boot_s + LOST_BOOT_LIST_LAGS * self._list_lag_s)
        return (
            now - machine.rented_at > limit_s
            and now - machine.registered_at > boot_s
            and now - self._fleet.resumed_at > self._first_report_s
        )
