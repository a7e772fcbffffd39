"""Planning of one round: which tasks start on which machines, and which are preempted."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from petrelthread.fleet import Fleet
from petrelthread.scheduling.bin_packing import (
    MAX_TASKS_PER_ROUND,
    JobPlacement,
    PlacementResult,
    place_requests,
)
from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.cluster_view import ClusterView
from petrelthread.scheduling.free_capacity import FreeCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.preemption_planner import PlacedRound, PreemptionPlanner
from petrelthread.scheduling.queue_entry import QueuedJob
from petrelthread.scheduling.quota import QuotaHeadroom, TeamUsage
from petrelthread.scheduling.reservations import reserve_machines
from petrelthread.scheduling.start_validator import Start
from petrelthread.settings import Settings
from petrelthread.state import Attempt, ClusterState, Job
from petrelthread.step_timer import timed_step

log = logging.getLogger(__name__)


class RoundDecision(NamedTuple):
    """The starts and preemptions that one round decides.

    ``is_complete`` is False if the time budget or the limit on tasks ended the placement before all
    requests were examined.
    """

    starts: list[Start]
    preemptions: list[Attempt]
    is_complete: bool = True


@dataclass
class _RoundRequests:
    """The placement requests of one round.

    Attributes:
        overdue: requests for one task of each overdue job; they are placed before all others.
        regular: requests for all other tasks, in scheduling order.
        guaranteed: by job index, whether the job lies within its team's guarantee.
    """

    overdue: list[PlacementRequest] = field(default_factory=list)
    regular: list[PlacementRequest] = field(default_factory=list)
    guaranteed: dict[int, bool] = field(default_factory=dict)


class RoundPlanner:
    """Plans rounds; it starts, stops and claims nothing itself.

    ``reserved_machines`` maps the index of an overdue job to the machine that is reserved for it.
    """

    def __init__(
        self, settings: Settings, cluster_state: ClusterState, fleet: Fleet, view: ClusterView
    ) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._view = view
        self._preemption_planner = PreemptionPlanner(settings, cluster_state, fleet)
        self._resume_position = 0  # position of the request that the next round places first
        self.reserved_machines: dict[int, int] = {}

    def begin_epoch(self) -> None:
        """Discard the reservations and the resume position of the previous epoch."""
        self._resume_position = 0
        self.reserved_machines.clear()

    def decide(self, order: list[QueuedJob], now: float, budget_s: float) -> RoundDecision:
        """Decide which tasks to start and which attempts to preempt.

        Args:
            order: the open jobs in scheduling order; some may have finished since.
            now: event loop time in seconds.
            budget_s: time after which the round places no further request.
        """
        requests = self._collect_requests(order, now)
        if not requests.overdue and not requests.regular:
            return RoundDecision([], [])
        capacity = self._view.free_capacity()
        try:
            return self._decide(requests, capacity, now, budget_s)
        finally:
            capacity.discard_decisions()

    def _decide(
        self, round_requests: _RoundRequests, capacity: FreeCapacity, now: float, budget_s: float
    ) -> RoundDecision:
        usage = self._view.team_usage()
        quotas = self._quota_headroom(usage)
        self._update_reservations(round_requests.overdue, capacity.usable, quotas)
        reserved = set(self.reserved_machines.values())
        for machine_index in reserved:
            capacity.usable.withhold(machine_index)
        requests = round_requests.overdue + round_requests.regular
        result = self._place(requests, capacity, quotas, budget_s)
        starts = self._assign_tasks(result.placed)
        if not result.is_complete:
            return RoundDecision(starts, [], is_complete=False)
        placed_round = PlacedRound(
            requests=requests,
            guaranteed=round_requests.guaranteed,
            placed=result.task_counts(),
            quotas=quotas,
            usage=usage,
            capacity=capacity,
            reserved=reserved,
        )
        with timed_step("preemption for %d requests", len(requests)):
            return RoundDecision(starts, self._preemption_planner.plan(placed_round, now))

    # ---- requests -----------------------------------------------------------------------------

    def _collect_requests(self, order: list[QueuedJob], now: float) -> _RoundRequests:
        """Collect the placement requests of the open jobs, in scheduling order."""
        requests = _RoundRequests()
        for queued in order:
            job = self._cluster_state.open_jobs.get(queued.job_index)
            if job is None:
                continue
            requests.guaranteed[queued.job_index] = queued.guaranteed
            if job.is_gang and job.live_attempts:
                continue  # a gang starts as a whole, after all its live attempts have ended
            if now < job.retry_at:
                continue
            request = self._view.placement_request(job)
            if request.pending > 0:
                self._add_request(requests, job, request, queued.overdue)
        return requests

    def _add_request(
        self, requests: _RoundRequests, job: Job, request: PlacementRequest, overdue: bool
    ) -> None:
        if job.is_gang:
            requests.regular.append(request)
        elif self._fleet.job_failures.is_suspect(job):
            if not job.live_attempts:  # one task at a time shows whether the job can run at all
                requests.regular.append(request._replace(pending=1))
        elif overdue:
            # One task is placed before all other jobs, the other tasks at the job's position in
            # the scheduling order. Both requests share the occupancy of the job.
            pending = request.pending
            requests.overdue.append(request._replace(pending=1, zone_choice_tasks=pending))
            requests.regular.append(request._replace(pending=pending - 1))
        else:
            requests.regular.append(request)

    def _quota_headroom(self, usage: list[TeamUsage]) -> list[QuotaHeadroom]:
        """Compute the quota headroom of each team, by team index."""
        return [
            QuotaHeadroom(team.max_cores - used.cores, team.max_accelerators - used.accelerators)
            for team, used in zip(self._view.teams, usage, strict=False)
        ]

    def _update_reservations(
        self,
        overdue: list[PlacementRequest],
        index: CapacityIndex,
        quotas: list[QuotaHeadroom],
    ) -> None:
        previous = self.reserved_machines
        self.reserved_machines = reserve_machines(
            overdue, index, self._view.fitting_machine_types, quotas, previous
        )
        for job_index, machine_index in self.reserved_machines.items():
            if previous.get(job_index) != machine_index:
                log.info(
                    "machine %s is reserved for overdue job %s, whose tasks fit on no machine now",
                    self._fleet.machines[machine_index].name,
                    self._cluster_state.jobs[job_index].id,
                )

    # ---- placement ----------------------------------------------------------------------------

    def _place(
        self,
        requests: list[PlacementRequest],
        capacity: FreeCapacity,
        quotas: list[QuotaHeadroom],
        budget_s: float,
    ) -> PlacementResult:
        """Place requests on usable machines, then the unplaced tasks on cordoned spot machines."""
        clock = asyncio.get_running_loop().time
        stop_at = clock() + budget_s
        with timed_step("placement of %d requests", len(requests)):
            result = place_requests(
                requests, capacity.usable, quotas, self._resume_position, lambda: clock() >= stop_at
            )
        self._resume_position = result.resume_position
        if not result.is_complete or not capacity.cordoned_spot.machines:
            return result
        task_counts = result.task_counts()
        remaining = _remaining_requests(requests, task_counts)
        on_cordoned_spot = place_requests(
            remaining,
            capacity.cordoned_spot,
            quotas,
            max_tasks=MAX_TASKS_PER_ROUND - task_counts.total(),
        )
        return PlacementResult(
            result.placed + on_cordoned_spot.placed, is_complete=on_cordoned_spot.is_complete
        )

    def _assign_tasks(self, placed: list[JobPlacement]) -> list[Start]:
        """Assign a pending task of the job to each machine that was chosen for the job."""
        startable: dict[int, Iterator[int]] = {}
        starts = []
        for job_index, machines in placed:
            job = self._cluster_state.jobs[job_index]
            if job_index not in startable:
                startable[job_index] = self._startable_tasks(job)
            tasks = startable[job_index]
            starts += [
                Start(job, next(tasks), self._fleet.machines[machine_index])
                for machine_index in machines
            ]
        return starts

    def _startable_tasks(self, job: Job) -> Iterator[int]:
        """Pending tasks, without those that are reported finished but not recorded yet."""
        finished = self._fleet.finished_tasks.get(job.index, set())
        return (task for task in job.pending_tasks() if task not in finished)


def _remaining_requests(
    requests: list[PlacementRequest], placed: Counter[int]
) -> list[PlacementRequest]:
    """Requests for the unplaced tasks of jobs without constraints between their tasks.

    ``placed``: by job index, the number of tasks placed so far.
    """
    return [
        request._replace(pending=request.pending - placed[request.job_index])
        for request in requests
        if request.pending > placed[request.job_index]
        and not request.single_zone
        and not request.spread_zones
        and not request.all_or_nothing
    ]
