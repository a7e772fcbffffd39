"""What machines are needed for: unfinished work, replicas, and room for what is likely to come."""

from __future__ import annotations

import math
import time
from collections.abc import Collection

from petrelthread import protocol
from petrelthread.fleet import Fleet
from petrelthread.provisioning.plan import Demand
from petrelthread.provisioning.reserve import Arrivals, standing_reserve
from petrelthread.scheduling.cluster_view import ClusterView
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, Job

EXPECTED_IN_ZONE = 2  # machines of the smallest type for classes not seen yet,
EXPECTED_IN_ALL = 4  # and at least as many in all zones together
LATE_BOOT_FACTOR = 1.6  # times the usual boot time: later than that, a machine is no capacity
PROBED_ON = 6  # machines: a job that failed on more of them and completed nothing gets no other
UNKNOWN_BOOT_S = 30.0  # until the catalogue is read
MOST_DONE = 0.9  # of a task's expected run time that one still running may have behind it
EPSILON = 1e-6


class TeamLimit:
    """What a team's limit still leaves to the jobs that come later in the order."""

    def __init__(self, cores: float, accelerators: float) -> None:
        self._cores = cores
        self._accelerators = accelerators

    def take(self, job: Job, tasks: int) -> None:
        self._cores -= tasks * job.cores
        self._accelerators -= tasks * job.accelerators

    def fitting(self, job: Job, tasks: int) -> int:
        """How many of the job's tasks may run at once."""
        if job.cores > 0:
            tasks = min(tasks, int((self._cores + EPSILON) / job.cores))
        if job.accelerators > 0:
            tasks = min(tasks, int((self._accelerators + EPSILON) / job.accelerators))
        return max(tasks, 0)


class DemandForecast:
    """Demands of the jobs that are known, and reserves for those that are not."""

    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        fleet: Fleet,
        view: ClusterView,
        machine_types: dict[int, protocol.MachineType],
        zones_down: Collection[int],
    ) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._view = view
        self._machine_types = machine_types
        self._zones_down = zones_down
        self._urgent = Arrivals()  # of jobs that must start soon
        self._services = Arrivals(ramps=True)
        # How soon they should start, by class.
        self._start_within_s: dict[int, float] = {}
        for objective in settings.cluster.objectives:
            if objective.kind == "wait":
                index = cluster_state.names.job_classes.index(objective.jobclass)
                soonest = self._start_within_s.get(index, objective.within_s)
                self._start_within_s[index] = min(soonest, objective.within_s)

    # ---- arrivals ----------------------------------------------------------------------------

    def fail_over(self, now: float) -> None:
        """Services that came under an earlier leader say what to expect, too."""
        wall = time.time()
        seen = [
            (now - (wall - job.accepted_at), job.task_count * job.cores)
            for job in self._cluster_state.jobs
            if job.is_service
        ]
        self._services = Arrivals(seen, ramps=True)

    def note_accepted(self, job: Job, now: float) -> None:
        if job.is_service:
            self._services.note(now, job.task_count * job.cores)
        elif job.job_class in self._start_within_s:
            self._urgent.note(now, job.task_count * job.cores)

    # ---- reserves ----------------------------------------------------------------------------

    def urgent_reserve(self, now: float) -> float:
        """Cores that jobs which must start soon are likely to ask for within a boot time."""
        return self._urgent.expected_cores(now, self._boot_s())

    def standing_reserve(self, now: float) -> float:
        """Cores for replicas of services that are likely to come or to be lost."""
        zones = len(self._open_zones())
        return standing_reserve(self._services, now, self._boot_s(), self._spread_cores(), zones)

    def _spread_cores(self) -> float:
        """Of services that are spread over all zones."""
        return sum(
            job.task_count * job.cores
            for job in self._cluster_state.open_jobs.values()
            if job.is_service
            and job.spread_zones
            and job.zone is None
            and not self._fleet.job_failures.is_suspect(job)
        )

    def _boot_s(self) -> float:
        boots = (machine_type.boot_s for machine_type in self._machine_types.values())
        return max(boots, default=UNKNOWN_BOOT_S)

    def _open_zones(self) -> list[int]:
        names = self._cluster_state.names.zones
        types = self._machine_types.values()
        zones = {names.index(zone) for machine_type in types for zone in machine_type.zones}
        return sorted(zone for zone in zones if zone not in self._zones_down)

    # ---- demands -----------------------------------------------------------------------------

    def demands(self, now: float) -> list[Demand]:
        limits = [TeamLimit(team.most_cores, team.most_accelerators) for team in self._view.teams]
        demands = self._expected()
        for turn in self._view.job_order():
            job = self._cluster_state.jobs[turn.job]
            limit = limits[job.team]
            unfinished = self._unfinished(job, now)
            if unfinished <= 0:
                continue
            if job.is_service:
                limit.take(job, job.task_count)
                demands += self._standing(job)
                continue
            tasks = limit.fitting(job, unfinished)
            limit.take(job, tasks)
            demands.append(self._of_array(job, tasks, unfinished, turn.due_at, now))
        return demands

    def _unfinished(self, job: Job, now: float) -> int:
        """Tasks that machines may be rented for."""
        unfinished = (
            job.task_count - job.done_count - len(self._fleet.finished_tasks.get(job.index, ()))
        )
        if now < job.retry_at:
            return 0
        if self._fleet.job_failures.is_suspect(job) and unfinished > 0:
            # Tried on what is there; only the first few tries may ask for a machine, in case
            # there is none and it was merely unlucky.
            failed_on = len(self._fleet.job_failures.failed_on(job))
            return 0 if failed_on > PROBED_ON else 1
        return unfinished

    def _of_array(self, job: Job, tasks: int, unfinished: int, due_at: float, now: float) -> Demand:
        run_s = self._view.estimates.run_s(job)
        work_s = unfinished * run_s - sum(job.checkpointed_s.values())
        for attempt in job.live_attempts.values():
            if attempt.running_at:
                work_s -= min(run_s * MOST_DONE, now - attempt.running_at)
        return Demand(
            tasks=tasks,
            work_s=max(work_s, 0.0),
            deadline_in_s=due_at - time.time(),
            cores=job.cores,
            accelerators=job.accelerators,
            ram_gb=job.ram_gb,
            machine_types=job.machine_types,
            zone=job.zone,
            spot=job.spot_allowed,
            waiting=job.pending_count > 0,
            no_goal=not self._view.has_goals(job),
        )

    def _standing(self, job: Job) -> list[Demand]:
        """Room for all replicas, always. Spread over zones there has to be some in each."""
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
                spot=job.spot_allowed,
                standing=True,
            )
            for zone, tasks in self._replicas_by_zone(job).items()
            if tasks > 0
        ]

    def _replicas_by_zone(self, job: Job) -> dict[int | None, int]:
        zones = self._open_zones()
        if not job.spread_zones or job.zone is not None or not zones:
            return {job.zone: job.task_count}
        count = len(zones)
        # Which zone gets one more than the others differs from job to job.
        return {
            zones[(at + job.index) % count]: (job.task_count + count - 1 - at) // count
            for at in range(count)
        }

    def _expected(self) -> list[Demand]:
        """A little room on ordinary machines in each zone for classes that have to start before a
        machine counts as late, and of which nobody has seen a job: they may not use cheap ones.

        Judged by the usual boot time, the first services of a class waited a minute when boots
        were slow.
        """
        if not self._cluster_state.open_jobs or not self._unseen_urgent_class():
            return []
        types = self._machine_types.values()
        smallest = min(
            types, key=lambda machine_type: (machine_type.cores, machine_type.on_demand_price)
        )
        names = self._cluster_state.names.zones
        in_all = math.ceil(EXPECTED_IN_ALL / max(1, len(smallest.zones)))
        return [
            Demand(
                tasks=max(EXPECTED_IN_ZONE, in_all),
                work_s=0.0,
                deadline_in_s=0.0,
                cores=smallest.cores,
                accelerators=0.0,
                ram_gb=smallest.ram_gb,
                machine_types=None,
                zone=names.index(zone),
                spot=False,
                standing=True,
            )
            for zone in smallest.zones
            if names.index(zone) not in self._zones_down
        ]

    def _unseen_urgent_class(self) -> bool:
        boots = (machine_type.boot_s for machine_type in self._machine_types.values())
        late_s = LATE_BOOT_FACTOR * min(boots, default=0.0)
        seen = {job.job_class for job in self._cluster_state.jobs}
        return any(
            within_s <= late_s and index not in seen
            for index, within_s in self._start_within_s.items()
        )
