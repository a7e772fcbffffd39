"""Entries of the job queue: the input and the result of ``order_jobs``."""

from __future__ import annotations

from typing import NamedTuple


class QueueEntry(NamedTuple):
    """One unfinished job as input of ``order_jobs``.

    Attributes:
        job_index: index of the job.
        team: index of its team.
        priority: jobs with a larger number come first.
        accepted_at: wall clock time in seconds.
        objective_times: completion times of its objectives in wall clock seconds, ascending; if one
            can't be reached, the next one counts.
        quota_limited_s: its remaining time if only its team's quota limited it.
        requested_cores: cores of the whole job, finished tasks included.
        requested_accelerators: accelerators of the whole job, finished tasks included.
        run_s: estimated run time of one task.
        longest_task_extra_s: how much longer than ``run_s`` the longest of many tasks may take.
        parallel_cores: cores that it can use at the same time.
        remaining_core_s: core seconds of work left in all its tasks.
        started: whether any of its tasks is live or finished.
        is_service: whether it runs until it is cancelled, so that it has no completion time.
    """

    job_index: int
    team: int
    priority: int
    accepted_at: float
    objective_times: tuple[float, ...]
    quota_limited_s: float
    requested_cores: float
    requested_accelerators: float
    run_s: float = 0.0
    longest_task_extra_s: float = 0.0
    parallel_cores: float = 0.0
    remaining_core_s: float = 0.0
    started: bool = False
    is_service: bool = False

    @property
    def min_remaining_s(self) -> float:
        """Minimum time from now until the job is complete."""
        return max(self.quota_limited_s, self.run_s) + self.longest_task_extra_s


class QueuedJob(NamedTuple):
    """One job in scheduling order.

    Attributes:
        job_index: index of the job.
        guaranteed: whether it lies within its team's guarantee.
        due_at: time of the objective that it is planned to reach, in wall clock seconds.
        overdue: whether it has waited longer than ``MAX_START_DELAY_S`` for its first start; one of
            its tasks is placed before all others.
    """

    job_index: int
    guaranteed: bool
    due_at: float
    overdue: bool = False
