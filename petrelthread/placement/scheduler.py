"""The leader's rounds: decide, claim, and only then send."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from petrelthread import wire
from petrelthread.fleet import Dispatch, Fleet, Machine
from petrelthread.ledger import (
    FINISHED,
    STOPS,
    Attempt,
    Book,
    Claims,
    Job,
    Op,
    Outcome,
    pack_done,
    pack_round,
)
from petrelthread.placement.place import PlacementRequest, QuotaHeadroom, Slot, place
from petrelthread.placement.reservations import reserve_machines
from petrelthread.placement.start_check import Start, StartCheck
from petrelthread.placement.stops import Stops
from petrelthread.placement.view import View
from petrelthread.settings import Settings
from petrelthread.store import ROOT

log = logging.getLogger(__name__)

CONDITIONS = 4  # of a transaction, for each change that it may make
FENCE = 3  # conditions that each claim has anyway: lead, epoch and its marker
EPOCH_SHIFT = 20  # a round's number is ``epoch << EPOCH_SHIFT | serial``
KEPT_FOR_STARTS = 3  # changes of a transaction that the ends of jobs leave to the rest


@dataclass
class RoundClaim:
    """What one round writes in one transaction, and what follows once it is won."""

    stops: list[Attempt]
    ops: list[dict[str, Any]] = field(default_factory=list)
    absent: list[str] = field(default_factory=list)  # keys that must not exist
    marker: str | None = None  # the key that proves that the claim was applied
    completed: list[Job] = field(default_factory=list)
    done_number: int = 0
    done_record: list[Any] = field(default_factory=list)
    rounds: list[tuple[int, Any]] = field(default_factory=list)  # number and record
    suspects: dict[str, list[str]] = field(default_factory=dict)
    dropped: list[str] = field(default_factory=list)
    more: bool = False  # some of it had to wait for the next round


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
        book: Book,
        fleet: Fleet,
        claims: Claims,
        dispatch: Dispatch,
        view: View,
        refresh: Callable[[], Awaitable[bool]],
        spare_writes: Callable[[float], int],
    ) -> None:
        self._book = book
        self._fleet = fleet
        self._claims = claims
        self._dispatch = dispatch
        self._view = view
        self._stops = Stops(settings, book, fleet, view)
        self.check = StartCheck(book, fleet, settings.cluster.teams)
        self._refresh = refresh
        self._spare_writes = spare_writes
        state = settings.cluster.state
        self._value_most = int(state.value_kb * 1024 * 0.85)
        self._ops_most = state.txn_ops
        self._number = 0
        self._cursor = 0
        self.reserved: dict[int, int] = {}  # by job that should have begun: the machine kept for it
        self.dead_keys: list[str] = []  # records that are settled, to be dropped
        self.gap_s = 0.25
        self.budget_s = 0.05
        self.wake = asyncio.Event()

    def take_over(self, epoch: int) -> None:
        self._number = epoch << EPOCH_SHIFT
        self._cursor = 0
        self.reserved.clear()
        self.dead_keys.clear()

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
        slots, surplus = self._view.slots(min(request.cores for request in requests))
        use = self._view.team_use()
        teams = self._headroom(use)
        self._reserve_machines(wanted.late, teams)
        reserved = set(self.reserved.values())
        slots = {index: slot for index, slot in slots.items() if index not in reserved}
        placed, complete = self._place(requests, list(slots.values()), surplus, teams)
        starts = self._starts(placed)
        if not complete:
            return starts, []
        machines: dict[int, list[int]] = {}  # by job: those that got a task of it
        for job_index, machine_index in placed:
            machines.setdefault(job_index, []).append(machine_index)
        stops = self._stops.for_room(
            requests, wanted.guaranteed, machines, teams, slots, use, reserved, now
        )
        return starts, stops

    def _requests(self, now: float) -> RoundRequests:
        """What the open jobs want placed, in the order in which they are served."""
        wanted = RoundRequests()
        for index, inside, _, overdue in self._view.turns():
            job = self._book.jobs[index]
            wanted.guaranteed[index] = inside
            if job.gang and job.live:
                continue  # its other tasks are still there: they end, and all start anew together
            if job.pending <= 0 or now < job.not_before:
                continue
            request = self._view.request(job)
            if self._fleet.suspect(job) and not job.gang:
                if not job.live:
                    wanted.in_turn.append(request._replace(pending=1))
                continue
            if overdue and not job.gang:
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
        free: list[Slot],
        surplus: list[Slot],
        teams: list[QuotaHeadroom],
    ) -> tuple[list[tuple[int, int]], bool]:
        """Job and machine of each task placed, and whether all requests were looked at.

        What is left goes on surplus machines, but for jobs with rules about where their tasks are
        in relation to each other.
        """
        clock = asyncio.get_running_loop().time
        stop_at = clock() + self.budget_s
        done = place(requests, free, teams, self._cursor, lambda: clock() >= stop_at)
        self._cursor = done.next_start
        if done.next_start:
            self.wake.set()
            return done.placed, False
        if not surplus:
            return done.placed, True
        so_far = Counter(job_index for job_index, _ in done.placed)
        rest = [
            request._replace(pending=request.pending - so_far[request.job])
            for request in requests
            if request.pending > so_far[request.job]
            and not request.single_zone
            and not request.spread_zones
            and not request.whole
        ]
        return done.placed + place(rest, surplus, teams).placed, True

    def _starts(self, placed: list[tuple[int, int]]) -> list[Start]:
        """Which task of each job goes to each of its machines."""
        tasks: dict[int, Iterator[int]] = {}
        starts = []
        for job_index, machine_index in placed:
            job = self._book.jobs[job_index]
            if job_index not in tasks:
                tasks[job_index] = job.pending_tasks()
            machine = self._fleet.machines[machine_index]
            starts.append(Start(job, next(tasks[job_index]), machine))
        return starts

    def _reserve_machines(self, late: list[PlacementRequest], teams: list[QuotaHeadroom]) -> None:
        before = self.reserved
        if late:
            slots = list(self._view.slots()[0].values())
            self.reserved = reserve_machines(late, slots, self._view.whole(slots), teams, before)
        else:
            self.reserved = {}
        for job, machine in self.reserved.items():
            if before.get(job) != machine:
                log.info(
                    "machine %s is kept for %s, which should have begun and fits nowhere",
                    self._fleet.machines[machine].name,
                    self._book.jobs[job].id,
                )

    async def round(self, now: float) -> bool:
        """Decide and claim once. True if there is more to write at once."""
        stops = self._stops.drain(now)
        placements, preempted = self.decide(now)
        claim = self.build_claim(placements, stops + preempted, now)
        if not claim.ops:
            return False
        outcome, failed = await self._claims.claim(claim.ops, claim.marker, tuple(claim.absent))
        log.debug(
            "round %s of epoch %d: claim %s; %d starts, %d stops, decided at %.3f s",
            claim.marker,
            self._fleet.epoch,
            outcome.value,
            len(placements),
            len(claim.stops),
            now,
        )
        if outcome is Outcome.FENCED:
            return False
        if outcome is Outcome.CLASHED:
            # A job was cancelled in between (or an earlier, unanswered claim of ours did count):
            # only the state service can say which.
            log.info("claim clashed on %s", ", ".join(failed))
            return await self._refresh()
        self._apply_claim(claim, now)
        return claim.more or bool(self._fleet.finished)

    # ---- what a round writes ----------------------------------------------------------------

    def build_claim(self, placements: list[Start], stops: list[Attempt], now: float) -> RoundClaim:
        claim = RoundClaim(stops=stops)
        self._add_finished(claim)
        self._add_rounds(claim, placements)
        self._add_suspects(claim)
        self._add_clean_up(claim, now)
        return claim

    def _collect_finished(self) -> tuple[list[Job], dict[str, list[int]]]:
        """Jobs that are complete, and the finished tasks of the others."""
        completed: list[Job] = []
        partly: dict[str, list[int]] = {}
        for index, tasks in list(self._fleet.finished.items()):
            job = self._book.jobs[index]
            if job.final is not None:
                del self._fleet.finished[index]
                self._release_ended(job)
                continue
            # What another leader, or a claim of ours that we had given up, made durable meanwhile
            # counts as done already. Counted twice, it would make the job done too soon.
            tasks = {task for task in tasks if job.states[task] != FINISHED}
            if not tasks and job.done < job.tasks:
                del self._fleet.finished[index]
                continue
            self._fleet.finished[index] = tasks
            if job.done + len(tasks) >= job.tasks:
                completed.append(job)
            else:
                partly[job.id] = list(tasks)
        return completed, partly

    def _add_finished(self, claim: RoundClaim) -> None:
        completed, partly = self._collect_finished()
        # One key says that a job is complete, and stands for all its tasks.
        claim.completed = completed[: max(1, self._ops_most - KEPT_FOR_STARTS)]
        for job in claim.completed:
            claim.ops.append(wire.put(f"{ROOT}f/{job.id}", wire.DONE))
            claim.absent.append(f"f/{job.id}")
        if partly:
            claim.done_record, _ = pack_done(partly, self._value_most)
            claim.done_number = self.next_number()
            claim.marker = f"d/{claim.done_number}"
            claim.ops.append(wire.put(ROOT + claim.marker, claim.done_record))

    def _add_rounds(self, claim: RoundClaim, placements: list[Start]) -> None:
        placements, _ = self.check.admit(placements)
        placements, cut = self._while_wanted(placements, claim.absent)
        entries = [(m.name, m.session, job.id, task) for job, task, m in placements]
        entries += [(STOPS, 0, a.job.id, a.task) for a in claim.stops]
        records = pack_round(entries, self._value_most)
        for record in records[: max(1, self._ops_most - len(claim.ops))]:
            number = self.next_number()
            claim.rounds.append((number, record))
            claim.ops.append(wire.put(f"{ROOT}r/{number}", record))
            claim.marker = claim.marker or f"r/{number}"
        claim.more = cut or len(claim.rounds) < len(records)

    def _add_suspects(self, claim: RoundClaim) -> None:
        suspects = self._fleet.new_suspects()
        for job_id in list(suspects)[: max(0, self._ops_most - len(claim.ops))]:
            claim.suspects[job_id] = suspects[job_id]
            claim.ops.append(wire.put(f"{ROOT}s/{job_id}", suspects[job_id]))

    def _add_clean_up(self, claim: RoundClaim, now: float) -> None:
        """Settled records go only when the write rate has room to spare: a round that waits for its
        turn behind a clean-up keeps tasks waiting."""
        book = self._book
        dead = [f"r/{n}" for n in book.dead_rounds()] + [f"d/{n}" for n in book.dead_done_records()]
        dead += self.dead_keys + [f"s/{job_id}" for job_id in self._fleet.cleared_suspects()]
        written = len(claim.ops)
        room = min(self._ops_most - written, self._spare_writes(now) - written)
        claim.dropped = dead[: max(0, room)]
        claim.ops += [wire.drop(ROOT + key) for key in claim.dropped]

    # ---- what a won claim changes -----------------------------------------------------------

    def _apply_claim(self, claim: RoundClaim, now: float) -> None:
        for key in claim.dropped:
            self._dropped(key)
        self._book.suspects.update(claim.suspects)
        for job in claim.completed:
            self._complete(job)
        if claim.done_number:
            self._book.apply_done(claim.done_number, claim.done_record)
            self._forget_finished(claim.done_record)
        launched: list[Attempt] = []
        for number, record in claim.rounds:
            launched += self._book.apply_round(number, record, Op.DISPATCHING)
        for attempt in launched:
            attempt.at = now
            attempt.job.last_start_at = time.time()
            self._log_start(attempt)
        stopped = [attempt for attempt in claim.stops if attempt.halted_at]
        for attempt in stopped:
            attempt.halted_at = now
        self._dispatch.send(launched, stopped)

    def _complete(self, job: Job) -> None:
        self._fleet.finished.pop(job.index, None)
        for attempt in list(job.live.values()):
            self._book.release(attempt, done=True)
        self._book.finish(job.id, wire.DONE)
        log.debug(
            "done %s (%s of %s): %d tasks, %.1f s after it was accepted, %.1f s at best",
            job.id,
            self._book.names.classes.name(job.jobclass),
            self._book.names.teams.name(job.team),
            job.tasks,
            time.time() - job.accepted_at,
            self._view.waves(job, job.tasks) * self._view.estimates.run_s(job),
        )

    def _log_start(self, attempt: Attempt) -> None:
        if not log.isEnabledFor(logging.DEBUG):
            return
        machine = self._fleet.machines[attempt.machine]
        cached = attempt.job.image in machine.images
        log.debug(
            "start %s/%d (%s) on %s after %.2f s, image %s; attempt %d of epoch %d, zone %s,"
            " its other tasks in %s",
            attempt.job.id,
            attempt.task,
            self._book.names.classes.name(attempt.job.jobclass),
            machine.name,
            time.time() - attempt.job.accepted_at,
            "there" if cached else "to fetch",
            attempt.number,
            attempt.number >> EPOCH_SHIFT,
            self._zone_name(machine),
            self._other_zones(attempt),
        )

    def _zone_name(self, machine: Machine | None) -> str:
        if machine is None or machine.zone < 0:
            return "unknown zone"
        return self._book.names.zones.name(machine.zone)

    def _other_zones(self, attempt: Attempt) -> str:
        """Where the job's other live tasks are, for the log: "zone: tasks, ..." or "none"."""
        counts: dict[str, int] = {}
        for other in attempt.job.live.values():
            if other is not attempt and not other.ended:
                zone = self._zone_name(self._fleet.machines.get(other.machine))
                counts[zone] = counts.get(zone, 0) + 1
        return ", ".join(f"{zone}: {count}" for zone, count in sorted(counts.items())) or "none"

    def _while_wanted(self, placements: list[Start], absent: list[str]) -> tuple[list[Start], bool]:
        """Claim starts only of jobs that nobody has called off, as far as one claim can say.

        A cancellation may be confirmed elsewhere a moment before the watch cache here shows it, and
        from then on no task of the job may start. Adds to ``absent``; True if some had to wait.
        """
        room = CONDITIONS * self._ops_most - len(absent) - FENCE
        jobs = dict.fromkeys(job.id for job, _, _ in placements)
        kept = set(list(jobs)[: max(1, room)])
        absent += [f"f/{job_id}" for job_id in jobs if job_id in kept]
        out = [placement for placement in placements if placement[0].id in kept]
        return out, len(out) < len(placements)

    def _release_ended(self, job: Job) -> None:
        for attempt in list(job.live.values()):
            if attempt.ended:
                self._book.release(attempt, done=True)

    def _dropped(self, key: str) -> None:
        kind, _, number = key.partition("/")
        if kind == "r":
            self._book.rounds.pop(int(number), None)
        elif kind == "d":
            self._book.done_records.pop(int(number), None)
        elif kind == "s":
            self._book.suspects.pop(number, None)
        elif key in self.dead_keys:
            self.dead_keys.remove(key)

    def _forget_finished(self, record: list[Any]) -> None:
        for job_id, _ in record:
            job = self._book.by_id[job_id]
            tasks = self._fleet.finished.get(job.index)
            if tasks is None:
                continue
            left = {task for task in tasks if job.final is None and job.states[task] != FINISHED}
            if left:
                self._fleet.finished[job.index] = left
            else:
                del self._fleet.finished[job.index]
