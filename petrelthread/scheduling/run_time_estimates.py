"""Estimates of task run times, from the users' estimates and observed run times."""

from __future__ import annotations

import math

from petrelthread.state import Job

DEFAULT_SPREAD = 0.3  # initial standard deviation of the ratio of run time to estimate
MIN_RATIO, MAX_RATIO = 0.1, 10.0  # bounds of an observed ratio of run time to estimate
MAX_COUNTED_OBSERVATIONS = 50  # caps the weight of earlier observations in an average
PRIOR_WEIGHT = 2  # weight of the initial values, in observations
# Standard deviations by which a job's longest task is expected to exceed the average run time.
LONGEST_TASK_DEVIATIONS = 1.5
MIN_RUN_S = 0.5  # lower bound of the expected run time


class RunTimeEstimates:
    """Averages and variances of the ratio of run time to estimate, by job class."""

    def __init__(self) -> None:
        self._ratio: dict[int, float] = {}
        self._variance: dict[int, float] = {}
        self._observations: dict[int, int] = {}

    def add_run_time(self, job: Job, ran_s: float) -> None:
        """Update the estimates of the job's class with the run time of a finished task."""
        if job.estimated_run_s <= 0:
            return
        job_class = job.job_class
        ratio = min(MAX_RATIO, max(MIN_RATIO, ran_s / job.estimated_run_s))
        count = min(MAX_COUNTED_OBSERVATIONS, self._observations.get(job_class, 0) + 1)
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

    def longest_task_extra_s(self, job: Job) -> float:
        """How much longer than expected a job's longest task may run; 0 for a single task."""
        if job.task_count <= 1:
            return 0.0
        variance = self._variance.get(job.job_class, DEFAULT_SPREAD**2)
        extra_s = LONGEST_TASK_DEVIATIONS * math.sqrt(variance) * job.estimated_run_s
        return min(job.estimated_run_s, extra_s)
