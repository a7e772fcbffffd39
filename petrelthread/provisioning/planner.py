"""Provisioning decision as a pure function of demands, owned machines and offers.

Spot machines are scaled out until the backlog drains in a short time. On-demand machines are added
only for work that spot machines cannot finish in time. Surplus machines are cordoned, and scaled in
after an idle timeout.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from petrelthread.protocol import MAX_MACHINES_PER_SCALE_OUT
from petrelthread.provisioning.core_targets import (
    CoreTargets,
    core_targets,
    on_demand_time_factor,
)
from petrelthread.provisioning.demand_groups import DemandGroup, UsableCores, ordered_groups
from petrelthread.provisioning.plan import (
    CORES_EPSILON,
    Demand,
    Offer,
    OwnedMachine,
    Plan,
    ProvisioningOptions,
    ScaleOutRequest,
)

UNTRIED_OFFER_YIELD = 0.5  # share of the request that an untried offer is expected to fill
# Multiple of the lacking cores that a machine may have if a smaller one costs less.
MAX_OVERSIZE = 2.0
MIN_CORES = 1e-9  # avoids division by zero for machine types without cores


def make_plan(
    demands: list[Demand],
    owned: list[OwnedMachine],
    offers: list[Offer],
    reserve_cores: float,
    options: ProvisioningOptions,
    max_calls: int,
    service_reserve_cores: float = 0.0,
) -> Plan:
    """Decide which machines to scale out, to scale in and to cordon.

    Machines are assigned to permanent demands first, then to those with the fewest offers, the
    cheapest core first. Machines that no demand needs are surplus.

    Args:
        demands: Unfinished work by job.
        owned: Machines that are up or expected to boot.
        offers: Offers without active backoff.
        reserve_cores: Cores to keep for urgent jobs that are likely to arrive.
        options: Options set by operators.
        max_calls: Scale-out calls that may be made now.
        service_reserve_cores: Cores to keep for replicas that may arrive, or be lost with a zone.
    """
    planner = _Planner(owned, offers, options, max_calls)
    groups = ordered_groups(demands, offers)
    permanent_groups = sum(group.representative.permanent for group in groups)
    for group in groups:
        representative = group.representative
        if representative.permanent:
            group_reserve = service_reserve_cores / permanent_groups
        elif representative.spot_allowed and group is groups[-1]:
            group_reserve = reserve_cores
        else:
            group_reserve = 0.0
        planner.provision(group, group_reserve)
    return planner.finish(not groups, reserve_cores)


class _PricedOffer(NamedTuple):
    price_per_core: float
    offer: Offer
    cores: float  # usable by the group


class _Planner:
    """Assigns machines and scale-out calls to the groups of demands in turn."""

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
        # Ordered by preference for assignment. A dict, since removal from a list of thousands of
        # machines is slow.
        self._unassigned = {machine.machine_index: machine for machine in preferred}
        self._scale_outs: list[ScaleOutRequest] = []
        self._owned = owned
        self._offers = offers
        self._options = options
        self._max_calls = max_calls

    def provision(self, group: DemandGroup, reserve_cores: float) -> None:
        """Assign owned machines to the group, and plan scale-outs for the cores it lacks."""
        usable = UsableCores(group.representative)
        time_factor = 1.0
        if not group.representative.permanent:
            time_factor = on_demand_time_factor(self._offers, self._owned, usable)
        targets = core_targets(group, reserve_cores, time_factor, self._options)
        spot_allowed = group.representative.spot_allowed
        assigned_cores = self._assign_owned(spot_allowed, targets, usable)
        self._plan_scale_outs(spot_allowed, targets, assigned_cores, usable)

    def finish(self, no_demand: bool, reserve_cores: float) -> Plan:
        """Return the plan. Machines that are not assigned to a group are surplus."""
        surplus = list(self._unassigned.values())
        if no_demand:
            surplus = _without_reserve(surplus, reserve_cores)
        # Replicas do not finish, so their machine accepts more replicas instead of draining.
        cordoned = {machine.machine_index for machine in surplus if not machine.replicas}
        scale_ins = [
            machine.machine_index for machine in surplus if self._idle_timeout_reached(machine)
        ]
        return Plan(self._scale_outs, scale_ins, cordoned)

    def _idle_timeout_reached(self, machine: OwnedMachine) -> bool:
        options = self._options
        timeout_s = options.spot_idle_s if machine.spot else options.on_demand_idle_s
        return machine.idle_s is not None and machine.idle_s >= timeout_s

    def _assign_owned(self, spot_allowed: bool, targets: CoreTargets, usable: UsableCores) -> float:
        """Assign owned machines to a group, and return the cores that it has.

        Machines beyond the target for schedulable cores count as capacity, but stay unassigned:
        they finish their running tasks and get no new ones.
        """
        assigned_cores = schedulable_cores = 0.0
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
            if (
                schedulable_cores < targets.schedulable - CORES_EPSILON
                and machine.occupied_cores < cores
            ):
                schedulable_cores += cores - machine.occupied_cores
                del self._unassigned[machine.machine_index]
        if schedulable_cores < targets.schedulable - CORES_EPSILON:
            # The pending work exceeds the free cores, so it also needs the machines of jobs without
            # pending tasks.
            for machine in list(self._unassigned.values()):
                is_fallback = spot_allowed and not machine.spot
                if not is_fallback and usable.on(machine) > 0:
                    del self._unassigned[machine.machine_index]
        return assigned_cores

    def _plan_scale_outs(
        self,
        spot_allowed: bool,
        targets: CoreTargets,
        assigned_cores: float,
        usable: UsableCores,
    ) -> None:
        """Plan calls for the cores that a group lacks, the cheapest core first."""
        priced = self._priced_offers(usable)
        capped = False
        for _, offer, cores in priced:
            is_fallback = spot_allowed and not offer.spot
            lacking = (targets.on_demand if is_fallback else targets.spot) - assigned_cores
            calls_left = self._max_calls - len(self._scale_outs)
            if lacking <= CORES_EPSILON or calls_left <= 0:
                continue
            # A request that was capped by the limit on machines per call does not justify a more
            # expensive offer; only a refusal or a partial grant by the cheaper one does.
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

    def _priced_offers(self, usable: UsableCores) -> list[_PricedOffer]:
        """Offers that a group can use, ordered by price of a usable core."""
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
    """Whether some smaller machine costs less than a machine of the offer."""
    return any(
        other.cores < cores and other.price_per_core * other.cores < offer.price for other in priced
    )


def _without_reserve(machines: list[OwnedMachine], reserve_cores: float) -> list[OwnedMachine]:
    """Remove spot machines that make up the reserve from the surplus, the cheapest first."""
    surplus = []
    for machine in machines:
        if machine.spot and reserve_cores > CORES_EPSILON:
            reserve_cores -= machine.cores
        else:
            surplus.append(machine)
    return surplus
