"""Who comes first: guarantees, then rank, then deadline."""

from __future__ import annotations

from typing import NamedTuple


class Standing(NamedTuple):
    """What the order looks at in an unfinished job."""

    job: int
    team: int
    rank: int
    accepted_at: float
    due_at: float  # its own deadline, or the one its class's objective gives it; inf: none
    finish_s: float  # how long it would still take if its team's limit alone held it back
    cores_left: float  # of all its unfinished tasks
    accelerators_left: float


def within_guarantee(
    jobs: list[Standing], guarantees: list[tuple[float, float]]
) -> dict[int, bool]:
    """A job lies within its team's guarantee if it fits along with the team's earlier jobs."""
    used = [(0.0, 0.0)] * len(guarantees)
    inside: dict[int, bool] = {}
    for standing in sorted(jobs, key=lambda s: (s.accepted_at, s.job)):
        cores, accelerators = used[standing.team]
        cores += standing.cores_left
        accelerators += standing.accelerators_left
        most_cores, most_accelerators = guarantees[standing.team]
        fits = cores <= most_cores + 1e-9 and accelerators <= most_accelerators + 1e-9
        inside[standing.job] = fits
        if fits:
            used[standing.team] = (cores, accelerators)
    return inside


def order(jobs: list[Standing], guarantees: list[tuple[float, float]]) -> list[tuple[int, bool]]:
    """Job indices in the order in which they are served, each with whether it is guaranteed.

    Deadlines are compared by the latest moment to begin: a long job that its team's limit will
    stretch over many waves has to start well before a short one due at the same time.
    """
    inside = within_guarantee(jobs, guarantees)

    def key(standing: Standing) -> tuple[bool, int, float, float, int]:
        return (
            not inside[standing.job],
            -standing.rank,
            standing.due_at - standing.finish_s,
            standing.accepted_at,
            standing.job,
        )

    return [(standing.job, inside[standing.job]) for standing in sorted(jobs, key=key)]
