"""Free capacity of all machines, updated incrementally for the machines that changed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from petrelthread import protocol
from petrelthread.fleet import Fleet, Health, Machine
from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.state import ClusterState

MachineTypes = dict[int, protocol.MachineType]


class FreeCapacity:
    """Two indexes of the schedulable machines.

    ``usable`` holds the machines that are not cordoned. ``cordoned_spot`` holds the cordoned spot
    machines, which get only tasks that fit on no usable machine.

    ``UsageTracker.changed_machines`` must receive each machine whose schedulability or free
    capacity may have changed: when an attempt starts or ends on it, and when a ``Machine`` field on
    which scheduling depends changes.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        fleet: Fleet,
        machine_types: Callable[[], MachineTypes],
    ) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._machine_types = machine_types
        self._epoch = -1
        self._known_types: MachineTypes = {}
        self.usable = CapacityIndex()
        self.cordoned_spot = CapacityIndex()
        # Type of each machine that accepts work or is booting, and number of these machines by
        # type. A machine counts even before it acknowledges the current epoch.
        self._type_by_machine: dict[int, int] = {}
        self._count_by_type: Counter[int] = Counter()

    def cores(self) -> float:
        """Cores of all machines that accept work or are booting."""
        return sum(
            self._known_types[machine_type].cores * count
            for machine_type, count in self._count_by_type.items()
        )

    def machines(self) -> dict[int, MachineCapacity]:
        """Return the machines of both indexes, by machine index."""
        return self.cordoned_spot.machines | self.usable.machines

    def refresh(self) -> None:
        """Bring both indexes up to date.

        Only the machines that changed since the last call are updated; after a change of the epoch
        or of the machine types, all machines are.
        """
        changed = self._cluster_state.usage.changed_machines
        machine_types = self._machine_types()
        if self._epoch != self._fleet.epoch or self._known_types != machine_types:
            self._epoch, self._known_types = self._fleet.epoch, dict(machine_types)
            changed |= self.usable.machines.keys() | self.cordoned_spot.machines.keys()
            changed |= self._type_by_machine.keys()
            self._type_by_machine.clear()
            self._count_by_type.clear()
            changed |= self._fleet.machines.keys()
        for machine_index in changed:
            self._update(machine_index)
        changed.clear()

    def discard_decisions(self) -> None:
        """Make the next refresh undo a round's changes; only a committed claim takes capacity."""
        for index in (self.usable, self.cordoned_spot):
            self._cluster_state.usage.changed_machines |= index.modified_machines
            index.modified_machines.clear()

    def _update(self, machine_index: int) -> None:
        self.usable.discard(machine_index)
        self.cordoned_spot.discard(machine_index)
        machine = self._fleet.machines.get(machine_index)
        self._update_type_count(machine_index, machine)
        if machine is None or not self._fleet.is_schedulable(machine):
            return
        capacity = self.capacity_of(machine)
        if capacity is None:
            return
        if not machine.cordoned:
            self.usable.put(capacity)
        elif machine.spot:
            self.cordoned_spot.put(capacity)

    def _update_type_count(self, machine_index: int, machine: Machine | None) -> None:
        counted_type = self._type_by_machine.pop(machine_index, None)
        if counted_type is not None:
            self._count_by_type[counted_type] -= 1
        if machine is None or machine.machine_type not in self._known_types:
            return
        if machine.accepts_work or machine.health is Health.BOOTING:
            self._type_by_machine[machine_index] = machine.machine_type
            self._count_by_type[machine.machine_type] += 1

    def capacity_of(self, machine: Machine) -> MachineCapacity | None:
        """Compute the machine's free capacity; None if its type is unknown."""
        machine_type = self._known_types.get(machine.machine_type)
        if machine_type is None:
            return None
        usage = self._cluster_state.usage.machine(machine.index)
        images = set(machine.images)
        for attempt in self._fleet.attempts_on(machine).values():
            if not attempt.has_exited:
                images.add(attempt.job.image)
        return MachineCapacity(
            machine.index,
            machine.machine_type,
            machine.zone,
            machine.spot,
            machine_type.cores - usage.cores,
            machine_type.accelerators - usage.accelerators,
            machine_type.ram_gb - usage.ram_gb,
            images,
        )
