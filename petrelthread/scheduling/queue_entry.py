"""Entries of the job queue: what the order is made from, and what it yields."""

from __future__ import annotations

from typing import NamedTuple


class QueueEntry(NamedTuple):
    """What the job order takes into account of one unfinished job.

    Attributes:
        job_index: the job.
        team: index of its team.
        priority: a larger number is served first.
        accepted_at: wall clock time in seconds.
        objective_times: when it should be complete, in wall clock seconds: the soonest objective
            first, then those that still count after it.
        critical_path_s: how long it would still take if only its team's limit held it back.
        requested_cores: cores of the whole job, finished tasks included.
        requested_accelerators: likewise.
        run_s: run time of one task.
        tail_s: how much longer the longest of many tasks may take.
        parallel_cores: cores that it can use at once.
        remaining_core_s: core seconds left in all its tasks.
        started: whether any of its tasks is live or finished.
        is_service: it runs until it is cancelled, so it has no end to be ordered by.
    """

    job_index: int
    team: int
    priority: int
    accepted_at: float
    objective_times: tuple[float, ...]
    critical_path_s: float
    requested_cores: float
    requested_accelerators: float
    run_s: float = 0.0
    tail_s: float = 0.0
    parallel_cores: float = 0.0
    remaining_core_s: float = 0.0
    started: bool = False
    is_service: bool = False

    @property
    def min_remaining_s(self) -> float:
        """The time that the job takes at least from now."""
        return max(self.critical_path_s, self.run_s) + self.tail_s


class QueuedJob(NamedTuple):
    """One job in the order in which jobs are served.

    Attributes:
        job_index: the job.
        guaranteed: whether it lies within its team's guarantee.
        due_at: the objective that it is meant to reach, in wall clock seconds.
        overdue: whether it should have started; one task of it is served before all else.
    """

    job_index: int
    guaranteed: bool
    due_at: float
    overdue: bool = False
