"""Validation of a round's starts before they are claimed.

Every rule that a start can violate is checked here again, for all starts of the round together
with the live attempts. The check reads the attempts themselves and none of the data on which the
decision was based. A start that violates a rule is left out of the claim and logged as an error, so
that a fault in the decision appears in tests and logs but never reaches a machine.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from petrelthread.fleet import Fleet, Machine
from petrelthread.scheduling.occupancy import UNKNOWN_ZONE, JobOccupancy, spread_limit
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE
from petrelthread.settings import Team
from petrelthread.state import TASK_PENDING, ClusterState, Job, TaskKey

log = logging.getLogger(__name__)


class Violation(Enum):
    """The reason why a start may not be claimed."""

    JOB_ENDED = "the job is over or cancelled"
    NOT_PENDING = "the task has an attempt already, or is finished"
    DECIDED_TWICE = "the round starts the task twice"
    MACHINE = "the machine may not be given work"
    MACHINE_TYPE = "the job does not allow the machine's type"
    SPOT = "the job does not allow spot machines"
    ZONE = "the job does not allow the machine's zone"
    SINGLE_ZONE = "other tasks of the job are, or may be, in another zone"
    SPREAD = "half of the job's tasks are, or may be, in that zone already"
    TEAM_QUOTA = "the team would exceed its limit"
    GANG = "another task of the same gang may not start"


class Start(NamedTuple):
    """The decision to start a task on a machine."""

    job: Job
    task: int
    machine: Machine


class RefusedStart(NamedTuple):
    """A start that may not be claimed, and the reason."""

    start: Start
    violation: Violation


class ValidatedStarts(NamedTuple):
    """The starts of a round, in order: those that may be claimed, and those that may not."""

    admitted: list[Start]
    refused: list[RefusedStart]


@dataclass
class _AdmittedUsage:
    """Tasks, zones and resources of the starts admitted so far.

    ``occupancy`` includes the live attempts of each job, the other fields don't.
    """

    tasks: set[TaskKey] = field(default_factory=set)
    occupancy: dict[int, JobOccupancy] = field(default_factory=dict)  # by job index
    cores: dict[int, float] = field(default_factory=dict)  # by team index
    accelerators: dict[int, float] = field(default_factory=dict)  # by team index


class StartValidator:
    """Checks starts against the rules of placement, quota and single execution of a task."""

    def __init__(self, cluster_state: ClusterState, fleet: Fleet, teams: Sequence[Team]) -> None:
        """Initialize the validator; ``teams`` is ordered by team index of the cluster state."""
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._teams = teams

    def admit(self, starts: Sequence[Start]) -> ValidatedStarts:
        """Check decided starts; a refused one is a scheduling fault and logged as an error."""
        validated = self.check(starts)
        for start, violation in validated.refused:
            log.error(
                "start of %s/%d on %s left out of the claim: %s",
                start.job.id,
                start.task,
                start.machine.name,
                violation.value,
            )
        return validated

    def check(self, starts: Sequence[Start]) -> ValidatedStarts:
        """Check the starts against the current state."""
        usage = _AdmittedUsage()
        admitted: list[Start] = []
        refused: list[RefusedStart] = []
        for start in starts:
            violation = self._violation(start, usage)
            if violation is None:
                self._add_usage(start, usage)
                admitted.append(start)
            else:
                refused.append(RefusedStart(start, violation))
        broken_gangs = {item.start.job.index for item in refused if item.start.job.is_gang}
        if broken_gangs:
            split = [start for start in admitted if start.job.index in broken_gangs]
            refused += [RefusedStart(start, Violation.GANG) for start in split]
            admitted = [start for start in admitted if start.job.index not in broken_gangs]
        return ValidatedStarts(admitted, refused)

    def _violation(self, start: Start, usage: _AdmittedUsage) -> Violation | None:
        return (
            self._task_violation(start, usage)
            or self._machine_violation(start)
            or self._zone_violation(start, usage)
            or self._quota_violation(start.job, usage)
        )

    def _task_violation(self, start: Start, usage: _AdmittedUsage) -> Violation | None:
        job, task, _ = start
        if job.final_status is not None:
            return Violation.JOB_ENDED
        if job.task_states[task] != TASK_PENDING or task in job.live_attempts:
            return Violation.NOT_PENDING
        if task in self._fleet.finished_tasks.get(job.index, ()):
            return Violation.NOT_PENDING
        if (job.index, task) in usage.tasks:
            return Violation.DECIDED_TWICE
        return None

    def _machine_violation(self, start: Start) -> Violation | None:
        job, _, machine = start
        if not self._fleet.is_schedulable(machine):
            return Violation.MACHINE
        if job.machine_types is not None and machine.machine_type not in job.machine_types:
            return Violation.MACHINE_TYPE
        if machine.spot and not job.spot_allowed:
            return Violation.SPOT
        return None

    def _zone_violation(self, start: Start, usage: _AdmittedUsage) -> Violation | None:
        job, _, machine = start
        if job.zone is not None and machine.zone != job.zone:
            return Violation.ZONE
        if not (job.single_zone or job.spread_zones):
            return None
        if machine.zone == UNKNOWN_ZONE:
            return Violation.ZONE
        occupancy = self._occupancy(job, usage)
        if job.single_zone and not occupancy.is_confined_to((machine.zone,)):
            return Violation.SINGLE_ZONE
        tasks_in_zone = occupancy.max_tasks_in(machine.zone)
        if job.spread_zones and tasks_in_zone >= spread_limit(job.task_count):
            return Violation.SPREAD
        return None

    def _quota_violation(self, job: Job, usage: _AdmittedUsage) -> Violation | None:
        team, used = self._teams[job.team], self._cluster_state.usage.team(job.team)
        cores = used.cores + usage.cores.get(job.team, 0.0) + job.cores
        accelerators = used.accelerators + usage.accelerators.get(job.team, 0.0)
        accelerators += job.accelerators
        if (
            cores > team.max_cores + CAPACITY_TOLERANCE
            or accelerators > team.max_accelerators + CAPACITY_TOLERANCE
        ):
            return Violation.TEAM_QUOTA
        return None

    def _occupancy(self, job: Job, usage: _AdmittedUsage) -> JobOccupancy:
        occupancy = usage.occupancy.get(job.index)
        if occupancy is None:
            occupancy = JobOccupancy.of(job, self._fleet.machines)
            usage.occupancy[job.index] = occupancy
        return occupancy

    def _add_usage(self, start: Start, usage: _AdmittedUsage) -> None:
        job, task, machine = start
        usage.tasks.add((job.index, task))
        usage.cores[job.team] = usage.cores.get(job.team, 0.0) + job.cores
        accelerators = usage.accelerators.get(job.team, 0.0)
        usage.accelerators[job.team] = accelerators + job.accelerators
        if job.single_zone or job.spread_zones:
            self._occupancy(job, usage).add(machine.zone, machine.index)
