"""The leader's rounds: decide, claim, and only then send."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from petrelthread import protocol
from petrelthread.fleet import CommandDispatcher, Fleet
from petrelthread.leadership import ClaimOutcome, ClaimWriter
from petrelthread.scheduling.bin_packing import place_requests
from petrelthread.scheduling.capacity_index import RoomIndex
from petrelthread.scheduling.cluster_view import ClusterView
from petrelthread.scheduling.free_capacity import FreeRoom
from petrelthread.scheduling.preemption_planner import PreemptionPlanner
from petrelthread.scheduling.reservations import reserve_machines
from petrelthread.scheduling.round_claim import ClaimBuilder, RoundClaim
from petrelthread.scheduling.slot import PlacementRequest, QuotaHeadroom
from petrelthread.scheduling.start_log import StartLog
from petrelthread.scheduling.start_validator import Start, StartValidator
from petrelthread.settings import Settings
from petrelthread.state import (
    RECORDS_PER_EPOCH,
    TASK_FINISHED,
    Attempt,
    ClusterState,
    FinishedTasksRecord,
    Job,
    OperationState,
    decode_round,
    epoch_base_number,
)

log = logging.getLogger(__name__)

MIN_RECORD_NUMBERS_LEFT = 4096  # of an epoch's record numbers: the leader then asks for a new epoch


@dataclass
class RoundRequests:
    """What one round is asked to place."""

    late: list[PlacementRequest] = field(default_factory=list)  # one task each of overdue jobs
    in_turn: list[PlacementRequest] = field(default_factory=list)
    guaranteed: dict[int, bool] = field(default_factory=dict)  # by job: within its guarantee


class Scheduler:
    """Decides, claims and dispatches one round after the other; only the leader runs it."""

    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        fleet: Fleet,
        claims: ClaimWriter,
        dispatch: CommandDispatcher,
        view: ClusterView,
        refresh: Callable[[], Awaitable[bool]],
        spare_writes: Callable[[float], int],
    ) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._claims = claims
        self._dispatch = dispatch
        self._view = view
        self._stops = PreemptionPlanner(settings, cluster_state, fleet, view)
        self._start_log = StartLog(cluster_state, fleet)
        self._refresh = refresh
        self._number = 0
        self._cursor = 0
        self.reserved_machines: dict[
            int, int
        ] = {}  # by job that should have begun: the machine kept for it
        self.obsolete_keys: list[str] = []  # records that are settled, to be dropped
        # Rounds whose claim is not answered yet, with the record once a watch has shown it.
        self._under_claim: dict[int, Any] = {}
        self._check = StartValidator(cluster_state, fleet, settings.cluster.teams)
        self.builder = ClaimBuilder(
            settings.cluster.state,
            cluster_state,
            fleet,
            self._check,
            self.next_number,
            spare_writes,
            self.obsolete_keys,
        )
        self.round_interval_s = 0.25
        self.round_budget_s = 0.05
        self.wake = asyncio.Event()

    def fail_over(self, epoch: int) -> None:
        self._number = epoch_base_number(epoch)
        self._cursor = 0
        self.reserved_machines.clear()
        self.obsolete_keys.clear()

    def next_number(self) -> int:
        """Never used before: the epoch is ours alone."""
        self._number += 1
        return self._number

    # ---- one round --------------------------------------------------------------------------

    def decide(self, now: float) -> tuple[list[Start], list[Attempt]]:
        """What to start, and what to stop to make room."""
        wanted = self._requests(now)
        requests = wanted.late + wanted.in_turn
        if not requests:
            return [], []
        room = self._view.free_capacity()
        try:
            return self._decide(wanted, requests, room, now)
        finally:
            room.drop_decisions()

    def _decide(
        self,
        wanted: RoundRequests,
        requests: list[PlacementRequest],
        room: FreeRoom,
        now: float,
    ) -> tuple[list[Start], list[Attempt]]:
        use = self._view.team_usage()
        teams = self._headroom(use)
        self._reserve_machines(wanted.late, room.usable, teams)
        reserved = set(self.reserved_machines.values())
        for machine_index in reserved:
            room.usable.withhold(machine_index)
        placed, complete = self._place(requests, room, teams)
        starts = self._starts(placed)
        if not complete:
            return starts, []
        machines: dict[int, list[int]] = {}  # by job: those that got a task of it
        for job_index, machine_index in placed:
            machines.setdefault(job_index, []).append(machine_index)
        stops = self._stops.make_room(
            requests, wanted.guaranteed, machines, teams, room, use, reserved, now
        )
        return starts, stops

    def _requests(self, now: float) -> RoundRequests:
        """What the open jobs want placed, in the order in which they are served."""
        wanted = RoundRequests()
        for index, inside, _, overdue in self._view.job_order():
            job = self._cluster_state.jobs[index]
            wanted.guaranteed[index] = inside
            if job.is_gang and job.live_attempts:
                continue  # its other tasks are still there: they end, and all start anew together
            if now < job.retry_at:
                continue
            request = self._view.request(job)
            if request.pending <= 0:
                continue
            if self._fleet.job_failures.is_suspect(job) and not job.is_gang:
                if not job.live_attempts:
                    wanted.in_turn.append(request._replace(pending=1))
                continue
            if overdue and not job.is_gang:
                # It should have begun: one task goes before all else, the others in turn. Both
                # requests share the account of where the job's tasks are.
                wanted.late.append(request._replace(pending=1, zone_tasks=request.pending))
                request = request._replace(pending=request.pending - 1)
            wanted.in_turn.append(request)
        return wanted

    def _headroom(self, use: list[tuple[float, float]]) -> list[QuotaHeadroom]:
        """What each team may still use; ``use``: cores and accelerators that it uses now."""
        return [
            QuotaHeadroom(team.most_cores - cores, team.most_accelerators - accelerators)
            for team, (cores, accelerators) in zip(self._view.teams, use, strict=False)
        ]

    def _place(
        self,
        requests: list[PlacementRequest],
        room: FreeRoom,
        teams: list[QuotaHeadroom],
    ) -> tuple[list[tuple[int, int]], bool]:
        """Job and machine of each task placed, and whether all requests were looked at.

        What is left goes on surplus machines, but for jobs with rules about where their tasks are
        in relation to each other.
        """
        clock = asyncio.get_running_loop().time
        stop_at = clock() + self.round_budget_s
        done = place_requests(
            requests, room.usable, teams, self._cursor, lambda: clock() >= stop_at
        )
        self._cursor = done.next_start
        if done.next_start:
            self.wake.set()
            return done.placed, False
        if not room.surplus.slots:
            return done.placed, True
        so_far = Counter(job_index for job_index, _ in done.placed)
        rest = [
            request._replace(pending=request.pending - so_far[request.job])
            for request in requests
            if request.pending > so_far[request.job]
            and not request.single_zone
            and not request.spread_zones
            and not request.all_or_nothing
        ]
        return done.placed + place_requests(rest, room.surplus, teams).placed, True

    def _starts(self, placed: list[tuple[int, int]]) -> list[Start]:
        """Which task of each job goes to each of its machines."""
        tasks: dict[int, Iterator[int]] = {}
        starts = []
        for job_index, machine_index in placed:
            job = self._cluster_state.jobs[job_index]
            if job_index not in tasks:
                finished = self._fleet.finished_tasks.get(job_index, set())
                tasks[job_index] = (t for t in job.pending_tasks() if t not in finished)
            machine = self._fleet.machines[machine_index]
            starts.append(Start(job, next(tasks[job_index]), machine))
        return starts

    def _reserve_machines(
        self, late: list[PlacementRequest], room: RoomIndex, teams: list[QuotaHeadroom]
    ) -> None:
        before = self.reserved_machines
        self.reserved_machines = reserve_machines(
            late, room, self._view.types_that_fit, teams, before
        )
        for job, machine in self.reserved_machines.items():
            if before.get(job) != machine:
                log.info(
                    "machine %s is kept for %s, which should have begun and fits nowhere",
                    self._fleet.machines[machine].name,
                    self._cluster_state.jobs[job].id,
                )

    async def run_round(self, now: float) -> bool:
        """Decide and claim once. True if there is more to write at once."""
        stops = self._stops.drain_noticed_machines(now)
        starts, preempted = self.decide(now)
        claim = self.builder.build(starts, stops + preempted, now)
        if not claim.operations:
            return False
        outcome, failed = await self._claim(claim)
        log.debug(
            "round %s of epoch %d: claim %s; %d starts, %d stops, decided at %.3f s",
            claim.marker,
            self._fleet.epoch,
            outcome.value,
            len(starts),
            len(claim.stops),
            now,
        )
        if outcome is ClaimOutcome.FENCED:
            return False
        if outcome is ClaimOutcome.CONFLICT:
            # A job was cancelled in between (or an earlier, unanswered claim of ours did count):
            # only the state service can say which.
            log.info("claim clashed on %s", ", ".join(failed))
            return await self._refresh()
        self._apply_claim(claim, now)
        return claim.more or bool(self._fleet.finished_tasks)

    async def _claim(self, claim: RoundClaim) -> tuple[ClaimOutcome, tuple[str, ...]]:
        self._under_claim = dict.fromkeys(number for number, _ in claim.rounds)
        try:
            outcome, failed = await self._claims.claim(
                claim.operations, claim.marker, tuple(claim.absent_keys)
            )
        finally:
            shown, self._under_claim = self._under_claim, {}
        if outcome is not ClaimOutcome.COMMITTED:
            for number, record in shown.items():
                if record is not None:
                    self._apply_given_up(number, record, outcome)
        return outcome, failed

    def defer_record(self, number: int, record: Any) -> bool:
        """A watch shows a round's record. True if its claim is still unanswered here, so that the
        answer, which is on its way, decides what becomes of it.

        Taken for a late copy of a settled round, more than half of the rounds of a calm day were
        struck out a moment before they were won, and nothing of them was sent.
        """
        if number not in self._under_claim:
            return False
        self._under_claim[number] = record
        return True

    def _apply_given_up(self, number: int, record: Any, outcome: ClaimOutcome) -> None:
        """The round counts although its claim was given up, so nothing of it was sent."""
        if outcome is ClaimOutcome.FENCED:
            # As any other controller takes it.
            self._cluster_state.apply_round(number, decode_round(record))
        else:
            self._cluster_state.settle_unsent_round(number)

    def record_numbers_left(self) -> int:
        """How many records this epoch may still write; numbers are never used twice."""
        return epoch_base_number(self._fleet.epoch) + RECORDS_PER_EPOCH - 1 - self._number

    # ---- what a won claim changes -----------------------------------------------------------

    def _apply_claim(self, claim: RoundClaim, now: float) -> None:
        for key in claim.dropped:
            self._dropped(key)
        self._cluster_state.machines_by_failing_job.update(claim.suspects)
        for job in claim.completed:
            self._complete(job)
        if claim.done_number:
            self._cluster_state.apply_finished_tasks(claim.done_number, claim.done_record)
            self._forget_finished(claim.done_record)
        unsent = self._no_longer_allowed(claim)
        launched: list[Attempt] = []
        for number, record in claim.rounds:
            launched += self._cluster_state.apply_round(
                number, record, OperationState.DISPATCHING, unsent
            )
        for attempt in launched:
            attempt.job.last_start_at = time.time()
            self._start_log.write(attempt)
        stopped = [attempt for attempt in claim.stops if attempt.stop_requested_at]
        for attempt in stopped:
            attempt.stop_requested_at = now
        self._dispatch.send(launched, stopped)

    def _no_longer_allowed(self, claim: RoundClaim) -> set[tuple[int, int]]:
        """Starts of the claim that what came in while it was under way forbids: they are on record
        and are not sent. A report may have shown the task elsewhere, or the machine be lost."""
        _, refused = self._check.check(claim.starts)
        for start, violation in refused:
            log.info(
                "start of %s/%d on %s is not sent: %s since it was decided",
                start.job.id,
                start.task,
                start.machine.name,
                violation.value,
            )
        return {(start.job.index, start.task) for start, _ in refused}

    def _complete(self, job: Job) -> None:
        self._fleet.finished_tasks.pop(job.index, None)
        for attempt in list(job.live_attempts.values()):
            self._cluster_state.release(attempt, done=True)
        self._cluster_state.set_final_status(job.id, protocol.JobStatus.DONE)
        log.debug(
            "done %s (%s of %s): %d tasks, %.1f s after it was accepted, %.1f s at best",
            job.id,
            self._cluster_state.names.job_classes.name(job.job_class),
            self._cluster_state.names.teams.name(job.team),
            job.task_count,
            time.time() - job.accepted_at,
            self._view.wave_count(job, job.task_count) * self._view.estimates.run_s(job),
        )

    def _dropped(self, key: str) -> None:
        kind, _, number = key.partition("/")
        if kind == "r":
            self._cluster_state.attempts_by_round.pop(int(number), None)
        elif kind == "d":
            self._cluster_state.open_jobs_by_done_record.pop(int(number), None)
        elif kind == "s":
            self._cluster_state.machines_by_failing_job.pop(number, None)
        elif key in self.obsolete_keys:
            self.obsolete_keys.remove(key)

    def _forget_finished(self, record: FinishedTasksRecord) -> None:
        for finished in record:
            job = self._cluster_state.jobs_by_id[finished.job_id]
            tasks = self._fleet.finished_tasks.get(job.index)
            if tasks is None:
                continue
            left = {
                task
                for task in tasks
                if job.final_status is None and job.task_states[task] != TASK_FINISHED
            }
            if left:
                self._fleet.finished_tasks[job.index] = left
            else:
                del self._fleet.finished_tasks[job.index]
