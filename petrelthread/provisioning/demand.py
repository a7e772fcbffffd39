"""Demands for machines: unfinished work, replicas, and reserves for jobs that may arrive."""

from __future__ import annotations

import math
import time
from collections.abc import Collection

from petrelthread import protocol
from petrelthread.provisioning.context import ProvisioningContext
from petrelthread.provisioning.plan import CORES_EPSILON, Demand
from petrelthread.provisioning.reserve import Arrivals, service_reserve_cores
from petrelthread.scheduling import ClusterView, QueuedJob
from petrelthread.state import Job

EXPECTED_MACHINES_PER_ZONE = 2  # machines of the smallest type kept for an unseen urgent job class
EXPECTED_MACHINES = 4  # minimum number for unseen urgent classes, in all zones together
# Multiple of the usual boot time after which a booting machine does not count as capacity.
LATE_BOOT_FACTOR = 1.6
MAX_MACHINES_FAILED_ON = 6  # a suspect job that has failed on more machines demands none
UNKNOWN_BOOT_S = 30.0  # assumed boot time while the catalog is unknown
MAX_RUN_PROGRESS = 0.9  # maximum share of a running task's expected run time that counts as done


class TeamQuota:
    """The headroom left in a team's quota for its jobs later in the scheduling order."""

    def __init__(self, cores: float, accelerators: float) -> None:
        self._cores = cores
        self._accelerators = accelerators

    def take(self, job: Job, tasks: int) -> None:
        """Reduce the headroom by tasks of the job."""
        self._cores -= tasks * job.cores
        self._accelerators -= tasks * job.accelerators

    def fitting_tasks(self, job: Job, tasks: int) -> int:
        """How many of ``tasks`` of the job fit into the headroom."""
        if job.cores > 0:
            tasks = min(tasks, int((self._cores + CORES_EPSILON) / job.cores))
        if job.accelerators > 0:
            tasks = min(tasks, int((self._accelerators + CORES_EPSILON) / job.accelerators))
        return max(tasks, 0)


class DemandForecast:
    """Demands of the accepted jobs, and reserves for jobs that may arrive.

    A job is urgent if its class has an objective for the time to start.
    """

    def __init__(
        self,
        context: ProvisioningContext,
        view: ClusterView,
        machine_types: dict[int, protocol.MachineType],
        unreachable_zones: Collection[int],
    ) -> None:
        self._cluster_state = context.cluster_state
        self._fleet = context.fleet
        self._view = view
        self._machine_types = machine_types
        self._unreachable_zones = unreachable_zones
        self._urgent_arrivals = Arrivals()
        self._service_arrivals = Arrivals(ramping=True)
        # The shortest objective for the time to start, by job class.
        self._start_within_s: dict[int, float] = {}
        for objective in context.settings.cluster.objectives:
            if objective.kind == "wait":
                index = self._cluster_state.names.job_classes.index(objective.jobclass)
                shortest_s = self._start_within_s.get(index, objective.within_s)
                self._start_within_s[index] = min(shortest_s, objective.within_s)

    def begin_epoch(self, now: float) -> None:
        """Restore the arrivals of services from the jobs accepted under earlier leaders."""
        wall_clock_s = time.time()
        arrivals = [
            (now - (wall_clock_s - job.accepted_at), job.task_count * job.cores)
            for job in self._cluster_state.jobs.values()
            if job.is_service
        ]
        self._service_arrivals = Arrivals(arrivals, ramping=True)

    def note_accepted(self, job: Job, now: float) -> None:
        """Record the arrival of a newly accepted job if it is a service or urgent."""
        if job.is_service:
            self._service_arrivals.record(now, job.task_count * job.cores)
        elif job.job_class in self._start_within_s:
            self._urgent_arrivals.record(now, job.task_count * job.cores)

    def urgent_reserve(self, now: float) -> float:
        """Cores that urgent jobs are likely to request within a boot time."""
        return self._urgent_arrivals.expected_cores(now, self._max_boot_s())

    def service_reserve_cores(self, now: float) -> float:
        """Cores for replicas of services that may arrive, and for replicas of a lost zone."""
        return service_reserve_cores(
            self._service_arrivals,
            now,
            self._max_boot_s(),
            self._zone_spread_cores(),
            len(self._reachable_zones()),
        )

    def demands(self, order: list[QueuedJob], now: float) -> list[Demand]:
        """Expected demands of urgent job classes, then those of open jobs.

        Args:
            order: the open jobs in scheduling order; some may have finished since.
            now: event loop time in seconds.
        """
        quotas = [TeamQuota(team.max_cores, team.max_accelerators) for team in self._view.teams]
        demands = self._expected_demands()
        for entry in order:
            job = self._cluster_state.open_jobs.get(entry.job_index)
            if job is None:
                continue
            quota = quotas[job.team]
            unfinished = self._unfinished_tasks(job, now)
            if unfinished <= 0:
                continue
            if job.is_service:
                quota.take(job, job.task_count)
                demands += self._service_demands(job)
                continue
            tasks = quota.fitting_tasks(job, unfinished)
            quota.take(job, tasks)
            demands.append(self._array_demand(job, tasks, unfinished, entry.due_at, now))
        return demands

    def _unfinished_tasks(self, job: Job, now: float) -> int:
        """Number of unfinished tasks for which machines may be scaled out."""
        unfinished = (
            job.task_count - job.finished_count - len(self._fleet.finished_tasks.get(job.index, ()))
        )
        if now < job.retry_at:
            return 0
        if self._fleet.job_failures.is_suspect(job) and unfinished > 0:
            # A suspect job is retried on machines that are up. Only its first few attempts may
            # demand another machine, in case none is up and the job did not cause the failures.
            failed_on = len(self._fleet.job_failures.failed_on(job))
            return 0 if failed_on > MAX_MACHINES_FAILED_ON else 1
        return unfinished

    def _array_demand(
        self, job: Job, tasks: int, unfinished: int, due_at: float, now: float
    ) -> Demand:
        """The demand of one job array, with the remaining work of its tasks."""
        run_s = self._view.estimates.run_s(job)
        work_s = unfinished * run_s - sum(job.checkpointed_s.values())
        for attempt in job.live_attempts.values():
            if attempt.running_at:
                work_s -= min(run_s * MAX_RUN_PROGRESS, now - attempt.running_at)
        return Demand(
            tasks=tasks,
            work_s=max(work_s, 0.0),
            deadline_in_s=due_at - time.time(),
            cores=job.cores,
            accelerators=job.accelerators,
            ram_gb=job.ram_gb,
            machine_types=job.machine_types,
            zone=job.zone,
            spot_allowed=job.spot_allowed,
            has_pending=job.pending_count > 0,
            best_effort=not self._view.has_objectives(job),
        )

    def _service_demands(self, job: Job) -> list[Demand]:
        """Permanent demands for all replicas of a service, one for each zone that they need."""
        return [
            Demand(
                tasks=tasks,
                work_s=0.0,
                deadline_in_s=0.0,
                cores=job.cores,
                accelerators=job.accelerators,
                ram_gb=job.ram_gb,
                machine_types=job.machine_types,
                zone=zone,
                spot_allowed=job.spot_allowed,
                permanent=True,
            )
            for zone, tasks in self._replicas_by_zone(job).items()
            if tasks > 0
        ]

    def _replicas_by_zone(self, job: Job) -> dict[int | None, int]:
        """Number of replicas that need capacity, by zone; None means any zone."""
        zones = self._reachable_zones()
        if not job.spread_zones or job.zone is not None or not zones:
            return {job.zone: job.task_count}
        zone_count = len(zones)
        # Rotated by job index, so that extra replicas of different jobs are in different zones.
        return {
            zones[(rank + job.index) % zone_count]: (job.task_count + zone_count - 1 - rank)
            // zone_count
            for rank in range(zone_count)
        }

    def _expected_demands(self) -> list[Demand]:
        """On-demand capacity in each zone, if an urgent job class has had no job so far.

        This is for classes whose jobs must start before a booting machine counts as late. Until
        the first job arrives, it is unknown whether the class accepts spot machines.
        """
        if not self._cluster_state.open_jobs or not self._has_unseen_urgent_class():
            return []
        smallest = min(
            self._machine_types.values(),
            key=lambda machine_type: (machine_type.cores, machine_type.on_demand_price),
        )
        names = self._cluster_state.names.zones
        min_per_zone = math.ceil(EXPECTED_MACHINES / max(1, len(smallest.zones)))
        return [
            Demand(
                tasks=max(EXPECTED_MACHINES_PER_ZONE, min_per_zone),
                work_s=0.0,
                deadline_in_s=0.0,
                cores=smallest.cores,
                accelerators=0.0,
                ram_gb=smallest.ram_gb,
                machine_types=None,
                zone=names.index(zone),
                spot_allowed=False,
                permanent=True,
            )
            for zone in smallest.zones
            if names.index(zone) not in self._unreachable_zones
        ]

    def _has_unseen_urgent_class(self) -> bool:
        """Whether jobs of a class not seen yet must start before a booting machine is late."""
        boot_times_s = (machine_type.boot_s for machine_type in self._machine_types.values())
        late_s = LATE_BOOT_FACTOR * min(boot_times_s, default=0.0)
        seen_classes = self._cluster_state.seen_job_classes
        return any(
            within_s <= late_s and index not in seen_classes
            for index, within_s in self._start_within_s.items()
        )

    def _zone_spread_cores(self) -> float:
        """Cores of services that are spread over all zones."""
        return sum(
            job.task_count * job.cores
            for job in self._cluster_state.open_jobs.values()
            if job.is_service
            and job.spread_zones
            and job.zone is None
            and not self._fleet.job_failures.is_suspect(job)
        )

    def _max_boot_s(self) -> float:
        boot_times_s = (machine_type.boot_s for machine_type in self._machine_types.values())
        return max(boot_times_s, default=UNKNOWN_BOOT_S)

    def _reachable_zones(self) -> list[int]:
        names = self._cluster_state.names.zones
        types = self._machine_types.values()
        zones = {names.index(zone) for machine_type in types for zone in machine_type.zones}
        return sorted(zone for zone in zones if zone not in self._unreachable_zones)
