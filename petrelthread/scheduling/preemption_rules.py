"""Which running tasks may be preempted for which job.

A job may preempt work of lower priority; a job within its team's guarantee may also preempt work of
any priority that another team runs beyond its own guarantee. Nothing else is preempted.
"""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE


class Victim(NamedTuple):
    """A running task that might be preempted.

    ``lost_s`` is the run time that would be lost, more for a task that was preempted before.
    """

    job_index: int
    task: int
    team: int
    priority: int
    machine_index: int
    cores: float
    accelerators: float
    ram_gb: float
    lost_s: float


class CapacityShortfall(NamedTuple):
    """Tasks of one job for which there is no capacity."""

    request: PlacementRequest
    priority: int
    guaranteed: bool
    missing: int


def may_preempt(shortfall: CapacityShortfall, victim: Victim, cores_over_guarantee: float) -> bool:
    """Whether a job may preempt the victim.

    ``cores_over_guarantee``: cores that the victim's team uses beyond its guarantee.
    """
    if victim.priority < shortfall.priority:
        return True
    return (
        shortfall.guaranteed
        and victim.team != shortfall.request.team
        and cores_over_guarantee + CAPACITY_TOLERANCE >= victim.cores > 0
    )


def is_served_before(
    shortfall: CapacityShortfall, victim: Victim, guaranteed: dict[int, bool]
) -> bool:
    """Whether the job comes before the victim's in the order: guarantees, then priority.

    The capacity of a task whose job comes first would be given to that very task again, which would
    be preempted and started anew without end.

    ``guaranteed``: by job index, whether it lies within its team's guarantee.
    """
    victim_guaranteed = guaranteed.get(victim.job_index)
    return victim_guaranteed is not None and (shortfall.guaranteed, shortfall.priority) > (
        victim_guaranteed,
        victim.priority,
    )
