"""The last look at a round's starts before they are claimed.

Every rule that a start can break is checked here once more, for all starts of the round together
with what is live, from the attempts themselves and not from what the decision was made on. A start
that would break a rule is left out and reported at level error: a fault in the decision shows in
tests and logs, and never on a machine.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from petrelthread.fleet import Fleet, Machine
from petrelthread.scheduling.occupancy import UNKNOWN_ZONE, JobOccupancy, spread_limit
from petrelthread.settings import Team
from petrelthread.state import TASK_PENDING, ClusterState, Job

log = logging.getLogger(__name__)

EPS = 1e-6  # of sums of cores


class Violation(Enum):
    """Why a start may not be claimed."""

    JOB_OVER = "the job is over or cancelled"
    NOT_PENDING = "the task has an attempt already, or is finished"
    DECIDED_TWICE = "the round starts the task twice"
    MACHINE = "the machine may not be given work"
    MACHINE_TYPE = "the job does not allow the machine's type"
    SPOT = "the job does not allow spot machines"
    ZONE = "the job does not allow the machine's zone"
    SINGLE_ZONE = "other tasks of the job are, or may be, in another zone"
    SPREAD = "half of the job's tasks are, or may be, in that zone already"
    TEAM_LIMIT = "the team would exceed its limit"
    GANG = "another task of the same gang may not start"


class Start(NamedTuple):
    """One start that a round has decided."""

    job: Job
    task: int
    machine: Machine


class RefusedStart(NamedTuple):
    """A start that was left out, and why."""

    start: Start
    violation: Violation


@dataclass
class _AdmittedStarts:
    """What the starts admitted so far add to what is live."""

    tasks: set[tuple[int, int]] = field(default_factory=set)  # job and task
    occupancy: dict[int, JobOccupancy] = field(default_factory=dict)  # by job
    cores: dict[int, float] = field(default_factory=dict)  # by team
    accelerators: dict[int, float] = field(default_factory=dict)


class StartValidator:
    """Checks the starts of a round against the rules of PROTOCOL (wrong_place, quota, ran_twice,
    ran_cancelled)."""

    def __init__(self, cluster_state: ClusterState, fleet: Fleet, teams: Sequence[Team]) -> None:
        """``teams``: in the order of the cluster state's team indices."""
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._teams = teams

    def admit(self, starts: Sequence[Start]) -> tuple[list[Start], list[RefusedStart]]:
        """The starts that may be claimed, in order, and those that may not: these are a fault of
        the decision, and reported as such."""
        admitted, refused = self.check(starts)
        for start, violation in refused:
            log.error(
                "start of %s/%d on %s left out: %s",
                start.job.id,
                start.task,
                start.machine.name,
                violation.value,
            )
        return admitted, refused

    def check(self, starts: Sequence[Start]) -> tuple[list[Start], list[RefusedStart]]:
        """The starts that no rule forbids as things stand now, in order, and the others."""
        so_far = _AdmittedStarts()
        admitted: list[Start] = []
        refused: list[RefusedStart] = []
        for start in starts:
            violation = self._violation(start, so_far)
            if violation is None:
                self._count(start, so_far)
                admitted.append(start)
            else:
                refused.append(RefusedStart(start, violation))
        broken = {r.start.job.index for r in refused if r.start.job.is_gang}
        if broken:
            split = [start for start in admitted if start.job.index in broken]
            refused += [RefusedStart(start, Violation.GANG) for start in split]
            admitted = [start for start in admitted if start.job.index not in broken]
        return admitted, refused

    def _violation(self, start: Start, so_far: _AdmittedStarts) -> Violation | None:
        job, task, machine = start
        if job.final_status is not None:
            return Violation.JOB_OVER
        if job.task_states[task] != TASK_PENDING or task in job.live_attempts:
            return Violation.NOT_PENDING
        if task in self._fleet.finished_tasks.get(job.index, ()):
            return Violation.NOT_PENDING
        if (job.index, task) in so_far.tasks:
            return Violation.DECIDED_TWICE
        if not self._fleet.is_schedulable(machine):
            return Violation.MACHINE
        return self._wrong_place(job, machine, so_far) or self._over_limit(job, so_far)

    def _wrong_place(self, job: Job, machine: Machine, so_far: _AdmittedStarts) -> Violation | None:
        if job.machine_types is not None and machine.machine_type not in job.machine_types:
            return Violation.MACHINE_TYPE
        if machine.spot and not job.spot_allowed:
            return Violation.SPOT
        if job.zone is not None and machine.zone != job.zone:
            return Violation.ZONE
        if not (job.single_zone or job.spread_zones):
            return None
        if machine.zone == UNKNOWN_ZONE:
            return Violation.ZONE
        occupancy = self._occupancy(job, so_far)
        if job.single_zone and not occupancy.only_in((machine.zone,)):
            return Violation.SINGLE_ZONE
        if job.spread_zones and occupancy.most_in(machine.zone) >= spread_limit(job.task_count):
            return Violation.SPREAD
        return None

    def _over_limit(self, job: Job, so_far: _AdmittedStarts) -> Violation | None:
        team, used = self._teams[job.team], self._cluster_state.usage.team(job.team)
        cores = used.cores + so_far.cores.get(job.team, 0.0) + job.cores
        accelerators = used.accelerators + so_far.accelerators.get(job.team, 0.0)
        accelerators += job.accelerators
        over = cores > team.most_cores + EPS or accelerators > team.most_accelerators + EPS
        return Violation.TEAM_LIMIT if over else None

    def _occupancy(self, job: Job, so_far: _AdmittedStarts) -> JobOccupancy:
        found = so_far.occupancy.get(job.index)
        if found is None:
            found = JobOccupancy.of(job, self._fleet.machines)
            so_far.occupancy[job.index] = found
        return found

    def _count(self, start: Start, so_far: _AdmittedStarts) -> None:
        job, task, machine = start
        so_far.tasks.add((job.index, task))
        so_far.cores[job.team] = so_far.cores.get(job.team, 0.0) + job.cores
        held = so_far.accelerators.get(job.team, 0.0)
        so_far.accelerators[job.team] = held + job.accelerators
        if job.single_zone or job.spread_zones:
            self._occupancy(job, so_far).add(machine.zone, machine.index)
