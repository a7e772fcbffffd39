"""The rental decision: pure, from backlog, machines and prices.

Cheap capacity is rented up to what the backlog can keep busy for a short while; dear capacity only
for backlog that the cheap kind cannot drain in time. What idles goes back.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from petrelthread.protocol import MAX_MACHINES_PER_SCALE_OUT

DEFAULT_PRICE_RATIO = 2.2  # of an ordinary core's price to a spot core's
UNTRIED_OFFER_YIELD = 0.5  # of what is asked that an offer never asked before is expected to give
EPSILON = 1e-6  # of sums of cores
INITIAL_BACKOFF_S = 10.0
MAX_BACKOFF_S = 20.0


class ProvisioningOptions(NamedTuple):
    """What operators may change; the defaults are what the measured rounds showed to serve best."""

    spot_drain_s: float = 30.0  # spot machines are added until the backlog drains in this time
    dear_drain_s: float = 120.0  # ordinary ones only until it drains in this time, or in time
    patient_drain_s: float = 600.0  # and in this where nothing says when it should be done
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
    boot_s: float
    last_filled: bool = (
        False  # its last answer gave all that was asked: it may have more than one call
    )
    tried: bool = True  # it has answered before


class Demand(NamedTuple):
    """Unfinished work of one job, as far as its team may run it at once."""

    tasks: int  # that could run now, running ones included
    work_s: float  # run time left in all its unfinished tasks
    deadline_in_s: float  # from now
    cores: float
    accelerators: float
    ram_gb: float
    machine_types: frozenset[int] | None
    zone: int | None
    spot: bool
    waiting: bool = True  # some of its tasks are on no machine yet
    no_goal: bool = False  # neither a deadline nor an objective says when it should be done
    standing: bool = (
        False  # replicas of a service: no backlog that drains, but room for all, always
    )


class OwnedMachine(NamedTuple):
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
    occupied_cores: float = 0.0  # cores that tasks take of jobs none of whose tasks wait any more
    replicas: int = 0  # of services: they stay where they are


class ScaleOutRequest(NamedTuple):
    type: int
    zone: int
    spot: bool
    machines: int


class Plan(NamedTuple):
    scale_outs: list[ScaleOutRequest]
    scale_ins: list[int]
    cordoned: set[int]  # surplus: they finish what they have and get nothing new


class OfferBackoff:
    """What the cloud answered for types, zones and kinds; each has its own back-off if refused."""

    def __init__(self) -> None:
        self._until: dict[tuple[int, int, bool], tuple[float, float]] = {}
        self._deep: set[tuple[int, int, bool]] = set()
        self._tried: set[tuple[int, int, bool]] = set()

    def record_refusal(self, type: int, zone: int, spot: bool, now: float) -> None:
        self._tried.add((type, zone, spot))
        _, last = self._until.get((type, zone, spot), (0.0, INITIAL_BACKOFF_S / 2))
        pause = min(MAX_BACKOFF_S, last * 2)
        self._until[type, zone, spot] = (now + pause, pause)
        self._deep.discard((type, zone, spot))

    def record_grant(self, type: int, zone: int, spot: bool) -> None:
        self.reset(type, zone, spot)
        self._deep.add((type, zone, spot))
        self._tried.add((type, zone, spot))

    def was_tried(self, type: int, zone: int, spot: bool) -> bool:
        return (type, zone, spot) in self._tried

    def reset(self, type: int, zone: int, spot: bool) -> None:
        """A machine of ours went: there may be one to be had again."""
        self._until.pop((type, zone, spot), None)

    def last_filled(self, type: int, zone: int, spot: bool) -> bool:
        """The last answer gave all that was asked."""
        return (type, zone, spot) in self._deep

    def is_available(self, type: int, zone: int, spot: bool, now: float) -> bool:
        return now >= self._until.get((type, zone, spot), (0.0, 0.0))[0]

    def active(self, now: float) -> list[tuple[int, int, bool, float]]:
        return [(*key, until - now) for key, (until, _) in self._until.items() if until > now]


def _fits(demand: Demand, offer: Offer | OwnedMachine) -> int:
    """How many tasks of the demand one such machine holds."""
    if demand.machine_types is not None and offer.type not in demand.machine_types:
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
            most = min(most, (have + EPSILON) // need)
    return 0 if most is math.inf else int(most)


def _groups(demands: list[Demand]) -> list[list[Demand]]:
    """Demands that the same machines can serve are planned together."""
    groups: dict[tuple[frozenset[int] | None, int | None, bool, bool, bool], list[Demand]] = {}
    for demand in demands:
        key = (
            demand.machine_types,
            demand.zone,
            demand.spot,
            demand.accelerators > 0,
            demand.standing,
        )
        groups.setdefault(key, []).append(demand)
    return list(groups.values())


def _dear_weight(offers: list[Offer], owned: list[OwnedMachine], fits: _Fits) -> float:
    """How much dearer ordinary cores are than spot ones, against the ratio the options are for.

    The dearer they are, the longer a backlog may take before they pay.
    """
    machines: list[Offer | OwnedMachine] = [*offers, *owned]
    cheap = [m.price / m.cores for m in machines if m.spot and fits.cores(m) > 0]
    dear = [m.price / m.cores for m in machines if not m.spot and fits.cores(m) > 0]
    if not cheap or not dear:
        return 1.0
    return max(1.0, min(dear) / min(cheap) / DEFAULT_PRICE_RATIO)


def _cores_in_time(group: list[Demand], options: ProvisioningOptions, share: float = 1.0) -> float:
    """Cores that finish each job's work, and all that is due before it, in a share of the time."""
    need = work = 0.0
    for demand in sorted(group, key=lambda d: (d.no_goal, d.deadline_in_s)):
        work += demand.work_s * demand.cores
        left_s = max(options.due_least_s, demand.deadline_in_s * options.due_share)
        most_s = options.patient_drain_s if demand.no_goal else options.dear_drain_s
        need = max(need, work / (min(left_s, most_s) * share))
    return need


class _Targets(NamedTuple):
    """How many cores one group of demands wants."""

    cheap: float  # of the cheap kind, up to what keeps the backlog short
    dear: float  # in all, where the cheap kind falls short
    keep_dear: float  # of dear machines that are up already
    keep_room: float  # on machines that are up, for tasks that are still to come


class _Fits:
    """How many cores of one shape's tasks a machine holds, looked up by its type and kind."""

    def __init__(self, shape: Demand) -> None:
        self._shape = shape
        self._known: dict[tuple[int, int, bool], float] = {}

    def cores(self, machine: Offer | OwnedMachine) -> float:
        key = (machine.type, machine.zone, machine.spot)
        found = self._known.get(key)
        if found is None:
            found = self._known[key] = _fits(self._shape, machine) * self._shape.cores
        return found


class _Planner:
    """Machines that are left and calls that are made, as one group after the other chooses."""

    def __init__(
        self,
        owned: list[OwnedMachine],
        offers: list[Offer],
        options: ProvisioningOptions,
        calls: int,
    ) -> None:
        in_order = sorted(
            owned,
            key=lambda o: (
                -o.replicas,
                o.price / max(o.cores, 1e-9),
                -o.tasks,
                o.idle_s or 0.0,
                o.machine,
            ),
        )
        # By machine, in the order in which they are chosen. A list from which each chosen machine
        # is removed took 130 ms of a plan for 4,000.
        self.left = {machine.machine: machine for machine in in_order}
        self.rents: list[ScaleOutRequest] = []
        self._owned = owned
        self._offers = offers
        self._options = options
        self._calls = calls

    def targets(self, shape: Demand, group: list[Demand], spare: float, fits: _Fits) -> _Targets:
        """``spare``: cores wanted beyond what the group could use now."""
        options = self._options
        could_use = sum(d.tasks * d.cores for d in group)
        if shape.standing:
            wanted = could_use + spare
            waiting = sum(d.tasks * d.cores for d in group if d.waiting)
            return _Targets(wanted, wanted, wanted, min(could_use, waiting) + spare)
        weight = _dear_weight(self._offers, self._owned, fits)
        work = sum(d.work_s * d.cores for d in group)
        # Even a single long task wants its core.
        least = min(could_use, max(d.cores for d in group))
        cheap = max(least, min(could_use, work / options.spot_drain_s)) + spare
        dear = max(least, min(could_use, _cores_in_time(group, options, weight)))
        keep = min(could_use, _cores_in_time(group, options, weight * options.keep_share))
        # Room is needed only where tasks are still to come: those of jobs that wait for nothing
        # stay where they are. Counted as if they all needed room, the last long tasks of a day
        # were started on every machine there was, and 3,100 cores were paid for 760 in use.
        waiting = sum(d.tasks * d.cores for d in group if d.waiting)
        return _Targets(cheap, dear, max(keep, dear), min(could_use, waiting) + spare)

    def choose_owned(self, shape: Demand, targets: _Targets, fits: _Fits) -> float:
        """Take machines for a group. Returns the cores that it has."""
        have = room = 0.0
        for machine in list(self.left.values()):
            cores = fits.cores(machine)
            if cores <= 0:
                continue
            if shape.spot and not machine.spot:
                if targets.keep_dear - have > self._options.dear_fill * cores:
                    have += cores
                    del self.left[machine.machine]
                continue
            have += cores
            if room < targets.keep_room - EPSILON and machine.occupied_cores < cores:
                room += cores - machine.occupied_cores
                del self.left[machine.machine]
        if room < targets.keep_room - EPSILON:
            # More is to come than there is room: what finishing jobs hold is wanted after them.
            for machine in list(self.left.values()):
                dear = shape.spot and not machine.spot
                if not dear and fits.cores(machine) > 0:
                    del self.left[machine.machine]
        return have

    def rent(self, shape: Demand, targets: _Targets, have: float, fits: _Fits) -> None:
        """Calls for what a group lacks, the cheapest core first."""
        priced = []
        for offer in self._offers:
            cores = fits.cores(offer)
            if cores > 0:
                priced.append((offer.price / cores, offer, cores))
        capped = False
        for _, offer, cores in sorted(priced, key=lambda p: (p[0], p[1].type, p[1].zone)):
            dear = shape.spot and not offer.spot
            lacking = (targets.dear if dear else targets.cheap) - have
            calls = self._calls - len(self.rents)
            if lacking <= EPSILON or calls <= 0:
                continue
            if dear and (capped or lacking < self._options.dear_fill * cores):
                # A call gives 50 machines at most. What the next call to a cheaper offer may give
                # is no reason for a dearer one: only its refusal or short answer is.
                continue
            if cores > 2 * lacking:
                # Much larger than needed: left to a smaller one, if that costs less in all.
                smaller = [p for p, o, c in priced if c < cores and p * c < offer.price]
                if smaller:
                    continue
            count = math.ceil(lacking / cores - EPSILON)
            most = min(count, MAX_MACHINES_PER_SCALE_OUT * (calls if offer.last_filled else 1))
            capped = capped or count > most
            have += most * cores * (1.0 if offer.tried or dear else UNTRIED_OFFER_YIELD)
            self._call(offer, most)

    def _call(self, offer: Offer, machines: int) -> None:
        while machines > 0:
            count = min(machines, MAX_MACHINES_PER_SCALE_OUT)
            self.rents.append(ScaleOutRequest(offer.type, offer.zone, offer.spot, count))
            machines -= MAX_MACHINES_PER_SCALE_OUT

    def surplus(self, no_demand: bool, reserve_cores: float) -> Plan:
        """The plan, with what no group has chosen as surplus."""
        left = list(self.left.values())
        if no_demand:
            left = _beyond(left, reserve_cores)
        # What holds replicas is not emptied, so it may as well be used: a replica that had failed
        # on the one machine that was kept for it waited for ever beside the other.
        retiring = {machine.machine for machine in left if not machine.replicas}
        returns = []
        for machine in left:
            patience = self._options.idle_s if machine.spot else self._options.dear_idle_s
            if machine.idle_s is not None and machine.idle_s >= patience:
                returns.append(machine.machine)
        return Plan(self.rents, returns, retiring)


def make_plan(
    demands: list[Demand],
    owned: list[OwnedMachine],
    offers: list[Offer],
    reserve_cores: float,
    options: ProvisioningOptions,
    max_calls: int,
    standing_reserve: float = 0.0,
) -> Plan:
    """``offers``: those not refused lately. ``calls``: rental calls that may be made now.
    ``standing_reserve``: cores for replicas of services that are likely to come or to be lost.

    The groups with the fewest offers choose their machines first, the cheapest core first. What no
    group needs is surplus: idle, it is to be returned, busy, it gets nothing new.
    """
    planner = _Planner(owned, offers, options, max_calls)
    # The most common shape stands for its group.
    shapes = [(max(group, key=lambda d: d.tasks * d.cores), group) for group in _groups(demands)]
    shapes.sort(
        key=lambda pair: (
            not pair[0].standing,
            sum(_fits(pair[0], o) > 0 for o in offers),
            not pair[0].spot,
        )
    )
    standing = sum(shape.standing for shape, _ in shapes)
    for at, (shape, group) in enumerate(shapes):
        spare = reserve_cores if shape.spot and at == len(shapes) - 1 else 0.0
        if shape.standing:
            spare = standing_reserve / standing
        fits = _Fits(shape)
        targets = planner.targets(shape, group, spare, fits)
        have = planner.choose_owned(shape, targets, fits)
        planner.rent(shape, targets, have, fits)
    return planner.surplus(not shapes, reserve_cores)


def _beyond(machines: list[OwnedMachine], reserve_cores: float) -> list[OwnedMachine]:
    """What is left of the machines, cheapest first, after the reserve."""
    out = []
    for machine in machines:
        if machine.spot and reserve_cores > EPSILON:
            reserve_cores -= machine.cores
        else:
            out.append(machine)
    return out


def interleave(rents: list[ScaleOutRequest]) -> list[ScaleOutRequest]:
    """One call to each offer, then the second to each, and so on: all learn soon what is left."""
    rounds: dict[tuple[int, int, bool], int] = {}
    turns: list[tuple[int, int, ScaleOutRequest]] = []
    for at, rent in enumerate(rents):
        offer = (rent.type, rent.zone, rent.spot)
        turns.append((rounds.get(offer, 0), at, rent))
        rounds[offer] = rounds.get(offer, 0) + 1
    return [rent for _, _, rent in sorted(turns)]
