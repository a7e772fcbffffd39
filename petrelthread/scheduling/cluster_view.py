"""Read-only view of the leader's current state of jobs, capacity and quotas."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from petrelthread import protocol
from petrelthread.fleet import Fleet
from petrelthread.scheduling.completion_objectives import CompletionObjectives
from petrelthread.scheduling.free_capacity import FreeCapacity
from petrelthread.scheduling.guarantees import Guarantee
from petrelthread.scheduling.job_order import UNREACHABLE_OBJECTIVE_S, order_jobs
from petrelthread.scheduling.load_summary import summarize_load
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.queue_entry import QueuedJob, QueueEntry
from petrelthread.scheduling.quota import TeamUsage
from petrelthread.scheduling.run_time_estimates import RunTimeEstimates
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, Job
from petrelthread.step_timer import timed_step

# Share of all cores that can run tasks. The other cores wait for images, are idle until the next
# round, or are too few on their machine for any task.
USABLE_CORE_SHARE = 0.85


class ClusterView:
    """Read-only queries on the cluster, for scheduling rounds and for provisioning.

    ``teams`` holds the configured teams by team index.
    """

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
        self._free_capacity = FreeCapacity(cluster_state, fleet, machine_types)
        self.estimates = estimates
        self.teams = settings.cluster.teams
        self._guarantees = [Guarantee(team.cpus, team.gpus) for team in self.teams]
        self._objectives = CompletionObjectives(settings.cluster.objectives, cluster_state.names)

    # ---- capacity and quotas ----------------------------------------------------------------

    def free_capacity(self) -> FreeCapacity:
        """Return the up-to-date free capacity of all machines."""
        self._free_capacity.refresh()
        return self._free_capacity

    def usable_cores(self) -> float:
        """Cores that all jobs together can keep busy; infinite if no machine is up or booting."""
        return self.free_capacity().cores() * USABLE_CORE_SHARE or math.inf

    def fitting_machine_types(self, request: PlacementRequest) -> frozenset[int]:
        """Machine types on which one task of the request fits if the machine is empty."""
        return frozenset(
            index
            for index, machine_type in self._machine_types().items()
            if request.fits_into(machine_type.cores, machine_type.accelerators, machine_type.ram_gb)
        )

    def team_usage(self) -> list[TeamUsage]:
        """Upper bound of what each team's tasks use on all machines, by team index."""
        usages = (
            self._cluster_state.usage.team(team)
            for team in range(len(self._cluster_state.names.teams))
        )
        return [TeamUsage(usage.cores, usage.accelerators) for usage in usages]

    def load_summary(self) -> str:
        """One log line with the cores of machines and tasks by state."""
        return str(summarize_load(self._cluster_state, self._fleet, self._machine_types()))

    # ---- jobs ---------------------------------------------------------------------------------

    def has_objectives(self, job: Job) -> bool:
        """Whether the job has a deadline or its class has a completion objective."""
        return self._objectives.has_any(job)

    def wave_count(self, job: Job, task_count: int) -> int:
        """Number of waves in which the tasks run if the job uses its team's whole quota."""
        team = self.teams[job.team]
        max_parallel = float(job.task_count)
        if job.cores > 0:
            max_parallel = min(max_parallel, team.max_cores // job.cores)
        if job.accelerators > 0:
            max_parallel = min(max_parallel, team.max_accelerators // job.accelerators)
        return math.ceil(task_count / max(1.0, max_parallel))

    def quota_limited_s(self, job: Job) -> float:
        """Lower bound of the remaining time if the job has its team's whole quota to itself."""
        run_s = self.estimates.run_s(job)
        team = self.teams[job.team]
        finished = len(self._fleet.finished_tasks.get(job.index, ()))
        unfinished = job.task_count - job.finished_count - finished
        quota_share = 0.0
        if job.cores > 0:
            quota_share = max(quota_share, unfinished * job.cores / team.max_cores)
        if job.accelerators > 0:
            share = unfinished * job.accelerators / team.max_accelerators
            quota_share = max(quota_share, share)
        return run_s * quota_share

    def job_order(self) -> list[QueuedJob]:
        """Return the open jobs in scheduling order."""
        entries = []
        # Only one task of a suspect job is started at a time. Suspect jobs precede all others, so
        # that a job whose failures had another cause soon continues. They are not passed to
        # ``order_jobs``, so no other job waits for them.
        suspects = []
        for job in self._cluster_state.open_jobs.values():
            if self._fleet.job_failures.is_suspect(job):
                due_at = time.time() + UNREACHABLE_OBJECTIVE_S
                suspects.append(QueuedJob(job.index, guaranteed=False, due_at=due_at))
            elif job.is_service:
                entries.append(self._service_entry(job))
            else:
                entries.append(self._batch_entry(job))
        cores = self.usable_cores()
        with timed_step("ordering of %d jobs", len(entries)):
            return suspects + order_jobs(entries, self._guarantees, time.time(), cores)

    def _service_entry(self, job: Job) -> QueueEntry:
        cores = job.task_count * job.cores
        return QueueEntry(
            job_index=job.index,
            team=job.team,
            priority=job.priority,
            accepted_at=job.accepted_at,
            objective_times=(),
            quota_limited_s=0.0,
            requested_cores=cores,
            requested_accelerators=job.task_count * job.accelerators,
            parallel_cores=cores,
            is_service=True,
        )

    def _batch_entry(self, job: Job) -> QueueEntry:
        unfinished = job.task_count - job.finished_count
        run_s = self.estimates.run_s(job)
        live = len(job.live_attempts)
        # A live task counts as half finished.
        remaining_s = (unfinished - live / 2) * run_s - sum(job.checkpointed_s.values())
        return QueueEntry(
            job.index,
            job.team,
            job.priority,
            job.accepted_at,
            self._objectives.times(job),
            self.quota_limited_s(job),
            job.task_count * job.cores,
            job.task_count * job.accelerators,
            run_s,
            self.estimates.longest_task_extra_s(job),
            min(unfinished * job.cores, self.teams[job.team].max_cores),
            remaining_s * job.cores,
            live > 0 or job.finished_count > 0,
        )

    def placement_request(self, job: Job) -> PlacementRequest:
        """Build the job's request for a round: all tasks that may start now."""
        needs_occupancy = job.single_zone or job.spread_zones or job.is_service
        machines = self._fleet.machines
        occupancy = JobOccupancy.of(job, machines) if needs_occupancy else JobOccupancy()
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
            self._excluded_machines(job),
            job.is_gang,
            job.is_service,
        )

    def _excluded_machines(self, job: Job) -> frozenset[int]:
        """Machines on which the job failed; none if they exceed half of those that accept work."""
        failed_on = self._fleet.job_failures.failed_on(job)
        if not failed_on:
            return frozenset()
        accepting = sum(machine.accepts_work for machine in self._fleet.machines.values())
        return frozenset(failed_on) if 2 * len(failed_on) <= accepting else frozenset()
