"""How many cores a group of demands should have, on spot and on on-demand machines."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.provisioning.demand_groups import DemandGroup, UsableCores
from petrelthread.provisioning.plan import Demand, Offer, OwnedMachine, ProvisioningOptions

# Ratio of on-demand to spot price of a core that ``ProvisioningOptions`` assumes.
DEFAULT_PRICE_RATIO = 2.2


class CoreTargets(NamedTuple):
    """Target numbers of cores for a group of demands."""

    spot: float  # total, up to which spot machines (or the only allowed kind) are scaled out
    on_demand: float  # total, up to which on-demand machines are scaled out if spot falls short
    retained_on_demand: float  # total, up to which owned on-demand machines are not surplus
    schedulable: float  # on machines that accept new tasks


def on_demand_time_factor(
    offers: list[Offer], owned: list[OwnedMachine], usable: UsableCores
) -> float:
    """Factor by which a backlog may take longer before on-demand machines are worth their price.

    It is the ratio of on-demand to spot price, divided by the ratio that the options assume.
    """
    machines: list[Offer | OwnedMachine] = [*offers, *owned]
    spot = [m.price / m.cores for m in machines if m.spot and usable.on(m) > 0]
    on_demand = [m.price / m.cores for m in machines if not m.spot and usable.on(m) > 0]
    if not spot or not on_demand:
        return 1.0
    return max(1.0, min(on_demand) / min(spot) / DEFAULT_PRICE_RATIO)


def core_targets(
    group: DemandGroup,
    reserve_cores: float,
    time_factor: float,
    options: ProvisioningOptions,
) -> CoreTargets:
    """Compute the targets of a group.

    Args:
        group: The demands.
        reserve_cores: Added to the cores that the group could use now.
        time_factor: See ``on_demand_time_factor``.
        options: Options set by operators.
    """
    demands = group.demands
    usable_cores = group.usable_cores
    # Only jobs with pending tasks need cores for new tasks. A target for all running tasks
    # would keep the last long tasks spread over far more machines than they need.
    schedulable_cores = min(usable_cores, group.pending_cores) + reserve_cores
    if group.representative.permanent:
        wanted = usable_cores + reserve_cores
        return CoreTargets(wanted, wanted, wanted, schedulable_cores)
    work = sum(d.work_s * d.cores for d in demands)
    # A task needs all its cores, however little work is left.
    min_cores = min(usable_cores, max(d.cores for d in demands))
    spot = max(min_cores, min(usable_cores, work / options.spot_drain_s)) + reserve_cores
    in_time = _cores_to_finish_in_time(demands, options, time_factor)
    on_demand = max(min_cores, min(usable_cores, in_time))
    in_shorter_time = _cores_to_finish_in_time(
        demands, options, time_factor * options.keep_time_factor
    )
    retained = max(min(usable_cores, in_shorter_time), on_demand)
    return CoreTargets(spot, on_demand, retained, schedulable_cores)


def _cores_to_finish_in_time(
    demands: list[Demand], options: ProvisioningOptions, time_factor: float = 1.0
) -> float:
    """Cores that finish each job, and all jobs due before it, within its time limit.

    ``time_factor`` multiplies every time limit.
    """
    needed = work = 0.0
    for demand in sorted(demands, key=lambda d: (d.best_effort, d.deadline_in_s)):
        work += demand.work_s * demand.cores
        due_s = max(options.min_due_s, demand.deadline_in_s * options.due_share)
        drain_s = options.best_effort_drain_s if demand.best_effort else options.on_demand_drain_s
        needed = max(needed, work / (min(due_s, drain_s) * time_factor))
    return needed
