"""What is free on which machine, kept up to date from what changed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from petrelthread import protocol
from petrelthread.fleet import Fleet, Health, Machine
from petrelthread.scheduling.capacity_index import RoomIndex
from petrelthread.scheduling.slot import Slot
from petrelthread.state import ClusterState

MachineTypes = dict[int, protocol.MachineType]


class FreeRoom:
    """Two indexes of the machines that may be given work: ``usable``, and ``surplus`` for spot
    machines that are being retired and take only what fits nowhere else.

    Whatever decides where a machine stands marks it in ``Use.changed_machines``: an attempt that
    begins or ends there, and each change of a deciding field of ``Machine``.
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
        self._types: MachineTypes = {}
        self.usable = RoomIndex()
        self.surplus = RoomIndex()
        # Machines that work or will soon, whether or not they have been heard in this epoch.
        self._counted: dict[int, int] = {}  # their types
        self._count: Counter[int] = Counter()  # how many there are of each type

    def cores(self) -> float:
        """Cores of all machines that may be given work or are booting."""
        return sum(self._types[kind].cores * count for kind, count in self._count.items())

    def refresh(self) -> None:
        """Bring both indexes up to date. Costs what changed since the last time, and all machines
        when the epoch or the catalogue is another one."""
        changed = self._cluster_state.usage.changed_machines
        machine_types = self._machine_types()
        if self._epoch != self._fleet.epoch or self._types != machine_types:
            self._epoch, self._types = self._fleet.epoch, dict(machine_types)
            changed |= self.usable.slots.keys() | self.surplus.slots.keys()
            changed |= self._counted.keys()
            self._counted.clear()
            self._count.clear()
            changed |= self._fleet.machines.keys()
        for index in changed:
            self._update(index)
        changed.clear()

    def drop_decisions(self) -> None:
        """Forget what the decisions of a round took: only what a won claim makes is real."""
        for index in (self.usable, self.surplus):
            self._cluster_state.usage.changed_machines |= index.touched
            index.touched.clear()

    def _update(self, index: int) -> None:
        self.usable.discard(index)
        self.surplus.discard(index)
        machine = self._fleet.machines.get(index)
        self._recount(index, machine)
        if machine is None or not self._fleet.is_schedulable(machine):
            return
        slot = self.slot_of(machine)
        if slot is None:
            return
        if not machine.cordoned:
            self.usable.put(slot)
        elif machine.spot:
            self.surplus.put(slot)

    def _recount(self, index: int, machine: Machine | None) -> None:
        before = self._counted.pop(index, None)
        if before is not None:
            self._count[before] -= 1
        if machine is None or machine.machine_type not in self._types:
            return
        if machine.accepts_work or machine.health is Health.BOOTING:
            self._counted[index] = machine.machine_type
            self._count[machine.machine_type] += 1

    def slot_of(self, machine: Machine) -> Slot | None:
        """What is free there; None if its type is not known."""
        machine_type = self._types.get(machine.machine_type)
        if machine_type is None:
            return None
        taken = self._cluster_state.usage.machine(machine.index)
        images = set(machine.images)
        for attempt in self._fleet.attempts_on(machine).values():
            if not attempt.has_exited:
                images.add(attempt.job.image)
        return Slot(
            machine.index,
            machine.machine_type,
            machine.zone,
            machine.spot,
            machine_type.cores - taken.cores,
            machine_type.accelerators - taken.accelerators,
            machine_type.ram_gb - taken.ram_gb,
            images,
        )
