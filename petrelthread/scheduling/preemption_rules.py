"""Which running tasks make room, and only where PROTOCOL allows it.

A job may displace work of lower rank; a job within its team's guarantee may also displace work of
any rank that another team runs beyond its own guarantee. Nothing else is ever stopped for room.
"""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.slot import PlacementRequest, Slot


class Victim(NamedTuple):
    """A running task that might be stopped."""

    job: int
    task: int
    team: int
    priority: int
    machine: int
    cores: float
    accelerators: float
    ram_gb: float
    lost_s: float  # run time that would be lost; more for one that was stopped before


def may_displace(
    request: PlacementRequest, rank: int, guaranteed: bool, victim: Victim, over: float
) -> bool:
    """``over``: cores that the victim's team uses beyond its guarantee."""
    if victim.priority < rank:
        return True
    return guaranteed and victim.team != request.team and over + 1e-6 >= victim.cores > 0


def served_before(rank: int, guaranteed: bool, victim: Victim, inside: dict[int, bool]) -> bool:
    """Whether a job comes before the victim's in the order: guarantees, then rank.

    The room of a task that comes first would be given to that very task again: in the minute after
    the start, tasks within their guarantee were stopped for a high rank without one, and started
    anew, up to fourteen times each.
    """
    theirs = inside.get(victim.job)
    return theirs is not None and (guaranteed, rank) > (theirs, victim.priority)


def choose_victims(
    request: PlacementRequest,
    rank: int,
    guaranteed: bool,
    needed: int,
    victims: list[Victim],
    slots: dict[int, Slot],
    over: list[float],
) -> list[Victim]:
    """The least loss that makes room for ``needed`` tasks of the job, as far as it goes.

    A stop that does not end in room for a task is worth nothing, so each machine is emptied only
    as far as one more task needs.
    """
    chosen: list[Victim] = []
    over = list(over)
    by_machine: dict[int, list[Victim]] = {}
    for victim in sorted(victims, key=lambda v: (v.priority, v.lost_s, v.job, v.task)):
        by_machine.setdefault(victim.machine, []).append(victim)
    for machine, there in sorted(by_machine.items(), key=lambda item: item[1][0].lost_s):
        if needed <= 0:
            break
        slot = slots.get(machine)
        if slot is None or not slot.allowed(request) or slot.fits(request):
            continue
        cores, accelerators, ram_gb = slot.cores, slot.accelerators, slot.ram_gb
        taken: list[Victim] = []
        for victim in there:
            if not may_displace(request, rank, guaranteed, victim, over[victim.team]):
                continue
            taken.append(victim)
            over[victim.team] -= victim.cores
            cores += victim.cores
            accelerators += victim.accelerators
            ram_gb += victim.ram_gb
            if (
                cores + 1e-6 >= request.cores
                and accelerators + 1e-6 >= request.accelerators
                and ram_gb + 1e-6 >= request.ram_gb
            ):
                chosen += taken
                needed -= 1
                break
        else:
            for victim in taken:
                over[victim.team] += victim.cores
    return chosen
