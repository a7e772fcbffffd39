"""Attribution of task failures to the machine or to the job.

A machine is faulty if jobs fail on it that complete elsewhere. A job is proven once it has
completed a task; an unproven job that fails on several machines is suspect. Both are evaluated
together, so that a broken job does not make healthy machines look faulty, and a faulty machine does
not make healthy jobs look broken.
"""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

# Number of machines, not counting faulty ones, on which an unproven job has to fail to be suspect.
SUSPECT_AFTER_MACHINES = 3
# If a proven job fails on more machines than this, some of its tasks are probably faulty.
MAX_MACHINES_OF_HEALTHY_JOB = 3
# Failures of one proven job, with no completion on the machine in between, that show a machine
# fault.
MAX_CONSECUTIVE_FAILURES = 4
# Failures of one proven job that show a machine fault if the job fails on few machines.
MIN_REPEATED_FAILURES = 2


class JobHealth(Enum):
    """Classification of a job by the outcomes of its tasks."""

    NEW = "new"
    PROVEN = "has completed a task"
    SUSPECT = "fails everywhere"


TRANSITIONS = {
    JobHealth.NEW: {JobHealth.PROVEN, JobHealth.SUSPECT},
    JobHealth.SUSPECT: {JobHealth.PROVEN, JobHealth.NEW},
    JobHealth.PROVEN: set(),
}


class FailureAttribution:
    """Failures and completions seen by this leader, with the suspect jobs and faulty machines.

    Jobs and machines are given by index.

    Attributes:
        faulty: The faulty machines with the reason. A machine stays in it until ``clear``.
    """

    def __init__(self) -> None:
        self._job_health: dict[int, JobHealth] = {}
        self._machines_failed_on: dict[int, set[int]] = {}  # by job
        # By machine: failures by job since the machine last completed a task.
        self._failures_on: defaultdict[int, defaultdict[int, int]] = defaultdict(
            lambda: defaultdict(int)
        )
        self.faulty: dict[int, str] = {}

    def clear(self) -> None:
        """Discard all failures and conclusions, on election."""
        self._job_health.clear()
        self._machines_failed_on.clear()
        self._failures_on.clear()
        self.faulty.clear()

    def job_health(self, job: int) -> JobHealth:
        """Return the present classification of the job."""
        return self._job_health.get(job, JobHealth.NEW)

    def failed_on(self, job: int) -> set[int]:
        """Return the machines on which the job has failed."""
        return self._machines_failed_on.get(job, set())

    def unproven(self) -> list[int]:
        """Return the jobs that have failed on some machine and never completed a task."""
        return [
            job for job in self._machines_failed_on if self.job_health(job) is not JobHealth.PROVEN
        ]

    def _transition(self, job: int, target: JobHealth) -> None:
        """Change the health of a job. All changes of it go through this method."""
        before = self.job_health(job)
        if target is not before:
            assert target in TRANSITIONS[before], f"job {job}: {before} to {target}"
            self._job_health[job] = target

    # ---- events ----------------------------------------------------------------------------------

    def on_failed(self, job: int, machine: int) -> list[int]:
        """Record a failed task of the job. Returns the machines found faulty as a result."""
        self._machines_failed_on.setdefault(job, set()).add(machine)
        self._failures_on[machine][job] += 1
        found = self._find_faulty([machine])
        self._update_job_health(job)
        return found

    def on_completed(self, job: int, machine: int) -> list[int]:
        """Record a completed task of the job. Returns the machines found faulty as a result."""
        self._failures_on.pop(machine, None)
        return self.on_proven(job)

    def on_proven(self, job: int) -> list[int]:
        """Record that the job can complete tasks, so that its failures count against machines.

        Returns:
            The machines found faulty as a result.
        """
        if self.job_health(job) is JobHealth.PROVEN:
            return []
        self._transition(job, JobHealth.PROVEN)
        return self._find_faulty(sorted(self.failed_on(job)))

    def on_finished(self, job: int) -> None:
        """Drop an unproven job that has its final status. Failures of proven jobs are kept."""
        if self.job_health(job) is not JobHealth.PROVEN:
            self.forget(job)

    def forget(self, job: int) -> None:
        """Drop all that is known about a job, proven or not."""
        self._job_health.pop(job, None)
        self._machines_failed_on.pop(job, None)
        for failures in self._failures_on.values():
            failures.pop(job, None)

    def restore(self, job: int, machines: list[int]) -> None:
        """Restore a job that a former leader recorded as suspect, with machines it failed on."""
        self._machines_failed_on[job] = set(machines)
        self._update_job_health(job)

    # ---- evaluation ------------------------------------------------------------------------------

    def _find_faulty(self, machines: list[int]) -> list[int]:
        """Evaluate the machines. Returns those that are newly found faulty."""
        found = []
        for machine in machines:
            if machine in self.faulty:
                continue
            reason = self._fault_reason(machine)
            if reason:
                self.faulty[machine] = reason
                found.append(machine)
        if found:
            # Jobs that failed only on faulty machines are no longer suspect.
            for job, health in list(self._job_health.items()):
                if health is JobHealth.SUSPECT:
                    self._update_job_health(job)
        return found

    def _fault_reason(self, machine: int) -> str:
        """Return why the machine is faulty; empty if it is not."""
        proven = {
            job: count
            for job, count in self._failures_on.get(machine, {}).items()
            if self.job_health(job) is JobHealth.PROVEN
        }
        total = sum(proven.values())
        if len(proven) > 1:
            return "different jobs that complete elsewhere fail on it"
        if total >= MAX_CONSECUTIVE_FAILURES:
            return "everything fails on it that completes elsewhere"
        few = all(self._healthy_machine_count(job) <= MAX_MACHINES_OF_HEALTHY_JOB for job in proven)
        if total >= MIN_REPEATED_FAILURES and few:
            return "a job that completes elsewhere fails on it"
        return ""

    def _healthy_machine_count(self, job: int) -> int:
        """Return on how many machines that are not faulty the job has failed."""
        return len(self.failed_on(job) - self.faulty.keys())

    def _update_job_health(self, job: int) -> None:
        if self.job_health(job) is not JobHealth.PROVEN:
            suspect = self._healthy_machine_count(job) >= SUSPECT_AFTER_MACHINES
            self._transition(job, JobHealth.SUSPECT if suspect else JobHealth.NEW)
