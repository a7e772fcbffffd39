"""Which running tasks a round preempts, for services and for jobs that have waited too long."""

from __future__ import annotations

import logging
import math
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from petrelthread import protocol
from petrelthread.fleet import Fleet
from petrelthread.scheduling.bin_packing import MAX_TASKS_PER_ROUND
from petrelthread.scheduling.free_capacity import FreeCapacity
from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.preemption_candidates import (
    MachineRotation,
    preemptible_tasks,
    stopping_attempts,
)
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim, ranks_above
from petrelthread.scheduling.quota import QuotaHeadroom, TeamUsage
from petrelthread.scheduling.replica_preemption import ReplicaVictimSelector
from petrelthread.scheduling.victim_selection import choose_victims
from petrelthread.settings import Settings, Team
from petrelthread.state import Attempt, ClusterState, Job

log = logging.getLogger(__name__)

# How long a job waits before tasks are preempted for it: ``PREEMPTION_DELAY_SHARE`` of the start
# objective of its class, or the default if the class has none.
DEFAULT_PREEMPTION_DELAY_S = 10.0
PREEMPTION_DELAY_SHARE = 0.2


@dataclass(frozen=True)
class PlacedRound:
    """State of a round after placement.

    Attributes:
        requests: all requests of the round, in scheduling order.
        guaranteed: by job index, whether the job lies within its team's guarantee.
        placed: by job index, how many of its tasks were placed.
        quotas: by team index, the quota headroom that is left.
        usage: by team index, what the team used before the round.
        capacity: the free capacity that is left; ``capacity.usable`` lacks the reserved machines.
        reserved: machines that are reserved for overdue jobs.
    """

    requests: list[PlacementRequest]
    guaranteed: dict[int, bool]
    placed: Counter[int]
    quotas: list[QuotaHeadroom]
    usage: list[TeamUsage]
    capacity: FreeCapacity
    reserved: set[int]


class PreemptionPlanner:
    """Plans preemptions; later rounds place tasks on the capacity that they free."""

    def __init__(self, settings: Settings, cluster_state: ClusterState, fleet: Fleet) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._teams = settings.cluster.teams
        self._rotation = MachineRotation()
        self._preemption_delay_s = _preemption_delay_by_class(settings, cluster_state)

    def plan(self, placed_round: PlacedRound, now: float) -> list[Attempt]:
        """Choose the attempts to stop; ``count_preemptions`` counts those that are claimed."""
        cores_over_guarantee = _cores_over_guarantee(placed_round.usage, self._teams)
        for_replicas = self._plan_for_replicas(placed_round, cores_over_guarantee, now)
        return for_replicas or self._plan_for_first_job(placed_round, cores_over_guarantee, now)

    def _plan_for_replicas(
        self, placed_round: PlacedRound, cores_over_guarantee: list[float], now: float
    ) -> list[Attempt]:
        """Preempt for all missing replicas in one round: a service needs them without delay."""
        shortfalls = self._replica_shortfalls(placed_round)
        if not shortfalls:
            return []
        machines = {
            machine_index: machine.copy()
            for machine_index, machine in placed_round.capacity.machines().items()
            if machine_index not in placed_round.reserved
        }
        for attempt in stopping_attempts(self._cluster_state, now):
            machine = machines.get(attempt.machine)
            if machine is not None:
                job = attempt.job
                machine.release(job.cores, job.accelerators, job.ram_gb)
        victims = self._preemptible_tasks(now)
        selector = ReplicaVictimSelector(machines, victims, cores_over_guarantee)
        attempts = []
        for shortfall in shortfalls:
            job = self._cluster_state.jobs[shortfall.request.job_index]
            attempts += self._preempt(selector.select_victims(shortfall), job)
        return attempts

    def _preemptible_tasks(self, now: float) -> list[Victim]:
        machines = self._rotation.next_machines(self._cluster_state)
        return preemptible_tasks(self._cluster_state, machines, now)

    def _replica_shortfalls(self, placed_round: PlacedRound) -> list[CapacityShortfall]:
        """Find the missing replicas, at most ``MAX_TASKS_PER_ROUND``.

        Subtracts them from the quota headroom.
        """
        shortfalls = []
        tasks_left = MAX_TASKS_PER_ROUND
        unattributed = placed_round.placed.copy()
        for request in placed_round.requests:
            job = self._cluster_state.jobs[request.job_index]
            if not job.is_service:
                continue
            missing = _missing_tasks(request, unattributed, placed_round.quotas)
            missing = min(missing, tasks_left)
            if missing <= 0 or request.single_zone or self._fleet.job_failures.is_suspect(job):
                continue
            tasks_left -= missing
            placed_round.quotas[request.team].take(request, missing)
            guaranteed = placed_round.guaranteed[request.job_index]
            shortfalls.append(CapacityShortfall(request, job.priority, guaranteed, missing))
        return shortfalls

    def _plan_for_first_job(
        self, placed_round: PlacedRound, cores_over_guarantee: list[float], now: float
    ) -> list[Attempt]:
        """Preempt for the first job that has waited too long and for which there are victims."""
        victims: list[Victim] | None = None
        machines: dict[int, MachineCapacity] = {}
        for shortfall in self._batch_shortfalls(placed_round):
            if victims is None:
                if stopping_attempts(self._cluster_state, now):
                    return []  # capacity of tasks that are already stopping is used first
                victims = [
                    victim
                    for victim in self._preemptible_tasks(now)
                    if victim.machine_index not in placed_round.reserved
                ]
                machines = placed_round.capacity.machines()
            candidates = [
                victim
                for victim in victims
                if ranks_above(shortfall, victim, placed_round.guaranteed)
            ]
            chosen = choose_victims(shortfall, candidates, machines, cores_over_guarantee)
            job = self._cluster_state.jobs[shortfall.request.job_index]
            attempts = self._preempt(chosen, job)
            if attempts:
                return attempts
        return []

    def _batch_shortfalls(self, placed_round: PlacedRound) -> Iterator[CapacityShortfall]:
        """Yield the missing tasks of each batch job for which tasks may now be preempted."""
        unattributed = placed_round.placed.copy()
        for request in placed_round.requests:
            job = self._cluster_state.jobs[request.job_index]
            if job.is_service or self._fleet.job_failures.is_suspect(job):
                continue
            missing = _missing_tasks(request, unattributed, placed_round.quotas)
            guaranteed = placed_round.guaranteed[request.job_index]
            if (
                missing > 0
                and self._may_preempt_for(job, guaranteed)
                and not request.single_zone
                and not request.spread_zones
            ):
                yield CapacityShortfall(request, job.priority, guaranteed, missing)

    def _may_preempt_for(self, job: Job, guaranteed: bool) -> bool:
        """Whether the job has waited too long and is guaranteed or of high priority.

        The wait begins with the job's most recent start: a job that still gets capacity as it
        becomes free needs no preemption.
        """
        waiting_s = time.time() - max(job.accepted_at, job.last_start_at)
        if waiting_s < self._preemption_delay_s.get(job.job_class, DEFAULT_PREEMPTION_DELAY_S):
            return False
        return guaranteed or job.priority >= protocol.PRIORITIES["high"]

    def _preempt(self, victims: list[Victim], job: Job) -> list[Attempt]:
        """Return the victims' attempts, which are to be stopped for ``job``."""
        attempts = []
        for victim in victims:
            victim_job = self._cluster_state.jobs[victim.job_index]
            attempt = victim_job.live_attempts.get(victim.task)
            if attempt is None:
                continue
            attempts.append(attempt)
            log.info("preempting task %s/%d for job %s", victim_job.id, attempt.task, job.id)
        return attempts


def count_preemptions(preempted: list[Attempt]) -> None:
    """Count the preemptions whose stops a committed claim has recorded.

    A claim that fails, or has no room for all stops, leaves some attempts running.
    """
    for attempt in preempted:
        if attempt.stop_requested_at:
            counts = attempt.job.preemption_counts
            counts[attempt.task] = counts.get(attempt.task, 0) + 1


def _preemption_delay_by_class(settings: Settings, cluster_state: ClusterState) -> dict[int, float]:
    """How long a job waits before tasks are preempted for it, in seconds, by job class.

    If a class has several objectives for the start, the shortest one applies.
    """
    delay_by_class: dict[int, float] = {}
    for objective in settings.cluster.objectives:
        if objective.kind == "wait":
            job_class = cluster_state.names.job_classes.index(objective.jobclass)
            delay_s = PREEMPTION_DELAY_SHARE * objective.within_s
            delay_by_class[job_class] = min(delay_s, delay_by_class.get(job_class, math.inf))
    return delay_by_class


def _cores_over_guarantee(usage: list[TeamUsage], teams: tuple[Team, ...]) -> list[float]:
    """Cores that each team uses beyond its guarantee, by team index; negative if it uses fewer."""
    return [used.cores - team.cpus for used, team in zip(usage, teams, strict=False)]


def _missing_tasks(
    request: PlacementRequest, unattributed: Counter[int], quotas: list[QuotaHeadroom]
) -> int:
    """Number of the request's unplaced tasks that the team's quota allows.

    ``unattributed``: by job index, the tasks placed in this round that are not yet attributed to a
    request of the job. An overdue job makes two requests; each placed task counts for one of them.
    """
    placed = min(request.pending, unattributed[request.job_index])
    if placed:
        unattributed[request.job_index] -= placed
    return min(request.pending - placed, quotas[request.team].max_tasks(request))
