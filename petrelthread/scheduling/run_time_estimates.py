"""Run times of tasks, estimated from their owners' estimates and from earlier tasks."""

from __future__ import annotations

import math

from petrelthread.state import Job

DEFAULT_SPREAD = 0.3  # standard deviation of run time over estimate, until some are observed
MIN_RATIO, MAX_RATIO = 0.1, 10.0  # bounds of an observed ratio of run time over estimate
MAX_WEIGHT = 50  # observations that the averages of a class go back at most
PRIOR_WEIGHT = 2  # observations that the initial values count for
TAIL_DEVIATIONS = 1.5  # by which the longest of a job's tasks is expected to exceed the average
MIN_RUN_S = 0.5


class RunTimeEstimates:
    """How far the run times of each job class deviate from their owners' estimates."""

    def __init__(self) -> None:
        self._ratio: dict[int, float] = {}
        self._variance: dict[int, float] = {}
        self._observations: dict[int, int] = {}

    def learn(self, job: Job, ran_s: float) -> None:
        """Take the run time of one finished task into account."""
        if job.estimated_run_s <= 0:
            return
        job_class = job.job_class
        ratio = min(MAX_RATIO, max(MIN_RATIO, ran_s / job.estimated_run_s))
        count = min(MAX_WEIGHT, self._observations.get(job_class, 0) + 1)
        self._observations[job_class] = count
        average = self._ratio.get(job_class, 1.0)
        self._ratio[job_class] = average + (ratio - average) / (count + PRIOR_WEIGHT)
        variance = self._variance.get(job_class, DEFAULT_SPREAD**2)
        deviation = (ratio - average) ** 2 - variance
        self._variance[job_class] = variance + deviation / (count + PRIOR_WEIGHT)

    def run_s(self, job: Job) -> float:
        """Expected run time of one task in seconds; infinite for a service."""
        if job.is_service:
            return math.inf
        return max(MIN_RUN_S, job.estimated_run_s * self._ratio.get(job.job_class, 1.0))

    def tail_s(self, job: Job) -> float:
        """How much longer the last of a job's tasks is likely to run; 0 for a single task."""
        if job.task_count <= 1:
            return 0.0
        variance = self._variance.get(job.job_class, DEFAULT_SPREAD**2)
        tail_s = TAIL_DEVIATIONS * math.sqrt(variance) * job.estimated_run_s
        return min(job.estimated_run_s, tail_s)
