"""The placement of one request: what it takes can be kept or given back."""

from __future__ import annotations

from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.quota import QuotaHeadroom
from petrelthread.scheduling.zone_rules import zone_headroom


class PlacementInProgress:
    """The placement of one request; tracks what it takes until commit or rollback."""

    def __init__(
        self, request: PlacementRequest, index: CapacityIndex, quota: QuotaHeadroom
    ) -> None:
        self.request = request
        self.machines: list[int] = []  # one entry per task
        self.full_zones: set[int] = set()
        self._index = index
        self._quota = quota
        self._zone_headroom = zone_headroom(request)
        self._headroom_left: dict[int, int] = {}  # by zone
        self._machines_before: dict[int, MachineCapacity] = {}  # copies made before the first task
        self._quota_before = (quota.cores, quota.accelerators)
        self._occupancy_before = request.occupancy.copy()

    def is_zone_open(self, zone: int) -> bool:
        """Whether the zone may take one more task of the job."""
        if zone not in self._headroom_left:
            self._headroom_left[zone] = self._zone_headroom(zone)
        if self._headroom_left[zone] <= 0:
            self.full_zones.add(zone)
        return zone not in self.full_zones

    def take(self, machine: MachineCapacity) -> None:
        """Count one task on the machine, in the quota and in the job's occupancy."""
        if machine.machine_index not in self._machines_before:
            self._machines_before[machine.machine_index] = machine.copy()
        self._headroom_left[machine.zone] -= 1
        machine.take(self.request)
        self._quota.take(self.request, 1)
        self.request.occupancy.add(machine.zone, machine.machine_index)
        self.machines.append(machine.machine_index)

    def commit(self) -> list[int]:
        """Keep the placement. Returns the machines, one entry per task."""
        for machine_index in self._machines_before:
            self._index.reindex(self._index.machines[machine_index])
        return self.machines

    def roll_back(self) -> list[int]:
        """Undo the placement. Returns an empty list of machines."""
        for machine_index, before in self._machines_before.items():
            self._index.machines[machine_index].restore(before)
        self._quota.cores, self._quota.accelerators = self._quota_before
        self.request.occupancy.restore(self._occupancy_before)
        return []
