"""Whose fault a failed task is: the machine's, on which jobs fail that complete elsewhere, or the
job's, which fails on every machine and has never completed a task anywhere.

Each side was judged alone before: two jobs submitted with a mistake made every healthy machine that
ran them look faulty, and it was given back.
"""

from __future__ import annotations

from enum import Enum

SUSPECT_AFTER_MACHINES = (
    3  # machines not found faulty on which a job fails that never completed anything
)
MAX_MACHINES_OF_GOOD_JOB = (
    3  # a proven job that fails on more machines than this has some bad tasks itself
)
MAX_CONSECUTIVE_FAILURES = (
    4  # failures of proven jobs with no completion in between speak for themselves
)


class JobHealth(Enum):
    NEW = "new"
    PROVEN = "has completed a task"
    SUSPECT = "fails everywhere"


TRANSITIONS = {
    JobHealth.NEW: {JobHealth.PROVEN, JobHealth.SUSPECT},
    JobHealth.SUSPECT: {JobHealth.PROVEN, JobHealth.NEW},
    JobHealth.PROVEN: set(),
}


class FailureAttribution:
    """What failed where, as the leader has seen it. Jobs and machines by index."""

    def __init__(self) -> None:
        self._trust: dict[int, JobHealth] = {}
        self._failed_on: dict[int, set[int]] = {}  # by job: machines
        self._here: dict[
            int, dict[int, int]
        ] = {}  # by machine: failures by job, none completed since
        self.faulty: dict[int, str] = {}

    def clear(self) -> None:
        self._trust.clear()
        self._failed_on.clear()
        self._here.clear()
        self.faulty.clear()

    def job_health(self, job: int) -> JobHealth:
        return self._trust.get(job, JobHealth.NEW)

    def failed_on(self, job: int) -> set[int]:
        return self._failed_on.get(job, set())

    def unproven(self) -> list[int]:
        """Jobs that have failed somewhere and never completed a task."""
        return [job for job in self._failed_on if self.job_health(job) is not JobHealth.PROVEN]

    def _move(self, job: int, to: JobHealth) -> None:
        """The one place where the trust in a job changes."""
        before = self.job_health(job)
        if to is not before:
            assert to in TRANSITIONS[before], f"job {job}: {before} to {to}"
            self._trust[job] = to

    # ---- what is seen --------------------------------------------------------------------------

    def failed(self, job: int, machine: int) -> list[int]:
        """A task of the job failed on the machine. Returns machines found faulty by that."""
        self._failed_on.setdefault(job, set()).add(machine)
        here = self._here.setdefault(machine, {})
        here[job] = here.get(job, 0) + 1
        found = self._judge_machines([machine])
        self._judge_job(job)
        return found

    def completed(self, job: int, machine: int) -> list[int]:
        self._here.pop(machine, None)
        return self.prove(job)

    def prove(self, job: int) -> list[int]:
        """The job can complete tasks: where it failed before, the machine may be at fault."""
        if self.job_health(job) is JobHealth.PROVEN:
            return []
        self._move(job, JobHealth.PROVEN)
        return self._judge_machines(sorted(self.failed_on(job)))

    def over(self, job: int) -> None:
        """The job has its final state. What it proved about machines stays."""
        if self.job_health(job) is not JobHealth.PROVEN:
            self._trust.pop(job, None)
            self._failed_on.pop(job, None)
            for here in self._here.values():
                here.pop(job, None)

    def restore(self, job: int, machines: list[int]) -> None:
        """An earlier leader found that it fails everywhere."""
        self._failed_on[job] = set(machines)
        self._judge_job(job)

    # ---- judgement -----------------------------------------------------------------------------

    def _judge_machines(self, machines: list[int]) -> list[int]:
        found = []
        for machine in machines:
            if machine in self.faulty:
                continue
            why = self._fault(machine)
            if why:
                self.faulty[machine] = why
                found.append(machine)
        if found:
            # A job that failed on those only is no longer suspect.
            for job, trust in list(self._trust.items()):
                if trust is JobHealth.SUSPECT:
                    self._judge_job(job)
        return found

    def _fault(self, machine: int) -> str:
        here = self._here.get(machine, {})
        proven = {
            job: count for job, count in here.items() if self.job_health(job) is JobHealth.PROVEN
        }
        total = sum(proven.values())
        if len(proven) > 1:
            return "different jobs that complete elsewhere fail on it"
        if total >= MAX_CONSECUTIVE_FAILURES:
            return "everything fails on it that completes elsewhere"
        if total > 1 and all(self._spread(job) <= MAX_MACHINES_OF_GOOD_JOB for job in proven):
            return "a job that completes elsewhere fails on it"
        return ""

    def _spread(self, job: int) -> int:
        return len(self.failed_on(job) - self.faulty.keys())

    def _judge_job(self, job: int) -> None:
        if self.job_health(job) is not JobHealth.PROVEN:
            suspect = self._spread(job) >= SUSPECT_AFTER_MACHINES
            self._move(job, JobHealth.SUSPECT if suspect else JobHealth.NEW)
