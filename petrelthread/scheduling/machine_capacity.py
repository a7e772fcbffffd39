"""Free capacity of one machine."""

from __future__ import annotations

from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE

PlacementKey = tuple[bool, float, float, int]


class MachineCapacity:
    """Free capacity of one machine, and the properties that decide which requests may use it.

    ``images`` holds the indices of the images that the machine caches or is going to fetch.
    """

    __slots__ = (
        "accelerators",
        "cores",
        "images",
        "machine_index",
        "machine_type",
        "ram_gb",
        "spot",
        "zone",
    )

    def __init__(
        self,
        machine_index: int,
        machine_type: int,
        zone: int,
        spot: bool,
        cores: float,
        accelerators: float,
        ram_gb: float,
        images: set[int],
    ) -> None:
        self.machine_index = machine_index
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.cores = cores
        self.accelerators = accelerators
        self.ram_gb = ram_gb
        self.images = images

    def fits(self, request: PlacementRequest) -> bool:
        """Whether one task of the request fits into the free capacity.

        Repeats the comparison of ``PlacementRequest.fits_into`` to save a call: placement runs it
        for each machine that it examines.
        """
        return (
            self.cores + CAPACITY_TOLERANCE >= request.cores
            and self.accelerators + CAPACITY_TOLERANCE >= request.accelerators
            and self.ram_gb + CAPACITY_TOLERANCE >= request.ram_gb
        )

    def allows(self, request: PlacementRequest) -> bool:
        """Whether the job may use this machine, regardless of its free capacity."""
        return (
            (request.spot_allowed or not self.spot)
            and (request.machine_types is None or self.machine_type in request.machine_types)
            and (request.zone is None or self.zone == request.zone)
            and self.machine_index not in request.excluded_machines
        )

    def take(self, request: PlacementRequest) -> None:
        """Subtract the capacity of one task of the request and count its image as cached."""
        self.cores -= request.cores
        self.accelerators -= request.accelerators
        self.ram_gb -= request.ram_gb
        self.images.add(request.image)

    def release(self, cores: float, accelerators: float, ram_gb: float) -> None:
        """Add the capacity that a task used."""
        self.cores += cores
        self.accelerators += accelerators
        self.ram_gb += ram_gb

    def copy(self) -> MachineCapacity:
        """Return an independent copy, for a decision that may be discarded."""
        return MachineCapacity(
            self.machine_index,
            self.machine_type,
            self.zone,
            self.spot,
            self.cores,
            self.accelerators,
            self.ram_gb,
            set(self.images),
        )

    def restore(self, before: MachineCapacity) -> None:
        """Set the capacity and images back to those of ``before``, an earlier copy."""
        self.cores = before.cores
        self.accelerators = before.accelerators
        self.ram_gb = before.ram_gb
        self.images = before.images

    def placement_key(self, request: PlacementRequest) -> PlacementKey:
        """Sort key of the machine rule, smallest first: a cached image, then most free capacity."""
        return (request.image not in self.images, -self.cores, -self.ram_gb, self.machine_index)
