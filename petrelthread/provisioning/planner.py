"""Provisioning decision as a pure function of demands, owned machines and offers.

Spot capacity is scaled out as far as the backlog can use it for a short time. On-demand capacity is
added only for work that spot machines cannot finish in time. Surplus machines are cordoned, and
scaled in once they idle.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from petrelthread.protocol import MAX_MACHINES_PER_SCALE_OUT
from petrelthread.provisioning.plan import (
    CORES_EPSILON,
    Demand,
    Offer,
    OwnedMachine,
    Plan,
    ProvisioningOptions,
    ScaleOutRequest,
)

DEFAULT_PRICE_RATIO = 2.2  # of an on-demand core's price to a spot core's
UNTRIED_OFFER_YIELD = 0.5  # share of the request that an untried offer is expected to fill
MAX_OVERSIZE = 2.0  # a machine with more times the lacking cores yields to cheaper smaller ones
MIN_CORES = 1e-9  # divisor for machine types without cores


def make_plan(
    demands: list[Demand],
    owned: list[OwnedMachine],
    offers: list[Offer],
    reserve_cores: float,
    options: ProvisioningOptions,
    max_calls: int,
    standing_reserve: float = 0.0,
) -> Plan:
    """Decide which machines to scale out, to scale in and to cordon.

    Demands with the fewest offers choose their machines first, the cheapest core first. Machines
    that no demand needs are surplus.

    Args:
        demands: Unfinished work by job.
        owned: Machines that are up or expected to boot.
        offers: Offers without active back-off.
        reserve_cores: Cores to keep for urgent jobs that are likely to arrive.
        options: Operators' options.
        max_calls: Scale-out calls that may be made now.
        standing_reserve: Cores to keep for replicas that are likely to arrive or to be lost.
    """
    planner = _Planner(owned, offers, options, max_calls)
    groups = _ordered_groups(demands, offers)
    standing_groups = sum(group.representative.standing for group in groups)
    for group in groups:
        representative = group.representative
        if representative.standing:
            group_reserve = standing_reserve / standing_groups
        elif representative.spot_allowed and group is groups[-1]:
            group_reserve = reserve_cores
        else:
            group_reserve = 0.0
        planner.provision(group, group_reserve)
    return planner.finish(not groups, reserve_cores)


def tasks_per_machine(demand: Demand, machine: Offer | OwnedMachine) -> int:
    """How many tasks of the demand an otherwise empty machine holds."""
    if demand.machine_types is not None and machine.machine_type not in demand.machine_types:
        return 0
    if demand.zone is not None and machine.zone != demand.zone:
        return 0
    if machine.spot and not demand.spot_allowed:
        return 0
    count = math.inf
    for required, available in (
        (demand.cores, machine.cores),
        (demand.accelerators, machine.accelerators),
        (demand.ram_gb, machine.ram_gb),
    ):
        if required > 0:
            count = min(count, (available + CORES_EPSILON) // required)
    return 0 if count is math.inf else int(count)


class _DemandGroup(NamedTuple):
    """Demands that the same machines can serve. The largest stands for the group."""

    representative: Demand
    demands: list[Demand]

    @property
    def usable_cores(self) -> float:
        """Cores that the group's tasks could use now."""
        return sum(d.tasks * d.cores for d in self.demands)

    @property
    def pending_cores(self) -> float:
        """Cores of the jobs that still have pending tasks."""
        return sum(d.tasks * d.cores for d in self.demands if d.has_pending)


def _ordered_groups(demands: list[Demand], offers: list[Offer]) -> list[_DemandGroup]:
    """Group demands by what machines they accept, those with the fewest choices first."""
    by_eligibility: dict[
        tuple[frozenset[int] | None, int | None, bool, bool, bool], list[Demand]
    ] = {}
    for demand in demands:
        eligibility = (
            demand.machine_types,
            demand.zone,
            demand.spot_allowed,
            demand.accelerators > 0,
            demand.standing,
        )
        by_eligibility.setdefault(eligibility, []).append(demand)
    groups = [
        _DemandGroup(max(members, key=lambda d: d.tasks * d.cores), members)
        for members in by_eligibility.values()
    ]
    groups.sort(
        key=lambda group: (
            not group.representative.standing,
            sum(tasks_per_machine(group.representative, offer) > 0 for offer in offers),
            not group.representative.spot_allowed,
        )
    )
    return groups


class _UsableCores:
    """Cores of a machine that tasks like the representative demand can use, cached by offer."""

    def __init__(self, representative: Demand) -> None:
        self._representative = representative
        # Plain tuples, since building a NamedTuple for each lookup would slow down large plans.
        self._cores: dict[tuple[int, int, bool], float] = {}

    def on(self, machine: Offer | OwnedMachine) -> float:
        """Usable cores of the machine; 0 if no task fits."""
        key = (machine.machine_type, machine.zone, machine.spot)
        cores = self._cores.get(key)
        if cores is None:
            tasks = tasks_per_machine(self._representative, machine)
            cores = self._cores[key] = tasks * self._representative.cores
        return cores


def _on_demand_time_factor(
    offers: list[Offer], owned: list[OwnedMachine], usable: _UsableCores
) -> float:
    """Factor by which a backlog may take longer before on-demand machines pay off.

    It is the ratio of the on-demand price to the spot price over the ratio that the options assume.
    """
    machines: list[Offer | OwnedMachine] = [*offers, *owned]
    spot = [m.price / m.cores for m in machines if m.spot and usable.on(m) > 0]
    on_demand = [m.price / m.cores for m in machines if not m.spot and usable.on(m) > 0]
    if not spot or not on_demand:
        return 1.0
    return max(1.0, min(on_demand) / min(spot) / DEFAULT_PRICE_RATIO)


def _cores_to_finish_in_time(
    demands: list[Demand], options: ProvisioningOptions, time_factor: float = 1.0
) -> float:
    """Cores that finish each job, and all that is due before it, in its time times the factor."""
    needed = work = 0.0
    for demand in sorted(demands, key=lambda d: (d.best_effort, d.deadline_in_s)):
        work += demand.work_s * demand.cores
        due_s = max(options.due_least_s, demand.deadline_in_s * options.due_share)
        drain_s = options.patient_drain_s if demand.best_effort else options.on_demand_drain_s
        needed = max(needed, work / (min(due_s, drain_s) * time_factor))
    return needed


class _CoreTargets(NamedTuple):
    """How many cores a group of demands should have."""

    spot: float  # on spot machines, to keep the backlog short
    on_demand: float  # in all, when spot machines fall short
    retained_on_demand: float  # in all, before running on-demand machines become surplus
    open: float  # on machines that accept new tasks


class _PricedOffer(NamedTuple):
    price_per_core: float
    offer: Offer
    cores: float  # usable by the group


class _Planner:
    """Assigns machines and scale-out calls to one group of demands after the other."""

    def __init__(
        self,
        owned: list[OwnedMachine],
        offers: list[Offer],
        options: ProvisioningOptions,
        max_calls: int,
    ) -> None:
        preferred = sorted(
            owned,
            key=lambda machine: (
                -machine.replicas,
                machine.price / max(machine.cores, MIN_CORES),
                -machine.tasks,
                machine.idle_s or 0.0,
                machine.machine_index,
            ),
        )
        # In the order in which they are assigned. A dict, since removal from a list of thousands
        # of machines is slow.
        self._unassigned = {machine.machine_index: machine for machine in preferred}
        self._scale_outs: list[ScaleOutRequest] = []
        self._owned = owned
        self._offers = offers
        self._options = options
        self._max_calls = max_calls

    def provision(self, group: _DemandGroup, reserve_cores: float) -> None:
        """Assign owned machines to the group, and plan scale-outs for what it lacks."""
        usable = _UsableCores(group.representative)
        targets = self._targets(group, reserve_cores, usable)
        spot_allowed = group.representative.spot_allowed
        assigned_cores = self._assign_owned(spot_allowed, targets, usable)
        self._plan_scale_outs(spot_allowed, targets, assigned_cores, usable)

    def finish(self, no_demand: bool, reserve_cores: float) -> Plan:
        """The plan, with all machines that are not assigned to a group as surplus."""
        surplus = list(self._unassigned.values())
        if no_demand:
            surplus = _without_reserve(surplus, reserve_cores)
        # A machine with replicas cannot be emptied, so it stays open for further replicas.
        cordoned = {machine.machine_index for machine in surplus if not machine.replicas}
        scale_ins = [machine.machine_index for machine in surplus if self._idled_out(machine)]
        return Plan(self._scale_outs, scale_ins, cordoned)

    def _idled_out(self, machine: OwnedMachine) -> bool:
        options = self._options
        limit_s = options.spot_idle_s if machine.spot else options.on_demand_idle_s
        return machine.idle_s is not None and machine.idle_s >= limit_s

    def _targets(
        self, group: _DemandGroup, reserve_cores: float, usable: _UsableCores
    ) -> _CoreTargets:
        """Core targets; the reserve comes on top of what the group could use now."""
        options = self._options
        demands = group.demands
        usable_cores = group.usable_cores
        # Only jobs with pending tasks need room for new ones. Room for all running tasks would keep
        # the last long tasks spread over far more machines than they need.
        open_cores = min(usable_cores, group.pending_cores) + reserve_cores
        if group.representative.standing:
            wanted = usable_cores + reserve_cores
            return _CoreTargets(wanted, wanted, wanted, open_cores)
        time_factor = _on_demand_time_factor(self._offers, self._owned, usable)
        work = sum(d.work_s * d.cores for d in demands)
        # Even a single long task needs its core.
        least = min(usable_cores, max(d.cores for d in demands))
        spot = max(least, min(usable_cores, work / options.spot_drain_s)) + reserve_cores
        in_time = _cores_to_finish_in_time(demands, options, time_factor)
        on_demand = max(least, min(usable_cores, in_time))
        in_less_time = _cores_to_finish_in_time(demands, options, time_factor * options.keep_share)
        retained = max(min(usable_cores, in_less_time), on_demand)
        return _CoreTargets(spot, on_demand, retained, open_cores)

    def _assign_owned(
        self, spot_allowed: bool, targets: _CoreTargets, usable: _UsableCores
    ) -> float:
        """Assign owned machines to a group, and return the cores that it has.

        Machines beyond the target for open cores count as capacity, but stay unassigned: their
        running tasks go on, and they get no new ones.
        """
        assigned_cores = open_cores = 0.0
        for machine in list(self._unassigned.values()):
            cores = usable.on(machine)
            if cores <= 0:
                continue
            if spot_allowed and not machine.spot:
                lacking = targets.retained_on_demand - assigned_cores
                if lacking > self._options.on_demand_fill * cores:
                    assigned_cores += cores
                    del self._unassigned[machine.machine_index]
                continue
            assigned_cores += cores
            if open_cores < targets.open - CORES_EPSILON and machine.occupied_cores < cores:
                open_cores += cores - machine.occupied_cores
                del self._unassigned[machine.machine_index]
        if open_cores < targets.open - CORES_EPSILON:
            # There is less room than pending work: machines of ending jobs are needed after them.
            for machine in list(self._unassigned.values()):
                is_fallback = spot_allowed and not machine.spot
                if not is_fallback and usable.on(machine) > 0:
                    del self._unassigned[machine.machine_index]
        return assigned_cores

    def _plan_scale_outs(
        self,
        spot_allowed: bool,
        targets: _CoreTargets,
        assigned_cores: float,
        usable: _UsableCores,
    ) -> None:
        """Plan calls for what a group lacks, the cheapest core first."""
        priced = self._priced_offers(usable)
        capped = False
        for _, offer, cores in priced:
            is_fallback = spot_allowed and not offer.spot
            lacking = (targets.on_demand if is_fallback else targets.spot) - assigned_cores
            calls_left = self._max_calls - len(self._scale_outs)
            if lacking <= CORES_EPSILON or calls_left <= 0:
                continue
            # The limit on machines per call does not justify a more expensive offer: only a refusal
            # or a short answer of the cheaper one does.
            if is_fallback and (capped or lacking < self._options.on_demand_fill * cores):
                continue
            if cores > MAX_OVERSIZE * lacking and _has_cheaper_smaller(priced, offer, cores):
                continue
            wanted = math.ceil(lacking / cores - CORES_EPSILON)
            calls = calls_left if offer.last_filled else 1
            count = min(wanted, MAX_MACHINES_PER_SCALE_OUT * calls)
            capped = capped or wanted > count
            expected_yield = 1.0 if offer.tried or is_fallback else UNTRIED_OFFER_YIELD
            assigned_cores += count * cores * expected_yield
            self._add_calls(offer, count)

    def _priced_offers(self, usable: _UsableCores) -> list[_PricedOffer]:
        """Offers that a group can use, by price of a usable core."""
        priced = []
        for offer in self._offers:
            cores = usable.on(offer)
            if cores > 0:
                priced.append(_PricedOffer(offer.price / cores, offer, cores))
        priced.sort(key=lambda p: (p.price_per_core, p.offer.machine_type, p.offer.zone))
        return priced

    def _add_calls(self, offer: Offer, machines: int) -> None:
        while machines > 0:
            count = min(machines, MAX_MACHINES_PER_SCALE_OUT)
            self._scale_outs.append(
                ScaleOutRequest(offer.machine_type, offer.zone, offer.spot, count)
            )
            machines -= MAX_MACHINES_PER_SCALE_OUT


def _has_cheaper_smaller(priced: list[_PricedOffer], offer: Offer, cores: float) -> bool:
    """Whether some smaller machine would supply the same cores for less in all."""
    return any(
        other.cores < cores and other.price_per_core * other.cores < offer.price for other in priced
    )


def _without_reserve(machines: list[OwnedMachine], reserve_cores: float) -> list[OwnedMachine]:
    """Drop spot machines that make up the reserve from the surplus, the cheapest first."""
    surplus = []
    for machine in machines:
        if machine.spot and reserve_cores > CORES_EPSILON:
            reserve_cores -= machine.cores
        else:
            surplus.append(machine)
    return surplus
