"""Data types of provisioning plans: demands, owned machines, offers and decisions."""

from __future__ import annotations

from typing import NamedTuple

CORES_EPSILON = 1e-6  # sums of cores closer than this count as equal


class ProvisioningOptions(NamedTuple):
    """Options that operators may change. Times are in seconds."""

    spot_drain_s: float = 30.0  # add spot machines until the backlog drains in this time
    on_demand_drain_s: float = 120.0  # add on-demand machines until the backlog drains in this time
    best_effort_drain_s: float = 600.0  # on_demand_drain_s for jobs without deadline or objective
    due_share: float = 0.7  # share of the time to a deadline that the work may take
    min_due_s: float = 45.0  # lower bound on the time planned for work before a deadline
    # Factor on time limits that decide which on-demand machines to keep.
    keep_time_factor: float = 0.35
    on_demand_fill: float = 0.5  # share of an on-demand machine's cores that must be needed
    spot_idle_s: float = 20.0  # idle timeout of surplus spot machines
    on_demand_idle_s: float = 2.0  # idle timeout of surplus on-demand machines
    reserve_share: float = 0.5  # share of expected cores of urgent jobs that is kept in reserve


class OfferKey(NamedTuple):
    """Identifies an offer of the cloud. Type and zone are interned indices."""

    machine_type: int
    zone: int
    spot: bool


class Offer(NamedTuple):
    """One machine type in one zone, as spot or on-demand, that may be requested now."""

    machine_type: int
    zone: int
    spot: bool
    cores: float
    accelerators: float
    ram_gb: float
    price: float  # per hour
    boot_s: float
    last_filled: bool = False  # its last response gave all requested machines
    tried: bool = True  # it has responded before

    @property
    def key(self) -> OfferKey:
        """The offer's identity."""
        return OfferKey(self.machine_type, self.zone, self.spot)


class Demand(NamedTuple):
    """Machines needed by one job, or by jobs that are expected."""

    tasks: int  # number that the quota permits at the same time, running ones included
    work_s: float  # remaining run time of all unfinished tasks
    deadline_in_s: float  # time left until the deadline
    cores: float  # per task
    accelerators: float  # per task
    ram_gb: float  # per task
    machine_types: frozenset[int] | None  # allowed ones; None for all
    zone: int | None
    spot_allowed: bool
    has_pending: bool = True  # some of its tasks are on no machine yet
    best_effort: bool = False  # without a deadline and without an objective
    permanent: bool = False  # capacity for all tasks is kept at all times, as for replicas


class OwnedMachine(NamedTuple):
    """A machine that is up, or is expected to boot."""

    machine_index: int
    machine_type: int
    zone: int
    spot: bool
    cores: float
    accelerators: float
    ram_gb: float
    price: float  # per hour
    idle_s: float | None  # None while it has tasks or boots
    tasks: int
    occupied_cores: float = 0.0  # cores of running tasks whose jobs have no pending task
    replicas: int = 0  # of services


class ScaleOutRequest(NamedTuple):
    """One request for machines of one offer."""

    machine_type: int
    zone: int
    spot: bool
    machine_count: int

    @property
    def offer_key(self) -> OfferKey:
        """Identity of the requested offer."""
        return OfferKey(self.machine_type, self.zone, self.spot)


class Plan(NamedTuple):
    """Changes to the fleet. Machines are given by index."""

    scale_outs: list[ScaleOutRequest]
    scale_ins: list[int]
    cordoned: set[int]  # surplus machines: they finish their tasks and get no new ones
