"""Decides which jobs lie within the guarantees of their teams."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.queue_entry import QueueEntry
from petrelthread.scheduling.tolerance import REQUEST_TOLERANCE


class Guarantee(NamedTuple):
    """Resources that the settings guarantee to a team."""

    cores: float
    accelerators: float


def within_guarantee(entries: list[QueueEntry], guarantees: list[Guarantee]) -> dict[int, bool]:
    """Whether each job lies within its team's guarantee, by job index.

    In the order of acceptance, a job is within the guarantee if its request fits in what the team's
    earlier guaranteed jobs leave. The whole job counts, including finished tasks: otherwise a large
    job would come within the guarantee as its tasks finish, and tasks of other jobs would be
    preempted for its last few tasks.

    Args:
        entries: all unfinished jobs.
        guarantees: guaranteed cores and accelerators, by team index.
    """
    used = [(0.0, 0.0)] * len(guarantees)
    guaranteed: dict[int, bool] = {}
    for entry in sorted(entries, key=lambda entry: (entry.accepted_at, entry.job_index)):
        cores, accelerators = used[entry.team]
        cores += entry.requested_cores
        accelerators += entry.requested_accelerators
        max_cores, max_accelerators = guarantees[entry.team]
        fits = (
            cores <= max_cores + REQUEST_TOLERANCE
            and accelerators <= max_accelerators + REQUEST_TOLERANCE
        )
        guaranteed[entry.job_index] = fits
        if fits:
            used[entry.team] = (cores, accelerators)
    return guaranteed
