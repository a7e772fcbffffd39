"""Who comes first: guarantees, then rank, then deadline.

Among jobs of one rank, two things make them take turns: the limit of their team and, when more is
asked than there are machines, the cores of all. Most of them are in time if the longest gives way
whenever a goal cannot be kept (Moore's rule); what gives way is tried for its next goal.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

UNREACHABLE_GOAL_S = 1e6  # what is late anyway comes after all that is not
LATE_JOB_SLACK_S = (
    70.0  # jobs that have to begin within this come before late ones that outlast the backlog
)
MAX_START_DELAY_S = (
    150.0  # a job has begun by then, however late: users expect it within four minutes
)


class QueueEntry(NamedTuple):
    """What the order looks at in an unfinished job."""

    job: int
    team: int
    priority: int
    accepted_at: float
    goals: tuple[float, ...]  # when it should be done: the sooner, then what still counts after it
    path_s: float  # how long it would still take if its team's limit alone held it back
    cores_asked: float  # by the whole job, finished tasks included
    accelerators_asked: float
    run_s: float = 0.0  # of one task
    tail_s: float = 0.0  # how much longer the longest of many tasks may take
    width: float = 0.0  # cores that it can use at once
    work_s: float = 0.0  # core seconds left in all its tasks
    begun: bool = False
    service: bool = False  # runs until it is cancelled: it has no end to be ordered by

    @property
    def least_s(self) -> float:
        """It cannot be done sooner."""
        return max(self.path_s, self.run_s) + self.tail_s


class QueuedJob(NamedTuple):
    job: int
    guaranteed: bool
    due_at: float  # the goal it is meant to reach
    overdue: bool = False  # should have begun: one task of it goes before all else


Kept = list[tuple[float, QueueEntry]]  # by goal


def within_guarantee(
    jobs: list[QueueEntry], guarantees: list[tuple[float, float]]
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


class CapacityTimeline:
    """When the cores that all jobs share, and those of each team's limit, fall free."""

    def __init__(self, cores: float, now: float) -> None:
        self.now = now
        self.free: list[tuple[float, float]] = [(now, cores)]  # a heap: from when, how many cores
        self.ends: dict[int, float] = {}

    def copy(self) -> CapacityTimeline:
        other = CapacityTimeline(0.0, self.now)
        other.free, other.ends = list(self.free), dict(self.ends)
        return other

    def add(self, standing: QueueEntry) -> float:
        """Serve the job next, on cores as they fall free; when it is done for all that."""
        end = self.now
        lacking = standing.width
        last_s = max(standing.run_s, standing.work_s / lacking) if lacking > 0 else 0.0
        while lacking > 1e-9:
            at, cores = heapq.heappop(self.free)
            taken = min(cores, lacking)
            if cores > taken:
                heapq.heappush(self.free, (at, cores - taken))
            heapq.heappush(self.free, (at + last_s, taken))
            lacking -= taken
            end = at + last_s
        mates = self.ends[standing.team] = self.ends.get(standing.team, self.now) + standing.path_s
        return max(end, mates) + standing.tail_s


def first_late(kept: Kept, queue: CapacityTimeline, due: float = -math.inf) -> QueueEntry | None:
    """The first that is late if all of them are served in this order, of those due later."""
    queue = queue.copy()
    for goal, standing in kept:
        if queue.add(standing) > goal >= due:
            return standing
    return None


def most_in_time(candidates: Kept, queue: CapacityTimeline) -> Kept:
    """Moore's rule: in order of goals, the largest gives way whenever one would be late."""
    kept: Kept = []
    ahead = queue.copy()  # with all that is kept
    for due, standing in candidates:
        kept.append((due, standing))
        if ahead.add(standing) <= due:
            continue
        mates = [entry for entry in kept if entry[1].team == standing.team]
        mates_end = queue.now + sum(mate.path_s for _, mate in mates) + standing.tail_s
        if mates_end > due:
            worst = max(mates, key=lambda entry: (entry[1].path_s, entry[1].job))
        else:
            worst = max(kept, key=lambda entry: (entry[1].work_s, entry[1].job))
        without = [entry for entry in kept if entry is not worst]
        if worst[1] is not standing and first_late(without, queue, due) is not None:
            # Without the other it is late all the same: then it gives way itself.
            without = kept[:-1]
        kept = without
        ahead = queue.copy()
        for _, other in kept:
            ahead.add(other)
    return kept


def reachable(jobs: list[QueueEntry], queue: CapacityTimeline) -> dict[int, float]:
    """Which of its goals each job of one group is meant to reach. The queue goes on behind them."""
    kept: Kept = []
    left = jobs
    for level in range(max((len(s.goals) for s in jobs), default=0)):
        candidates = [
            (s.goals[level], s)
            for s in left
            if len(s.goals) > level and queue.now + s.least_s <= s.goals[level]
        ]
        if level == 0:
            candidates.sort(key=lambda entry: (entry[0], entry[1].job))
            kept = most_in_time(candidates, queue)
        else:
            # As many as fit in between without making one late that is kept, the smallest first.
            candidates.sort(key=lambda entry: (entry[1].work_s, entry[1].job))
            for due, standing in candidates:
                both = sorted([*kept, (due, standing)], key=lambda e: (e[0], e[1].job))
                if first_late(both, queue, due) is None:
                    kept = both
        reached = {standing.job for _, standing in kept}
        left = [s for s in jobs if s.job not in reached]
    for _, standing in kept:
        queue.add(standing)
    for standing in left:
        queue.add(standing)
    return {standing.job: due for due, standing in kept}


def order_jobs(
    jobs: list[QueueEntry],
    guarantees: list[tuple[float, float]],
    now: float,
    cores: float = math.inf,
) -> list[QueuedJob]:
    """Jobs in the order in which they are served; ``cores``: of all machines together.

    Within a rank, by when a job has to begin to reach the goal that it can reach. Jobs that are
    late anyway come last, the longest first: it ends last. But none waits past BEGIN_S to begin.
    """
    inside = within_guarantee(jobs, guarantees)
    # What users lean on every minute comes before what ends by itself, whatever its team's share.
    services = sorted(
        (s for s in jobs if s.service), key=lambda s: (-s.priority, s.accepted_at, s.job)
    )
    first = [QueuedJob(s.job, inside[s.job], now) for s in services]
    jobs = [s for s in jobs if not s.service]
    cores = max(cores - sum(s.width for s in services), 1.0)
    groups: dict[tuple[bool, int], list[QueueEntry]] = {}
    for standing in jobs:
        groups.setdefault((not inside[standing.job], -standing.priority), []).append(standing)
    queue = CapacityTimeline(cores, now)
    # What is late anyway comes last, unless it alone would go on when all else is done: held back
    # by its team's limit, it has to go on meanwhile, behind what has little time left to begin.
    drained_at = now + sum(s.work_s for s in jobs) / cores
    turns = first
    for _, members in sorted(groups.items()):
        goals = reachable(members, queue)
        begins: list[tuple[float, float, int, QueueEntry]] = []
        for s in members:
            begin = goals.get(s.job, now + UNREACHABLE_GOAL_S) - s.least_s
            if s.job not in goals and now + s.least_s > drained_at:
                begin = now + LATE_JOB_SLACK_S
            if not s.begun:
                begin = min(begin, s.accepted_at + MAX_START_DELAY_S)
            begins.append((begin, s.accepted_at, s.job, s))
        for *_, s in sorted(begins):
            overdue = not s.begun and now > s.accepted_at + MAX_START_DELAY_S
            due = goals.get(s.job, now + UNREACHABLE_GOAL_S)
            turns.append(QueuedJob(s.job, inside[s.job], due, overdue))
    return turns
