"""What is free on one machine, what one job requests, and what its team may still use."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.occupancy import JobOccupancy

EPS = 1e-6  # of sums of cores and memory


class Slot:
    """What is free on one machine."""

    __slots__ = (
        "accelerators",
        "cores",
        "images",
        "machine",
        "machine_type",
        "ram_gb",
        "spot",
        "zone",
    )

    def __init__(
        self,
        machine: int,
        machine_type: int,
        zone: int,
        spot: bool,
        cores: float,
        accelerators: float,
        ram_gb: float,
        images: set[int],
    ) -> None:
        self.machine = machine
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.cores = cores
        self.accelerators = accelerators
        self.ram_gb = ram_gb
        self.images = images

    def fits(self, request: PlacementRequest) -> bool:
        """Whether one task of the request has room here."""
        return (
            self.cores + EPS >= request.cores
            and self.accelerators + EPS >= request.accelerators
            and self.ram_gb + EPS >= request.ram_gb
        )

    def allowed(self, request: PlacementRequest) -> bool:
        """Whether the job may use this machine at all."""
        return (
            (request.spot_allowed or not self.spot)
            and (request.machine_types is None or self.machine_type in request.machine_types)
            and (request.zone is None or self.zone == request.zone)
            and self.machine not in request.excluded_machines
        )

    def take(self, request: PlacementRequest) -> None:
        """Count one task of the request as placed here."""
        self.cores -= request.cores
        self.accelerators -= request.accelerators
        self.ram_gb -= request.ram_gb
        self.images.add(request.image)

    def give_back(self, cores: float, accelerators: float, ram_gb: float) -> None:
        """Count what a task held as free."""
        self.cores += cores
        self.accelerators += accelerators
        self.ram_gb += ram_gb

    def copy(self) -> Slot:
        """An independent copy, for a decision that may be dropped."""
        return Slot(
            self.machine,
            self.machine_type,
            self.zone,
            self.spot,
            self.cores,
            self.accelerators,
            self.ram_gb,
            set(self.images),
        )

    def restore(self, before: Slot) -> None:
        """Go back to what ``before``, a copy of this slot, held."""
        self.cores = before.cores
        self.accelerators = before.accelerators
        self.ram_gb = before.ram_gb
        self.images = before.images

    def rank(self, request: PlacementRequest) -> tuple[bool, float, float, int]:
        """By the machine rule; smaller is better."""
        return (request.image not in self.images, -self.cores, -self.ram_gb, self.machine)


class PlacementRequest(NamedTuple):
    """What one job still requests placed."""

    job: int
    team: int
    tasks: int  # of the whole job
    pending: int
    cores: float
    accelerators: float
    ram_gb: float
    image: int
    machine_types: frozenset[int] | None
    zone: int | None
    spot_allowed: bool
    single_zone: bool
    spread_zones: bool
    occupancy: JobOccupancy  # shared by all requests of the job, and kept up to date by ``place``
    excluded_machines: frozenset[int] = frozenset()  # machines on which it failed
    all_or_nothing: bool = False  # a gang: all pending tasks in this round or none
    spread_machines: bool = False  # a service: one loss is to take few of its replicas
    # Of a job that is bound to one zone: for how many tasks the zone is chosen, where this request
    # is for fewer of them.
    zone_tasks: int = 0


class QuotaHeadroom:
    """What a team may still use."""

    __slots__ = ("accelerators", "cores")

    def __init__(self, cores: float, accelerators: float) -> None:
        self.cores = cores
        self.accelerators = accelerators

    def max_tasks(self, request: PlacementRequest) -> int:
        """How many pending tasks of the request the team's limit allows."""
        most = request.pending
        if request.cores > 0:
            most = min(most, int((self.cores + EPS) / request.cores))
        if request.accelerators > 0:
            most = min(most, int((self.accelerators + EPS) / request.accelerators))
        return max(0, most)

    def take(self, request: PlacementRequest, tasks: int) -> None:
        """Count so many tasks of the request as running."""
        self.cores -= tasks * request.cores
        self.accelerators -= tasks * request.accelerators
