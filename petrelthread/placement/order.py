"""Who comes first: guarantees, then rank, then deadline."""

from __future__ import annotations

from typing import NamedTuple

LATE_S = 1e6  # what is late anyway comes after all that is not


class Standing(NamedTuple):
    """What the order looks at in an unfinished job."""

    job: int
    team: int
    rank: int
    accepted_at: float
    goals: tuple[float, ...]  # when it should be done: the sooner, then what still counts after it
    path_s: float  # how long it would still take if its team's limit alone held it back
    cores_asked: float  # by the whole job, finished tasks included
    accelerators_asked: float


class Turn(NamedTuple):
    job: int
    guaranteed: bool
    due_at: float  # the goal it is meant to reach


def within_guarantee(
    jobs: list[Standing], guarantees: list[tuple[float, float]]
) -> dict[int, bool]:
    """A job lies within its team's guarantee if it fits along with the team's earlier jobs.

    The whole job counts, as PROTOCOL has it: one that shrank into the guarantee as its tasks
    finished would stop others' work for its last few.
    """
    used = [(0.0, 0.0)] * len(guarantees)
    inside: dict[int, bool] = {}
    for standing in sorted(jobs, key=lambda s: (s.accepted_at, s.job)):
        cores, accelerators = used[standing.team]
        cores += standing.cores_asked
        accelerators += standing.accelerators_asked
        most_cores, most_accelerators = guarantees[standing.team]
        fits = cores <= most_cores + 1e-9 and accelerators <= most_accelerators + 1e-9
        inside[standing.job] = fits
        if fits:
            used[standing.team] = (cores, accelerators)
    return inside


def reachable(jobs: list[Standing], begin: float) -> tuple[dict[int, tuple[float, float]], float]:
    """Which of its goals each job of one team and rank is meant to reach: (due, slack).

    The team's limit makes its jobs take turns, so most of them are in time if the longest gives way
    whenever a goal cannot be kept (Moore's rule); what gives way is tried for its next goal. Also
    returns when the last of them would end.
    """
    out: dict[int, tuple[float, float]] = {}
    left = list(jobs)
    for level in range(max((len(s.goals) for s in jobs), default=0)):
        kept: list[Standing] = []
        end = begin
        for standing in sorted(
            (s for s in left if len(s.goals) > level), key=lambda s: (s.goals[level], s.job)
        ):
            kept.append(standing)
            end += standing.path_s
            if end > standing.goals[level]:
                longest = max(kept, key=lambda s: (s.path_s, s.job))
                kept.remove(longest)
                end -= longest.path_s
        for standing in kept:
            begin += standing.path_s
            out[standing.job] = (standing.goals[level], standing.goals[level] - begin)
        left = [s for s in left if s.job not in out]
    for standing in left:
        begin += standing.path_s
    return out, begin


def order(jobs: list[Standing], guarantees: list[tuple[float, float]], now: float) -> list[Turn]:
    """Jobs in the order in which they are served.

    Within a rank, by the slack left until the goal that the job can reach at its team's pace. Jobs
    that are late anyway come last, those of the team with most left to do first: it ends last.
    """
    inside = within_guarantee(jobs, guarantees)
    teams: dict[int, list[Standing]] = {}
    for standing in jobs:
        teams.setdefault(standing.team, []).append(standing)
    goals: dict[int, tuple[float, float]] = {}
    for members in teams.values():
        end = now
        late: list[Standing] = []
        for rank in sorted({s.rank for s in members}, reverse=True):
            level = [s for s in members if s.rank == rank]
            reached, end = reachable(level, end)
            goals.update(reached)
            late += [s for s in level if s.job not in reached]
        for standing in late:
            goals[standing.job] = (now + LATE_S, LATE_S - (end - now))

    def key(standing: Standing) -> tuple[bool, int, float, float, int]:
        slack = goals[standing.job][1]
        return (
            not inside[standing.job],
            -standing.rank,
            slack,
            standing.accepted_at,
            standing.job,
        )

    return [Turn(s.job, inside[s.job], goals[s.job][0]) for s in sorted(jobs, key=key)]
