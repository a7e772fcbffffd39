"""The leader's rounds: decide, claim, and only then send."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

from petrelthread import wire
from petrelthread.fleet import Dispatch, Fleet, Health, Machine
from petrelthread.ledger import (
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
from petrelthread.placement.order import Standing, Turn, order
from petrelthread.placement.place import EPS, Slot, TeamRoom, Want, place
from petrelthread.placement.preempt import Victim, choose_victims, served_before
from petrelthread.settings import Settings
from petrelthread.store import ROOT

log = logging.getLogger(__name__)

PATIENCE_S = 10.0  # how long a job waits before others are stopped for it,
PATIENCE_SHARE = 0.2  # or this share of the time in which its class should start
USUAL_SPREAD = 0.3  # of run times against estimates, until some are seen
AT_WORK = 0.85  # of all cores: the rest fetch images, wait for a round or fit no task
STOP_S = 5.0  # a stop that takes longer than this holds up no other

Placement = tuple[Job, int, Machine]  # job, task, machine


class Estimates:
    """How much longer than their owners' estimates the tasks of each class really run."""

    def __init__(self) -> None:
        self._ratio: dict[int, float] = {}
        self._variance: dict[int, float] = {}
        self._seen: dict[int, int] = {}

    def learn(self, job: Job, ran_s: float) -> None:
        if job.guess_s <= 0:
            return
        ratio = min(10.0, max(0.1, ran_s / job.guess_s))
        seen = self._seen[job.jobclass] = min(50, self._seen.get(job.jobclass, 0) + 1)
        old = self._ratio.get(job.jobclass, 1.0)
        self._ratio[job.jobclass] = old + (ratio - old) / (seen + 2)
        variance = self._variance.get(job.jobclass, USUAL_SPREAD**2)
        self._variance[job.jobclass] = variance + ((ratio - old) ** 2 - variance) / (seen + 2)

    def run_s(self, job: Job) -> float:
        return max(0.5, job.guess_s * self._ratio.get(job.jobclass, 1.0))

    def tail_s(self, job: Job) -> float:
        """How much longer the last of a job's tasks is likely to run. One alone has no tail."""
        if job.tasks < 2:
            return 0.0
        variance = self._variance.get(job.jobclass, USUAL_SPREAD**2)
        return min(job.guess_s, 1.5 * math.sqrt(variance) * job.guess_s)


class Rounds:
    def __init__(
        self,
        settings: Settings,
        book: Book,
        fleet: Fleet,
        claims: Claims,
        dispatch: Dispatch,
        hulls: Callable[[], dict[int, wire.Hull]],
        estimates: Estimates,
        refresh: Callable[[], Awaitable[bool]],
        spare_writes: Callable[[float], int],
    ) -> None:
        self._book = book
        self._fleet = fleet
        self._claims = claims
        self._dispatch = dispatch
        self._hulls = hulls
        self.estimates = estimates
        self._refresh = refresh
        self._spare_writes = spare_writes
        state = settings.cluster.state
        self._value_most = int(state.value_kb * 1024 * 0.85)
        self._ops_most = state.txn_ops
        self.teams = settings.cluster.teams
        self._guarantees = [(t.cpus, t.gpus) for t in self.teams]
        self._within: dict[int, list[float]] = {}  # by class: seconds to be done in
        self._times: dict[int, list[float]] = {}  # by class: multiples of the deadline
        for objective in settings.cluster.objectives:
            index = book.names.classes.index(objective.jobclass)
            if objective.kind == "finished" and objective.within_s > 0:
                self._within.setdefault(index, []).append(objective.within_s)
            elif objective.kind == "deadline":
                self._times.setdefault(index, []).append(objective.times)
        self._patience: dict[int, float] = {}
        for objective in settings.cluster.objectives:
            if objective.kind == "wait":
                index = book.names.classes.index(objective.jobclass)
                # A class may have several: the soonest counts. The last one of the file made jobs
                # that should start within 4 s wait 10 s until room was made for them.
                patience_s = PATIENCE_SHARE * objective.within_s
                self._patience[index] = min(patience_s, self._patience.get(index, math.inf))
        self._number = 0
        self._cursor = 0
        self.dead_keys: list[str] = []  # records that are settled, to be dropped
        self.gap_s = 0.25
        self.budget_s = 0.05
        self.wake = asyncio.Event()

    def take_over(self, epoch: int) -> None:
        self._number = epoch << 20
        self._cursor = 0
        self.dead_keys.clear()

    def next_number(self) -> int:
        """Never used before: the epoch is ours alone."""
        self._number += 1
        return self._number

    # ---- views ------------------------------------------------------------------------------

    def slots(self, least_cores: float = 0.0) -> tuple[dict[int, Slot], list[Slot]]:
        """What is free, by machine; and on surplus spot machines, for what fits nowhere else.

        ``least_cores``: machines with fewer free cores are left out.
        """
        out: dict[int, Slot] = {}
        surplus: list[Slot] = []
        hulls = self._hulls()
        for machine in self._fleet.machines.values():
            hull = hulls.get(machine.type)
            if hull is None:
                continue
            taken = self._book.use.machine(machine.index)
            cores = hull.cores - taken.cores
            if cores + EPS < least_cores or not self._fleet.may_serve(machine):
                continue
            images = set(machine.images)
            for attempt in self._fleet.attempts(machine).values():
                if not attempt.ended:
                    images.add(attempt.job.image)
            slot = Slot(
                machine.index,
                machine.type,
                machine.zone,
                machine.spot,
                cores,
                hull.accelerators - taken.accelerators,
                hull.ram_gb - taken.ram_gb,
                images,
            )
            if not machine.retiring:
                out[machine.index] = slot
            elif machine.spot:
                surplus.append(slot)
        return out, surplus

    def team_use(self) -> list[tuple[float, float]]:
        """What each team's tasks use or may be using, wherever they are."""
        taken = (self._book.use.team(team) for team in range(len(self._book.names.teams)))
        return [(team.cores, team.accelerators) for team in taken]

    def load(self) -> str:
        """What the machines are doing, on one line for the log."""
        hulls = self._hulls()
        up = booting = retiring = 0.0
        for machine in self._fleet.machines.values():
            hull = hulls.get(machine.type)
            cores = hull.cores if hull else 0.0
            if machine.open:
                up += cores
                retiring += cores if machine.retiring else 0.0
            elif machine.health is Health.BOOTING:
                booting += cores
        running = starting = 0.0
        for there in self._book.on_machine.values():
            for attempt in there.values():
                if attempt.running_at and not attempt.ended:
                    running += attempt.job.cores
                elif not attempt.ended:
                    starting += attempt.job.cores
        waiting = sum(job.pending * job.cores for job in self._book.open.values())
        return (
            f"cores up {up:.0f} (retiring {retiring:.0f}), booting {booting:.0f}; running"
            f" {running:.0f}, starting {starting:.0f}, waiting {waiting:.0f}"
        )

    def goals(self, job: Job) -> tuple[float, ...]:
        """When its class's objectives want the job to be done, the soonest first."""
        if job.due_s is not None:
            within = [job.due_s * times for times in self._times.get(job.jobclass, [1.0])]
        else:
            within = self._within.get(job.jobclass, [])
        return tuple(job.accepted_at + seconds for seconds in sorted(within))

    def _waves(self, job: Job, tasks: int) -> int:
        team = self.teams[job.team]
        most = float(job.tasks)
        if job.cores > 0:
            most = min(most, team.cpus_max // job.cores)
        if job.accelerators > 0:
            most = min(most, team.gpus_max // job.accelerators)
        return math.ceil(tasks / max(1.0, most))

    def path_s(self, job: Job) -> float:
        """How long the job still takes at best, with its team's limit for itself."""
        run_s = self.estimates.run_s(job)
        team = self.teams[job.team]
        left = job.tasks - job.done - len(self._fleet.finished.get(job.index, ()))
        share = 0.0
        if job.cores > 0:
            share = max(share, left * job.cores / team.cpus_max)
        if job.accelerators > 0:
            share = max(share, left * job.accelerators / team.gpus_max)
        return run_s * share

    def cores(self) -> float:
        """That all jobs share, as far as they can be kept at work; infinite if none are known."""
        total = 0.0
        hulls = self._hulls()
        for machine in self._fleet.machines.values():
            hull = hulls.get(machine.type)
            if hull is not None and (machine.open or machine.health is Health.BOOTING):
                total += hull.cores
        return total * AT_WORK or math.inf

    def turns(self) -> list[Turn]:
        standings = []
        for job in self._book.open.values():
            left = job.tasks - job.done
            run_s = self.estimates.run_s(job)
            live = len(job.live)
            standings.append(
                Standing(
                    job.index,
                    job.team,
                    job.rank,
                    job.accepted_at,
                    self.goals(job),
                    self.path_s(job),
                    job.tasks * job.cores,
                    job.tasks * job.accelerators,
                    run_s,
                    self.estimates.tail_s(job),
                    min(left * job.cores, self.teams[job.team].cpus_max),
                    (left - live / 2) * run_s * job.cores,
                    live > 0 or job.done > 0,
                )
            )
        return order(standings, self._guarantees, time.time(), self.cores())

    def want(self, job: Job) -> Want:
        live_zones: dict[int, int] = {}
        if job.same_place or job.scatter:
            for attempt in job.live.values():
                machine = self._fleet.machines.get(attempt.machine)
                if machine is not None and not attempt.ended:
                    live_zones[machine.zone] = live_zones.get(machine.zone, 0) + 1
        return Want(
            job.index,
            job.team,
            job.tasks,
            job.pending,
            job.cores,
            job.accelerators,
            job.ram_gb,
            job.image,
            job.types,
            job.zone,
            job.spot,
            job.same_place,
            job.scatter,
            live_zones,
            frozenset(job.failed_on),
            job.gang,
        )

    # ---- one round --------------------------------------------------------------------------

    def decide(self, now: float) -> tuple[list[Placement], list[Attempt]]:
        """What to start, and what to stop to make room."""
        wants: list[Want] = []
        guaranteed: dict[int, bool] = {}
        for index, inside, _, overdue in self.turns():
            job = self._book.jobs[index]
            guaranteed[index] = inside
            if job.gang and job.live:
                continue  # its other tasks are still there: they end, and all start anew together
            if job.pending > 0 and now >= job.not_before:
                want = self.want(job)
                if overdue and not job.gang:
                    # It should have begun: one task goes before all else, the others in turn.
                    wants.insert(0, want._replace(pending=1))
                    want = want._replace(pending=want.pending - 1)
                wants.append(want)
        if not wants:
            return [], []
        slots, surplus = self.slots(min(want.cores for want in wants))
        free = list(slots.values())
        use = self.team_use()
        teams = [
            TeamRoom(team.cpus_max - use[i][0], team.gpus_max - use[i][1])
            for i, team in enumerate(self.teams)
        ]
        clock = asyncio.get_running_loop().time
        stop_at = clock() + self.budget_s
        done = place(wants, free, teams, self._cursor, lambda: clock() >= stop_at)
        self._cursor = done.next_start
        slots = {slot.machine: slot for slot in free}
        if done.next_start:
            self.wake.set()
        elif surplus:
            placed_so_far: dict[int, int] = {}
            for job_index, _ in done.placed:
                placed_so_far[job_index] = placed_so_far.get(job_index, 0) + 1
            rest = [
                want._replace(pending=want.pending - placed_so_far.get(want.job, 0))
                for want in wants
                if want.pending > placed_so_far.get(want.job, 0)
                and not want.same_place
                and not want.scatter
                and not want.whole
            ]
            done.placed.extend(place(rest, surplus, teams).placed)
        placements: list[Placement] = []
        tasks: dict[int, Any] = {}
        placed: dict[int, int] = {}
        for job_index, machine_index in done.placed:
            job = self._book.jobs[job_index]
            if job_index not in tasks:
                tasks[job_index] = job.pending_tasks()
            placements.append((job, next(tasks[job_index]), self._fleet.machines[machine_index]))
            placed[job_index] = placed.get(job_index, 0) + 1
        if done.next_start:
            return placements, []
        return placements, self._preempt(wants, guaranteed, placed, teams, slots, use, now)

    def _preempt(
        self,
        wants: list[Want],
        guaranteed: dict[int, bool],
        placed: dict[int, int],
        teams: list[TeamRoom],
        slots: dict[int, Slot],
        use: list[tuple[float, float]],
        now: float,
    ) -> list[Attempt]:
        """Stop work for jobs that had to wait too long; what stops now makes room next round."""
        victims: list[Victim] | None = None
        for want in wants:
            job = self._book.jobs[want.job]
            # A job that still gets room as it falls free does not need others to be stopped.
            waiting_s = time.time() - max(job.accepted_at, job.last_start_at)
            lacking = min(want.pending - placed.get(want.job, 0), teams[want.team].most(want))
            patience_s = self._patience.get(job.jobclass, PATIENCE_S)
            if lacking <= 0 or waiting_s < patience_s or want.same_place or want.scatter:
                continue
            if job.rank < wire.RANKS["high"] and not guaranteed[want.job]:
                continue
            if victims is None:
                if self._stopping(now):
                    return []  # let the room made so far be used first
                victims = self._victims(now)
                full, surplus = self.slots()
                slots = {**{slot.machine: slot for slot in surplus}, **full, **slots}
            over = [u[0] - t.cpus for u, t in zip(use, self.teams, strict=False)]
            inside = guaranteed[want.job]
            behind = [v for v in victims if served_before(job.rank, inside, v, guaranteed)]
            chosen = choose_victims(want, job.rank, inside, lacking, behind, slots, over)
            out = []
            for victim in chosen:
                attempt = self._book.jobs[victim.job].live.get(victim.task)
                if attempt is not None:
                    out.append(attempt)
                    log.info(
                        "stopping %s/%d to make room for %s", attempt.job.id, attempt.task, job.id
                    )
            if out:
                return out
        return []

    def _stopping(self, now: float) -> bool:
        return any(
            attempt.halted_at and not attempt.ended and now - attempt.halted_at < STOP_S
            for there in self._book.on_machine.values()
            for attempt in there.values()
        )

    def _victims(self, now: float) -> list[Victim]:
        out = []
        for there in self._book.on_machine.values():
            for attempt in there.values():
                job = attempt.job
                if attempt.state is not Op.CONFIRMED or attempt.ended or attempt.halted_at:
                    continue
                if job.gang:
                    continue  # to stop one would lose them all
                ran_s = now - attempt.running_at if attempt.running_at else 0.0
                out.append(
                    Victim(
                        job.index,
                        attempt.task,
                        job.team,
                        job.rank,
                        attempt.machine,
                        job.cores,
                        job.accelerators,
                        job.ram_gb,
                        ran_s,
                    )
                )
        return out

    def drain(self, now: float) -> list[Attempt]:
        """On machines that the cloud will take, what cannot complete in time."""
        out = []
        for machine in self._fleet.machines.values():
            if machine.health is not Health.DRAINING or machine.notice_s is None:
                continue
            left_s = machine.notice_s - (now - machine.notice_at)
            for attempt in self._fleet.attempts(machine).values():
                if attempt.ended or attempt.halted_at:
                    continue
                ran_s = now - attempt.running_at if attempt.running_at else 0.0
                if self.estimates.run_s(attempt.job) - ran_s > max(left_s, 0.0):
                    out.append(attempt)
        return out

    async def round(self, now: float) -> bool:
        """Decide and claim once. True if there is more to write at once."""
        book = self._book
        stops = self.drain(now)
        placements, preempted = self.decide(now)
        stops += preempted
        ops: list[dict[str, Any]] = []
        absent: list[str] = []
        # Jobs that are complete: one key says so, and stands for all their tasks.
        completed: list[Job] = []
        partly: dict[str, list[int]] = {}
        for index, tasks in list(self._fleet.finished.items()):
            job = book.jobs[index]
            if job.final is not None:
                del self._fleet.finished[index]
                self._release_ended(job)
                continue
            # What another leader, or a claim of ours that we had given up, made durable meanwhile
            # counts as done already. Counted twice, it would make the job done too soon.
            tasks = [task for task in tasks if job.states[task] != 2]
            if not tasks and job.done < job.tasks:
                del self._fleet.finished[index]
                continue
            self._fleet.finished[index] = tasks
            if job.done + len(tasks) >= job.tasks:
                completed.append(job)
            else:
                partly[job.id] = tasks
        completed = completed[: max(1, self._ops_most - 3)]
        for job in completed:
            ops.append(wire.put(f"{ROOT}f/{job.id}", wire.DONE))
            absent.append(f"f/{job.id}")
        marker: str | None = None
        done_number = 0
        done_record: list[Any] = []
        if partly:
            done_record, _ = pack_done(partly, self._value_most)
            done_number = self.next_number()
            marker = f"d/{done_number}"
            ops.append(wire.put(ROOT + marker, done_record))
        entries = [(m.name, m.session, job.id, task) for job, task, m in placements]
        entries += [(STOPS, 0, a.job.id, a.task) for a in stops]
        records = pack_round(entries, self._value_most)
        rounds: list[tuple[int, Any]] = []
        for record in records[: max(1, self._ops_most - len(ops))]:
            number = self.next_number()
            rounds.append((number, record))
            ops.append(wire.put(f"{ROOT}r/{number}", record))
            marker = marker or f"r/{number}"
        more = len(rounds) < len(records)
        # Settled records go only when the write rate has room to spare: a round that waits for its
        # turn behind a clean-up keeps tasks waiting.
        dead = [f"r/{n}" for n in book.dead_rounds()] + [f"d/{n}" for n in book.dead_done_records()]
        dead += self.dead_keys
        room = min(self._ops_most - len(ops), self._spare_writes(now) - len(ops))
        dropping = dead[: max(0, room)]
        ops += [wire.drop(ROOT + key) for key in dropping]
        if not ops:
            return False
        outcome, failed = await self._claims.claim(ops, marker, tuple(absent))
        if outcome is Outcome.FENCED:
            return False
        if outcome is Outcome.CLASHED:
            # A job was cancelled in between (or an earlier, unanswered claim of ours did count):
            # only the state service can say which.
            log.info("claim clashed on %s", ", ".join(failed))
            return await self._refresh()
        for key in dropping:
            self._dropped(key)
        for job in completed:
            self._fleet.finished.pop(job.index, None)
            for attempt in list(job.live.values()):
                book.release(attempt, done=True)
            book.finish(job.id, wire.DONE)
            log.debug(
                "done %s (%s of %s): %d tasks, %.1f s after it was accepted, %.1f s at best",
                job.id,
                self._book.names.classes.name(job.jobclass),
                self._book.names.teams.name(job.team),
                job.tasks,
                time.time() - job.accepted_at,
                self._waves(job, job.tasks) * self.estimates.run_s(job),
            )
        if done_number:
            book.apply_done(done_number, done_record)
            self._forget_finished(done_record)
        launched: list[Attempt] = []
        for number, record in rounds:
            launched += book.apply_round(number, record, Op.DISPATCHING)
        for attempt in launched:
            attempt.at = now
            attempt.job.last_start_at = time.time()
            if log.isEnabledFor(logging.DEBUG):
                machine = self._fleet.machines[attempt.machine]
                cached = attempt.job.image in machine.images
                waited = time.time() - attempt.job.accepted_at
                log.debug(
                    "start %s/%d (%s) on %s after %.2f s, image %s",
                    attempt.job.id,
                    attempt.task,
                    self._book.names.classes.name(attempt.job.jobclass),
                    machine.name,
                    waited,
                    "there" if cached else "to fetch",
                )
        stopped = [a for a in stops if a.halted_at]
        for attempt in stopped:
            attempt.halted_at = now
        self._dispatch.send(launched, stopped)
        return more or bool(self._fleet.finished)

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
        elif key in self.dead_keys:
            self.dead_keys.remove(key)

    def _forget_finished(self, record: list[Any]) -> None:
        for job_id, _ in record:
            job = self._book.by_id[job_id]
            tasks = self._fleet.finished.get(job.index)
            if tasks is None:
                continue
            left = [task for task in tasks if job.final is None and job.states[task] != 2]
            if left:
                self._fleet.finished[job.index] = left
            else:
                del self._fleet.finished[job.index]
