"""What there is and what is wanted, as the leader sees it now. Nothing here changes anything."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from petrelthread import protocol
from petrelthread.fleet import Fleet, Health
from petrelthread.scheduling.free_capacity import FreeRoom
from petrelthread.scheduling.job_order import UNREACHABLE_GOAL_S, QueuedJob, QueueEntry, order_jobs
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.slot import EPS, PlacementRequest
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, Job

DEFAULT_SPREAD = 0.3  # of run times against estimates, until some are seen
USABLE_CORE_SHARE = 0.85  # of all cores: the rest fetch images, wait for a round or fit no task


class RunTimeEstimates:
    """How much longer than their owners' estimates the tasks of each class really run."""

    def __init__(self) -> None:
        self._ratio: dict[int, float] = {}
        self._variance: dict[int, float] = {}
        self._seen: dict[int, int] = {}

    def learn(self, job: Job, ran_s: float) -> None:
        if job.estimated_run_s <= 0:
            return
        ratio = min(10.0, max(0.1, ran_s / job.estimated_run_s))
        seen = self._seen[job.job_class] = min(50, self._seen.get(job.job_class, 0) + 1)
        old = self._ratio.get(job.job_class, 1.0)
        self._ratio[job.job_class] = old + (ratio - old) / (seen + 2)
        variance = self._variance.get(job.job_class, DEFAULT_SPREAD**2)
        self._variance[job.job_class] = variance + ((ratio - old) ** 2 - variance) / (seen + 2)

    def run_s(self, job: Job) -> float:
        if job.is_service:
            return math.inf
        return max(0.5, job.estimated_run_s * self._ratio.get(job.job_class, 1.0))

    def tail_s(self, job: Job) -> float:
        """How much longer the last of a job's tasks is likely to run. One alone has no tail."""
        if job.task_count < 2:
            return 0.0
        variance = self._variance.get(job.job_class, DEFAULT_SPREAD**2)
        return min(job.estimated_run_s, 1.5 * math.sqrt(variance) * job.estimated_run_s)


class ClusterView:
    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        fleet: Fleet,
        machine_types: Callable[[], dict[int, protocol.MachineType]],
        estimates: RunTimeEstimates,
    ) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._machine_types = machine_types
        self._free_room = FreeRoom(cluster_state, fleet, machine_types)
        self.estimates = estimates
        self.teams = settings.cluster.teams
        self._guarantees = [(t.cpus, t.gpus) for t in self.teams]
        self._within: dict[int, list[float]] = {}  # by class: seconds to be done in
        self._times: dict[int, list[float]] = {}  # by class: multiples of the deadline
        for objective in settings.cluster.objectives:
            index = cluster_state.names.job_classes.index(objective.jobclass)
            if objective.kind == "finished" and objective.within_s > 0:
                self._within.setdefault(index, []).append(objective.within_s)
            elif objective.kind == "deadline":
                self._times.setdefault(index, []).append(objective.times)

    def free_capacity(self) -> FreeRoom:
        """What is free now, on which machines."""
        self._free_room.refresh()
        return self._free_room

    def types_that_fit(self, request: PlacementRequest) -> frozenset[int]:
        """Machine types of which one, when empty, holds a task of the request."""
        return frozenset(
            index
            for index, machine_type in self._machine_types().items()
            if request.cores <= machine_type.cores + EPS
            and request.accelerators <= machine_type.accelerators + EPS
            and request.ram_gb <= machine_type.ram_gb + EPS
        )

    def team_usage(self) -> list[tuple[float, float]]:
        """What each team's tasks use or may be using, wherever they are."""
        taken = (
            self._cluster_state.usage.team(team)
            for team in range(len(self._cluster_state.names.teams))
        )
        return [(team.cores, team.accelerators) for team in taken]

    def load_summary(self) -> str:
        """What the machines are doing, on one line for the log."""
        machine_types = self._machine_types()
        up = booting = retiring = 0.0
        for machine in self._fleet.machines.values():
            machine_type = machine_types.get(machine.machine_type)
            cores = machine_type.cores if machine_type else 0.0
            if machine.accepts_work:
                up += cores
                retiring += cores if machine.cordoned else 0.0
            elif machine.health is Health.BOOTING:
                booting += cores
        running = starting = 0.0
        for there in self._cluster_state.attempts_by_machine.values():
            for attempt in there.values():
                if attempt.running_at and not attempt.has_exited:
                    running += attempt.job.cores
                elif not attempt.has_exited:
                    starting += attempt.job.cores
        waiting = sum(
            job.pending_count * job.cores for job in self._cluster_state.open_jobs.values()
        )
        return (
            f"cores up {up:.0f} (retiring {retiring:.0f}), booting {booting:.0f}; running"
            f" {running:.0f}, starting {starting:.0f}, waiting {waiting:.0f}"
        )

    def goals(self, job: Job) -> tuple[float, ...]:
        """When its class's objectives want the job to be done, the soonest first."""
        if job.deadline_s is not None:
            within = [job.deadline_s * times for times in self._times.get(job.job_class, [1.0])]
        else:
            within = self._within.get(job.job_class, [])
        return tuple(job.accepted_at + seconds for seconds in sorted(within))

    def has_goals(self, job: Job) -> bool:
        return job.deadline_s is not None or job.job_class in self._within

    def wave_count(self, job: Job, tasks: int) -> int:
        team = self.teams[job.team]
        most = float(job.task_count)
        if job.cores > 0:
            most = min(most, team.most_cores // job.cores)
        if job.accelerators > 0:
            most = min(most, team.most_accelerators // job.accelerators)
        return math.ceil(tasks / max(1.0, most))

    def critical_path_s(self, job: Job) -> float:
        """How long the job still takes at best, with its team's limit for itself."""
        run_s = self.estimates.run_s(job)
        team = self.teams[job.team]
        left = job.task_count - job.done_count - len(self._fleet.finished_tasks.get(job.index, ()))
        share = 0.0
        if job.cores > 0:
            share = max(share, left * job.cores / team.most_cores)
        if job.accelerators > 0:
            share = max(share, left * job.accelerators / team.most_accelerators)
        return run_s * share

    def usable_cores(self) -> float:
        """That all jobs share, as far as they can be kept at work; infinite if none are known."""
        return self.free_capacity().cores() * USABLE_CORE_SHARE or math.inf

    def job_order(self) -> list[QueuedJob]:
        standings = []
        # What fails everywhere is tried one task at a time: that one first, so that a job that was
        # only unlucky goes on soon. Nothing else is done for it and nothing else waits for it.
        turns = []
        for job in self._cluster_state.open_jobs.values():
            if self._fleet.job_failures.is_suspect(job):
                turns.append(QueuedJob(job.index, False, time.time() + UNREACHABLE_GOAL_S))
                continue
            if job.is_service:
                cores, accelerators = job.task_count * job.cores, job.task_count * job.accelerators
                standings.append(
                    QueueEntry(
                        job.index,
                        job.team,
                        job.priority,
                        job.accepted_at,
                        (),
                        0.0,
                        cores,
                        accelerators,
                        width=cores,
                        service=True,
                    )
                )
                continue
            left = job.task_count - job.done_count
            run_s = self.estimates.run_s(job)
            live = len(job.live_attempts)
            standings.append(
                QueueEntry(
                    job.index,
                    job.team,
                    job.priority,
                    job.accepted_at,
                    self.goals(job),
                    self.critical_path_s(job),
                    job.task_count * job.cores,
                    job.task_count * job.accelerators,
                    run_s,
                    self.estimates.tail_s(job),
                    min(left * job.cores, self.teams[job.team].most_cores),
                    ((left - live / 2) * run_s - sum(job.checkpointed_s.values())) * job.cores,
                    live > 0 or job.done_count > 0,
                )
            )
        return turns + order_jobs(standings, self._guarantees, time.time(), self.usable_cores())

    def _avoid(self, job: Job) -> frozenset[int]:
        """Machines on which it failed, as long as there are as many others."""
        failed_on = self._fleet.job_failures.failed_on(job)
        if not failed_on:
            return frozenset()
        usable = sum(machine.accepts_work for machine in self._fleet.machines.values())
        return frozenset(failed_on) if 2 * len(failed_on) <= usable else frozenset()

    def request(self, job: Job) -> PlacementRequest:
        counted = job.single_zone or job.spread_zones or job.is_service
        machines = self._fleet.machines
        occupancy = JobOccupancy.of(job, machines) if counted else JobOccupancy()
        return PlacementRequest(
            job.index,
            job.team,
            job.task_count,
            self._fleet.startable_count(job),
            job.cores,
            job.accelerators,
            job.ram_gb,
            job.image,
            job.machine_types,
            job.zone,
            job.spot_allowed,
            job.single_zone,
            job.spread_zones,
            occupancy,
            self._avoid(job),
            job.is_gang,
            job.is_service,
        )
