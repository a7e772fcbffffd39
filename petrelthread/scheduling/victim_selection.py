"""Which running tasks to preempt for one job, at the least loss."""

from __future__ import annotations

from collections.abc import Iterable

from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim, may_preempt


def victims_by_machine(victims: Iterable[Victim]) -> dict[int, list[Victim]]:
    """The victims of each machine: lowest priority first, then least loss."""
    by_machine: dict[int, list[Victim]] = {}
    for victim in sorted(victims, key=lambda v: (v.priority, v.lost_s, v.job_index, v.task)):
        by_machine.setdefault(victim.machine_index, []).append(victim)
    return by_machine


def select_victims_on(
    machine: MachineCapacity,
    shortfall: CapacityShortfall,
    victims: Iterable[Victim],
    cores_over_guarantee: list[float],
) -> list[Victim] | None:
    """The first victims whose capacity makes one more task fit on the machine.

    Args:
        machine: what is free there.
        shortfall: the job that needs capacity.
        victims: those on the machine, in the order in which they are preempted.
        cores_over_guarantee: cores that each team uses beyond its guarantee, by team index.

    Returns:
        The victims, none if the task fits as it is; None if it can't be made to fit.
    """
    request = shortfall.request
    cores, accelerators, ram_gb = machine.cores, machine.accelerators, machine.ram_gb
    surplus_cores = list(cores_over_guarantee)
    selected: list[Victim] = []
    for victim in victims:
        if request.fits_into(cores, accelerators, ram_gb):
            break
        if not may_preempt(shortfall, victim, surplus_cores[victim.team]):
            continue
        selected.append(victim)
        surplus_cores[victim.team] -= victim.cores
        cores += victim.cores
        accelerators += victim.accelerators
        ram_gb += victim.ram_gb
    return selected if request.fits_into(cores, accelerators, ram_gb) else None


def choose_victims(
    shortfall: CapacityShortfall,
    victims: list[Victim],
    machines: dict[int, MachineCapacity],
    cores_over_guarantee: list[float],
) -> list[Victim]:
    """The victims of least loss that make the missing tasks fit, or as many of them as possible.

    Preempting a task is useful only if another then fits, so victims of a machine are chosen only
    as far as one more task needs them.

    Args:
        shortfall: the job that needs capacity.
        victims: running tasks that it is served before.
        machines: what is free, by machine index.
        cores_over_guarantee: cores that each team uses beyond its guarantee, by team index.
    """
    request, missing = shortfall.request, shortfall.missing
    surplus_cores = list(cores_over_guarantee)
    chosen: list[Victim] = []
    by_machine = victims_by_machine(victims)
    for machine_index, candidates in sorted(by_machine.items(), key=lambda item: item[1][0].lost_s):
        if missing <= 0:
            break
        machine = machines.get(machine_index)
        if machine is None or not machine.allows(request) or machine.fits(request):
            continue
        selected = select_victims_on(machine, shortfall, candidates, surplus_cores)
        if selected is None:
            continue
        for victim in selected:
            surplus_cores[victim.team] -= victim.cores
        chosen += selected
        missing -= 1
    return chosen
