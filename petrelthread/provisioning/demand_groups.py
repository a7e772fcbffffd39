"""Groups of demands with equal constraints, and how much of a machine their tasks can use."""

from __future__ import annotations

import math
from typing import NamedTuple

from petrelthread.provisioning.plan import CORES_EPSILON, Demand, Offer, OwnedMachine


def tasks_per_machine(demand: Demand, machine: Offer | OwnedMachine) -> int:
    """How many tasks of the demand fit on an otherwise empty machine."""
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


class DemandGroup(NamedTuple):
    """Demands with equal constraints on machines, represented by the largest one."""

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


def ordered_groups(demands: list[Demand], offers: list[Offer]) -> list[DemandGroup]:
    """Group demands by constraints; permanent ones first, then those with the fewest offers."""
    by_eligibility: dict[
        tuple[frozenset[int] | None, int | None, bool, bool, bool], list[Demand]
    ] = {}
    for demand in demands:
        eligibility = (
            demand.machine_types,
            demand.zone,
            demand.spot_allowed,
            demand.accelerators > 0,
            demand.permanent,
        )
        by_eligibility.setdefault(eligibility, []).append(demand)
    groups = [
        DemandGroup(max(members, key=lambda d: d.tasks * d.cores), members)
        for members in by_eligibility.values()
    ]
    groups.sort(
        key=lambda group: (
            not group.representative.permanent,
            sum(tasks_per_machine(group.representative, offer) > 0 for offer in offers),
            not group.representative.spot_allowed,
        )
    )
    return groups


class UsableCores:
    """Cores of a machine that tasks like the representative demand can use, cached by offer."""

    def __init__(self, representative: Demand) -> None:
        self._representative = representative
        # Keys are plain tuples: building a NamedTuple for each lookup would slow down large plans.
        self._cores: dict[tuple[int, int, bool], float] = {}

    def on(self, machine: Offer | OwnedMachine) -> float:
        """Usable cores of the machine; 0 if no task fits."""
        key = (machine.machine_type, machine.zone, machine.spot)
        cores = self._cores.get(key)
        if cores is None:
            tasks = tasks_per_machine(self._representative, machine)
            cores = self._cores[key] = tasks * self._representative.cores
        return cores
