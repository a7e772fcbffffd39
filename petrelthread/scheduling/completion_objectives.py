"""Service-level objectives for the completion of jobs."""

from __future__ import annotations

from collections.abc import Sequence

from petrelthread.settings import Objective
from petrelthread.state import InternedNames, Job


class CompletionObjectives:
    """The completion times that the objectives of each job class require."""

    def __init__(self, objectives: Sequence[Objective], names: InternedNames) -> None:
        self._within_s: dict[int, list[float]] = {}  # by class: seconds after acceptance
        self._deadline_factors: dict[int, list[float]] = {}  # by class: multiples of the deadline
        for objective in objectives:
            job_class = names.job_classes.index(objective.jobclass)
            if objective.kind == "finished" and objective.within_s > 0:
                self._within_s.setdefault(job_class, []).append(objective.within_s)
            elif objective.kind == "deadline":
                self._deadline_factors.setdefault(job_class, []).append(objective.times)

    def times(self, job: Job) -> tuple[float, ...]:
        """The job's objective completion times in wall clock seconds, ascending."""
        if job.deadline_s is not None:
            factors = self._deadline_factors.get(job.job_class, [1.0])
            within_s = [job.deadline_s * factor for factor in factors]
        else:
            within_s = self._within_s.get(job.job_class, [])
        return tuple(job.accepted_at + seconds for seconds in sorted(within_s))

    def has_any(self, job: Job) -> bool:
        """Whether the job has a deadline or its class has a completion objective."""
        return job.deadline_s is not None or job.job_class in self._within_s
