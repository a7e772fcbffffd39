"""Data types of provisioning plans: what is needed, owned and offered, and what is decided."""

from __future__ import annotations

from typing import NamedTuple

CORES_EPSILON = 1e-6  # sums of cores closer than this count as equal


class ProvisioningOptions(NamedTuple):
    """Options that operators may change. Times are in seconds."""

    spot_drain_s: float = 30.0  # add spot machines until the backlog drains in this time
    on_demand_drain_s: float = 120.0  # add on-demand machines until it drains in this time
    patient_drain_s: float = 600.0  # the same for jobs without deadline and objective
    due_share: float = 0.7  # share of the time to a deadline that the work may take
    due_least_s: float = 45.0  # deadlines nearer than this are planned as if this far away
    keep_share: float = 0.35  # keep running on-demand machines until this share of the times holds
    on_demand_fill: float = 0.5  # share of an on-demand machine's cores that must be lacking
    spot_idle_s: float = 20.0  # scale in a surplus spot machine after it idled this long
    on_demand_idle_s: float = 2.0  # scale in a surplus on-demand machine after this
    reserve_share: float = 0.5  # reserved share of the cores that urgent jobs lately asked for


class OfferKey(NamedTuple):
    """Identifies an offer of the cloud. Type and zone are interned indices."""

    machine_type: int
    zone: int
    spot: bool


class Offer(NamedTuple):
    """One machine type in one zone, as spot or on-demand, that may be asked for now."""

    machine_type: int
    zone: int
    spot: bool
    cores: float
    accelerators: float
    ram_gb: float
    price: float  # per hour
    boot_s: float
    last_filled: bool = False  # its last answer gave all that was asked for
    tried: bool = True  # it has answered before

    @property
    def key(self) -> OfferKey:
        """The offer's identity."""
        return OfferKey(self.machine_type, self.zone, self.spot)


class Demand(NamedTuple):
    """Unfinished work of one job, as far as its team's quota lets it run at once."""

    tasks: int  # that could run now, running ones included
    work_s: float  # run time left in all unfinished tasks
    deadline_in_s: float  # from now
    cores: float  # of one task, as are accelerators and memory
    accelerators: float
    ram_gb: float
    machine_types: frozenset[int] | None  # allowed ones; None for all
    zone: int | None
    spot_allowed: bool
    has_pending: bool = True  # some of its tasks are on no machine yet
    no_goal: bool = False  # it has neither a deadline nor an objective
    standing: bool = False  # capacity for all tasks is kept at all times, as for replicas


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
    idle_s: float | None  # None while it works or boots
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
        """The offer that is asked."""
        return OfferKey(self.machine_type, self.zone, self.spot)


class Plan(NamedTuple):
    """What to change about the machines. Machines are given by index."""

    scale_outs: list[ScaleOutRequest]
    scale_ins: list[int]
    cordoned: set[int]  # surplus machines: they finish their tasks and get no new ones
