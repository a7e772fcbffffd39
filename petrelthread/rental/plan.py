"""The rental decision: pure, from backlog, machines and prices.

Cheap capacity is rented up to what the backlog can keep busy for a short while; dear capacity only
for backlog that the cheap kind cannot drain in time. What idles goes back.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from petrelthread.wire import RENT_MOST

REFUSED_S = 15.0
REFUSED_MOST_S = 60.0


class Options(NamedTuple):
    """What operators may change; the defaults are what the measured rounds showed to serve best."""

    spot_drain_s: float = 30.0  # spot machines are added until the backlog drains in this time
    dear_drain_s: float = 120.0  # ordinary ones only until it drains in this time, or in time
    due_share: float = 0.7  # of the time left until jobs are due that their work may take
    due_least_s: float = 45.0  # work due sooner than this is planned as if due then
    keep_share: float = 0.35  # of those times: dear machines that are up stay until this suffices
    dear_fill: float = 0.5  # of a dear machine's cores that must be lacking
    idle_s: float = 20.0  # a surplus spot machine goes back after idling this long
    dear_idle_s: float = 2.0  # and an ordinary one after this
    reserve_share: float = 0.5  # of the cores asked for lately by jobs that must start quickly


class Offer(NamedTuple):
    type: int
    zone: int
    spot: bool
    cores: float
    accelerators: float
    ram_gb: float
    price: float  # per hour, as charged now
    startup_s: float


class Demand(NamedTuple):
    """Unfinished work of one job, as far as its team may run it at once."""

    tasks: int  # that could run now, running ones included
    work_s: float  # run time left in all its unfinished tasks
    due_s: float  # from now
    cores: float
    accelerators: float
    ram_gb: float
    types: frozenset[int] | None
    zone: int | None
    spot: bool


class Owned(NamedTuple):
    machine: int
    type: int
    zone: int
    spot: bool
    cores: float
    accelerators: float
    ram_gb: float
    price: float
    idle_s: float | None  # None while it works or boots
    tasks: int


class Rent(NamedTuple):
    type: int
    zone: int
    spot: bool
    machines: int


class Plan(NamedTuple):
    rents: list[Rent]
    returns: list[int]
    retiring: set[int]  # surplus: they finish what they have and get nothing new
    wanted_cores: float
    owned_cores: float


class Refusals:
    """Types, zones and kinds that the cloud refused lately, each with its own back-off."""

    def __init__(self) -> None:
        self._until: dict[tuple[int, int, bool], tuple[float, float]] = {}

    def refused(self, type: int, zone: int, spot: bool, now: float) -> None:
        _, last = self._until.get((type, zone, spot), (0.0, REFUSED_S / 2))
        pause = min(REFUSED_MOST_S, last * 2)
        self._until[type, zone, spot] = (now + pause, pause)

    def granted(self, type: int, zone: int, spot: bool) -> None:
        self._until.pop((type, zone, spot), None)

    def open(self, type: int, zone: int, spot: bool, now: float) -> bool:
        return now >= self._until.get((type, zone, spot), (0.0, 0.0))[0]

    def listed(self, now: float) -> list[tuple[int, int, bool, float]]:
        return [(*key, until - now) for key, (until, _) in self._until.items() if until > now]


def _fits(demand: Demand, offer: Offer | Owned) -> int:
    """How many tasks of the demand one such machine holds."""
    if demand.types is not None and offer.type not in demand.types:
        return 0
    if (demand.zone is not None and offer.zone != demand.zone) or (offer.spot and not demand.spot):
        return 0
    most = math.inf
    for need, have in (
        (demand.cores, offer.cores),
        (demand.accelerators, offer.accelerators),
        (demand.ram_gb, offer.ram_gb),
    ):
        if need > 0:
            most = min(most, (have + 1e-6) // need)
    return 0 if most is math.inf else int(most)


def _groups(demands: list[Demand]) -> list[list[Demand]]:
    """Demands that the same machines can serve are planned together."""
    groups: dict[tuple[frozenset[int] | None, int | None, bool, bool], list[Demand]] = {}
    for demand in demands:
        key = (demand.types, demand.zone, demand.spot, demand.accelerators > 0)
        groups.setdefault(key, []).append(demand)
    return list(groups.values())


def _cores_in_time(group: list[Demand], options: Options, share: float = 1.0) -> float:
    """Cores that finish each job's work, and all that is due before it, in a share of the time."""
    need = work = 0.0
    for demand in sorted(group, key=lambda d: d.due_s):
        work += demand.work_s * demand.cores
        left_s = max(options.due_least_s, demand.due_s * options.due_share)
        need = max(need, work / (min(left_s, options.dear_drain_s) * share))
    return need


def plan(
    demands: list[Demand],
    owned: list[Owned],
    offers: list[Offer],
    reserve_cores: float,
    options: Options,
    calls: int,
) -> Plan:
    """``offers``: those not refused lately. ``calls``: rental calls that may be made now."""
    rents: list[Rent] = []
    keep_cheap, keep_dear = reserve_cores, 0.0
    left = list(owned)
    for group in _groups(demands):
        could_use = sum(d.tasks * d.cores for d in group)
        work = sum(d.work_s * d.cores for d in group)
        cheap_target = min(could_use, work / options.spot_drain_s)
        dear_target = min(could_use, _cores_in_time(group, options))
        # Even a single long task wants its core.
        biggest = max(d.cores for d in group)
        cheap_target = max(cheap_target, min(could_use, biggest))
        dear_target = max(dear_target, min(could_use, biggest))
        cheap_target += reserve_cores if group[0].spot else 0.0
        # The roomy case stands for the group: its most common shape.
        shape = max(group, key=lambda d: d.tasks * d.cores)
        have = 0.0
        for machine in list(left):
            fits = _fits(shape, machine)
            if fits:
                have += fits * shape.cores
                left.remove(machine)
        keep_cheap += could_use
        keep = min(could_use, _cores_in_time(group, options, options.keep_share))
        keep_dear += max(keep, dear_target) if group[0].spot else could_use
        priced = []
        for offer in offers:
            fits = _fits(shape, offer)
            if fits:
                priced.append((offer.price / (fits * shape.cores), offer, fits * shape.cores))
        if not priced:
            continue
        for _, offer, cores in sorted(priced, key=lambda p: (p[0], p[1].type, p[1].zone)):
            dear = group[0].spot and not offer.spot
            target = dear_target if dear else cheap_target
            lacking = target - have
            if lacking <= 1e-6 or len(rents) >= calls:
                continue
            if dear and lacking < options.dear_fill * cores:
                continue
            count = math.ceil(lacking / cores - 1e-6)
            if cores > 2 * lacking and len(priced) > 1:
                # Much larger than needed: left to a smaller one, if that costs less in all.
                smaller = [p for p, o, c in priced if c < cores and p * c < offer.price]
                if smaller:
                    continue
            count = min(count, RENT_MOST)
            rents.append(Rent(offer.type, offer.zone, offer.spot, count))
            have += count * cores
    returns, retiring = _surplus(owned, keep_cheap, keep_dear, options)
    return Plan(rents, returns, retiring, keep_cheap, sum(o.cores for o in owned))


def _surplus(
    owned: list[Owned], keep_cheap: float, keep_dear: float, options: Options
) -> tuple[list[int], set[int]]:
    """What is beyond the need, the dearest core first: idle ones to return, busy ones to retire.

    Dear capacity is kept only while the backlog is too long for what is cheaper than it.
    """
    returns: list[int] = []
    retiring: set[int] = set()
    have = 0.0
    for machine in sorted(
        owned, key=lambda o: (o.price / max(o.cores, 1e-9), -o.tasks, o.idle_s or 0.0, o.machine)
    ):
        lacking = (keep_cheap if machine.spot else keep_dear) - have
        if lacking > (1e-6 if machine.spot else options.dear_fill * machine.cores):
            have += machine.cores
            continue
        retiring.add(machine.machine)
        patience = options.idle_s if machine.spot else options.dear_idle_s
        if machine.idle_s is not None and machine.idle_s >= patience:
            returns.append(machine.machine)
    return returns, retiring
