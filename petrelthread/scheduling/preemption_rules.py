"""Which running tasks may be preempted for which job.

A job may preempt tasks of lower priority. A job within its team's guarantee may also preempt tasks
of any priority that another team runs beyond its own guarantee. No other tasks are preempted.
"""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE


class Victim(NamedTuple):
    """A running task that may be preempted.

    ``cost_s`` is the run time that would be lost, doubled for each earlier preemption of the task.
    """

    job_index: int
    task: int
    team: int
    priority: int
    machine_index: int
    cores: float
    accelerators: float
    ram_gb: float
    cost_s: float


class CapacityShortfall(NamedTuple):
    """A job of which ``missing`` tasks have no capacity."""

    request: PlacementRequest
    priority: int
    guaranteed: bool
    missing: int


def may_preempt(shortfall: CapacityShortfall, victim: Victim, cores_over_guarantee: float) -> bool:
    """Whether the job with the shortfall may preempt the victim.

    ``cores_over_guarantee``: cores that the victim's team uses beyond its guarantee.
    """
    if victim.priority < shortfall.priority:
        return True
    return (
        shortfall.guaranteed
        and victim.team != shortfall.request.team
        and cores_over_guarantee + CAPACITY_TOLERANCE >= victim.cores > 0
    )


def ranks_above(shortfall: CapacityShortfall, victim: Victim, guaranteed: dict[int, bool]) -> bool:
    """Whether the job precedes the victim's job by guarantee, then by priority.

    If the victim's job came first, the next round would give the freed capacity back to the
    victim, which would be preempted and restarted endlessly.

    ``guaranteed``: by job index, whether the job lies within its team's guarantee.
    """
    victim_guaranteed = guaranteed.get(victim.job_index)
    return victim_guaranteed is not None and (shortfall.guaranteed, shortfall.priority) > (
        victim_guaranteed,
        victim.priority,
    )
