"""Selection of the running tasks to preempt for one job at the lowest cost."""

from __future__ import annotations

from collections.abc import Iterable

from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim, may_preempt


def victims_by_machine(victims: Iterable[Victim]) -> dict[int, list[Victim]]:
    """Group the victims by machine: lowest priority first, then lowest cost."""
    by_machine: dict[int, list[Victim]] = {}
    for victim in sorted(victims, key=lambda v: (v.priority, v.cost_s, v.job_index, v.task)):
        by_machine.setdefault(victim.machine_index, []).append(victim)
    return by_machine


def select_victims_on(
    machine: MachineCapacity,
    shortfall: CapacityShortfall,
    victims: Iterable[Victim],
    cores_over_guarantee: list[float],
) -> list[Victim] | None:
    """Select the first victims whose capacity makes one more task fit on the machine.

    Args:
        machine: its free capacity.
        shortfall: the job that needs capacity.
        victims: candidates on the machine, in the order of preference.
        cores_over_guarantee: cores that each team uses beyond its guarantee, by team index.

    Returns:
        The victims; empty if the task fits without preemption, None if preemption is not enough.
    """
    request = shortfall.request
    cores, accelerators, ram_gb = machine.cores, machine.accelerators, machine.ram_gb
    remaining_over_guarantee = list(cores_over_guarantee)
    selected: list[Victim] = []
    for victim in victims:
        if request.fits_into(cores, accelerators, ram_gb):
            break
        if not may_preempt(shortfall, victim, remaining_over_guarantee[victim.team]):
            continue
        selected.append(victim)
        remaining_over_guarantee[victim.team] -= victim.cores
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
    """Choose victims, cheapest first, so that as many of the missing tasks as possible fit.

    Preempting a task is useful only if a missing task then fits, so on each machine only as many
    victims are chosen as one more task needs.

    Args:
        shortfall: the job that needs capacity.
        victims: running tasks of jobs that rank below it.
        machines: free capacity by machine index.
        cores_over_guarantee: cores that each team uses beyond its guarantee, by team index.
    """
    request, missing = shortfall.request, shortfall.missing
    remaining_over_guarantee = list(cores_over_guarantee)
    chosen: list[Victim] = []
    by_machine = victims_by_machine(victims)
    for machine_index, candidates in sorted(by_machine.items(), key=lambda item: item[1][0].cost_s):
        if missing <= 0:
            break
        machine = machines.get(machine_index)
        if machine is None or not machine.allows(request) or machine.fits(request):
            continue
        selected = select_victims_on(machine, shortfall, candidates, remaining_over_guarantee)
        if selected is None:
            continue
        for victim in selected:
            remaining_over_guarantee[victim.team] -= victim.cores
        chosen += selected
        missing -= 1
    return chosen
