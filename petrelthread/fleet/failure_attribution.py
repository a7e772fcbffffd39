"""Attribution of failed tasks: to the machine, or to the job.

A machine is at fault if jobs fail on it that complete elsewhere. A job is at fault if it fails on
several machines and has never completed a task. Both are judged together, so that broken jobs make
no healthy machine look faulty, and faulty machines make no healthy job look broken.
"""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

# Machines, not faulty themselves, on which an unproven job has to fail to become suspect.
SUSPECT_AFTER_MACHINES = 3
# A proven job that fails on more machines than this has some bad tasks itself.
MAX_MACHINES_OF_GOOD_JOB = 3
# Failures of one proven job, with no completion on the machine in between, that prove a fault.
MAX_CONSECUTIVE_FAILURES = 4
# Failures of one proven job that prove a fault if the job fails on few machines.
MIN_REPEATED_FAILURES = 2


class JobHealth(Enum):
    """What the outcomes of its tasks say about a job."""

    NEW = "new"
    PROVEN = "has completed a task"
    SUSPECT = "fails everywhere"


TRANSITIONS = {
    JobHealth.NEW: {JobHealth.PROVEN, JobHealth.SUSPECT},
    JobHealth.SUSPECT: {JobHealth.PROVEN, JobHealth.NEW},
    JobHealth.PROVEN: set(),
}


class FailureAttribution:
    """What failed where, as seen by this leader, and the conclusions. Jobs, machines by index.

    Attributes:
        faulty: Machines found faulty, with the reason. A verdict stays.
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
        """Forget everything, as a new leader does."""
        self._job_health.clear()
        self._machines_failed_on.clear()
        self._failures_on.clear()
        self.faulty.clear()

    def job_health(self, job: int) -> JobHealth:
        """Return the present judgement of the job."""
        return self._job_health.get(job, JobHealth.NEW)

    def failed_on(self, job: int) -> set[int]:
        """Return the machines on which the job has failed."""
        return self._machines_failed_on.get(job, set())

    def unproven(self) -> list[int]:
        """Return jobs that have failed somewhere and never completed a task."""
        return [
            job for job in self._machines_failed_on if self.job_health(job) is not JobHealth.PROVEN
        ]

    def _transition(self, job: int, target: JobHealth) -> None:
        """Change the health of a job; the only place that does."""
        before = self.job_health(job)
        if target is not before:
            assert target in TRANSITIONS[before], f"job {job}: {before} to {target}"
            self._job_health[job] = target

    # ---- events ----------------------------------------------------------------------------------

    def on_failed(self, job: int, machine: int) -> list[int]:
        """A task of the job failed on the machine. Returns machines found faulty by that."""
        self._machines_failed_on.setdefault(job, set()).add(machine)
        self._failures_on[machine][job] += 1
        found = self._judge_machines([machine])
        self._judge_job(job)
        return found

    def on_completed(self, job: int, machine: int) -> list[int]:
        """A task of the job completed on the machine. Returns machines found faulty by that."""
        self._failures_on.pop(machine, None)
        return self.on_proven(job)

    def on_proven(self, job: int) -> list[int]:
        """The job can complete tasks, so where it failed the machine may be at fault.

        Returns:
            Machines found faulty by that.
        """
        if self.job_health(job) is JobHealth.PROVEN:
            return []
        self._transition(job, JobHealth.PROVEN)
        return self._judge_machines(sorted(self.failed_on(job)))

    def on_finished(self, job: int) -> None:
        """The job has its final status. What it proved about machines stays."""
        if self.job_health(job) is not JobHealth.PROVEN:
            self._job_health.pop(job, None)
            self._machines_failed_on.pop(job, None)
            for failures in self._failures_on.values():
                failures.pop(job, None)

    def restore(self, job: int, machines: list[int]) -> None:
        """A former leader recorded that the job fails on all machines, among them these."""
        self._machines_failed_on[job] = set(machines)
        self._judge_job(job)

    # ---- judgement -------------------------------------------------------------------------------

    def _judge_machines(self, machines: list[int]) -> list[int]:
        """Find out which of the machines are faulty. Returns those not known as faulty before."""
        found = []
        for machine in machines:
            if machine in self.faulty:
                continue
            reason = self._fault_reason(machine)
            if reason:
                self.faulty[machine] = reason
                found.append(machine)
        if found:
            # Jobs that failed on these machines alone are no longer suspect.
            for job, health in list(self._job_health.items()):
                if health is JobHealth.SUSPECT:
                    self._judge_job(job)
        return found

    def _fault_reason(self, machine: int) -> str:
        """Why the machine is faulty; empty if it is not."""
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
        few = all(self._healthy_machine_count(job) <= MAX_MACHINES_OF_GOOD_JOB for job in proven)
        if total >= MIN_REPEATED_FAILURES and few:
            return "a job that completes elsewhere fails on it"
        return ""

    def _healthy_machine_count(self, job: int) -> int:
        """On how many machines the job failed that are not faulty."""
        return len(self.failed_on(job) - self.faulty.keys())

    def _judge_job(self, job: int) -> None:
        if self.job_health(job) is not JobHealth.PROVEN:
            suspect = self._healthy_machine_count(job) >= SUSPECT_AFTER_MACHINES
            self._transition(job, JobHealth.SUSPECT if suspect else JobHealth.NEW)
