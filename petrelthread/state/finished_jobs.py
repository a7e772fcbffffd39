"""The finished jobs that stay in memory for a while.

Users ask about a job mostly within seconds of its end, and workers list its exited tasks until they
get a forget command. Older finished jobs are read from the state service when they are needed.
"""

from __future__ import annotations

from collections.abc import Callable

from petrelthread.state.job import Job

RETAINED_FINISHED_JOBS = 2000


class FinishedJobs:
    """The finished jobs in memory, in the order in which they finished.

    Attributes:
        retained_count: how many are retained, besides those that are still needed.
    """

    def __init__(self, retained_count: int = RETAINED_FINISHED_JOBS) -> None:
        self.retained_count = retained_count
        self._jobs: dict[int, Job] = {}  # by index of the job

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: Job) -> None:
        """Add a job that has just got its final status."""
        self._jobs[job.index] = job

    @property
    def excess(self) -> int:
        """How many jobs are in memory beyond the retained number."""
        return max(0, len(self._jobs) - self.retained_count)

    def take_unneeded(self, is_needed: Callable[[Job], bool]) -> list[Job]:
        """Remove the oldest jobs beyond the retained number, except needed ones; return them."""
        oldest = list(self._jobs.values())[: self.excess]
        unneeded = [job for job in oldest if not is_needed(job)]
        for job in unneeded:
            del self._jobs[job.index]
        return unneeded
