"""The book: what the state service holds, as every controller knows it.

Keys below the root:

    j/<job>      the job as accepted                                    create-once
    f/<job>      its final state, done or aborted                       create-once
    r/<number>   one placement round: [machine, session, [[job, [task...]]...]]...;
                 without a machine: the tasks to be stopped
    d/<number>   finished tasks of many jobs, as ranges
    s/<job>      machines on which a job failed that fails everywhere
    c/<charter>  one rental          x/<number>  one return
    lead, epoch, catalog, options
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from petrelthread import wire
from petrelthread.ledger.operation import Op, move
from petrelthread.ledger.use import Use
from petrelthread.names import Names

PENDING, LIVE, FINISHED = 0, 1, 2
STOPS = ""  # in a round's record, in the place of a machine: tasks to stop


class NamesBook:
    """All interned kinds of names."""

    def __init__(self, teams: Iterable[str] = (), zones: Iterable[str] = ()) -> None:
        self.teams = Names()
        self.zones = Names()
        self.types = Names()
        self.images = Names()
        self.machines = Names()
        self.classes = Names()
        for team in teams:
            self.teams.index(team)
        for zone in zones:
            self.zones.index(zone)


class Attempt:
    """One try to run one task: the round's number, on one machine in one session."""

    __slots__ = (
        "at",
        "halted_at",
        "job",
        "machine",
        "number",
        "proven_stable",
        "running_at",
        "session",
        "start_delivered",
        "state",
        "status",
        "task",
    )

    def __init__(
        self, number: int, job: Job, task: int, machine: int, session: int, state: Op
    ) -> None:
        self.number = number
        self.job = job
        self.task = task
        self.machine = machine
        self.session = session
        self.state = state
        self.status = ""  # as the worker last reported it
        self.at = 0.0
        self.running_at = 0.0
        self.halted_at = 0.0
        self.proven_stable = False  # a replica: it has run long enough to show that its job can
        self.start_delivered = False  # its start has gone out with the answer to a report

    @property
    def ended(self) -> bool:
        return self.status == wire.ENDED


class Job:
    __slots__ = (
        "accelerators",
        "accepted_at",
        "backoff_s",
        "checkpoint_interval_s",
        "cores",
        "done",
        "done_records",
        "due_s",
        "estimated_run_s",
        "failing",
        "final",
        "first_start_at",
        "gang",
        "grace_s",
        "id",
        "image",
        "index",
        "jobclass",
        "last_start_at",
        "live",
        "not_before",
        "progress",
        "ram_gb",
        "rank",
        "service",
        "single_zone",
        "size_gb",
        "spot",
        "spread_zones",
        "states",
        "stops",
        "suspect_since",
        "tasks",
        "team",
        "types",
        "zone",
    )

    cores: float
    accelerators: float
    ram_gb: float
    size_gb: float
    estimated_run_s: float
    checkpoint_interval_s: float
    grace_s: float
    due_s: float | None
    accepted_at: float

    def __init__(self, index: int, job_id: str, value: list[Any], names: NamesBook) -> None:
        (
            team,
            jobclass,
            rank,
            tasks,
            self.cores,
            self.accelerators,
            self.ram_gb,
            image,
            self.size_gb,
            types,
            zone,
            flags,
            self.estimated_run_s,
            self.checkpoint_interval_s,
            self.grace_s,
            self.due_s,
            self.accepted_at,
        ) = value
        self.index = index
        self.id = job_id
        self.team = names.teams.index(team)
        self.jobclass = names.classes.index(jobclass)
        self.rank: int = rank
        self.tasks: int = tasks
        self.image = names.images.index(image)
        self.types = None if types is None else frozenset(names.types.index(t) for t in types)
        self.zone = None if zone is None else names.zones.index(zone)
        self.single_zone = bool(flags & 1)
        self.spread_zones = bool(flags & 2)
        self.spot = bool(flags & 4)
        self.gang = bool(flags & 8)  # all tasks at once or none
        self.service = bool(flags & 16)  # runs until it is cancelled
        self.final: str | None = None
        self.states = bytearray(tasks)
        self.live: dict[int, Attempt] = {}
        self.done = 0
        self.done_records: list[int] = []
        # What the leader learns as it goes along:
        self.failing: set[int] = set()  # tasks whose last try failed
        self.suspect_since = 0.0
        self.progress: dict[int, float] = {}  # by task: seconds that checkpoints have saved
        self.stops: dict[int, int] = {}  # by task: how often it was stopped for others
        self.backoff_s = 0.0
        self.not_before = 0.0
        self.first_start_at = 0.0
        self.last_start_at = 0.0  # when a task of it was last placed

    @staticmethod
    def encode(spec: wire.JobSpec, now: float) -> list[Any]:
        flags = spec.same_place | spec.scatter << 1 | spec.driftwood << 2
        flags |= (spec.shape == wire.GANG) << 3 | (spec.shape == wire.SERVICE) << 4
        return [
            spec.crew,
            spec.jobclass,
            wire.RANKS[spec.rank],
            spec.legs,
            spec.cores,
            spec.accelerators,
            spec.ram_gb,
            spec.bundle,
            spec.size_gb,
            None if spec.hulls is None else list(spec.hulls),
            spec.roost,
            flags,
            spec.guess_s,
            spec.mark_s,
            spec.stow_s,
            spec.due_s,
            round(now, 3),
        ]

    def lost_s(self, ran_s: float, stopped: bool) -> float:
        """What a task that ran so long loses when it is stopped, or with its machine."""
        if self.checkpoint_interval_s <= 0:
            return ran_s
        return min(ran_s, self.grace_s) if stopped else ran_s % self.checkpoint_interval_s

    @property
    def pending(self) -> int:
        return self.tasks - self.done - len(self.live)

    @property
    def status(self) -> str:
        if self.final is not None:
            return self.final
        return wire.RUNNING if self.live else wire.QUEUED

    def pending_tasks(self) -> Iterator[int]:
        """Those that have failed come last: bad tasks must not keep good ones waiting."""
        at = self.states.find(PENDING)
        while at >= 0:
            if at not in self.failing:
                yield at
            at = self.states.find(PENDING, at + 1)
        if self.states:  # none once it is over
            yield from sorted(task for task in self.failing if self.states[task] == PENDING)


def pack_round(placements: Iterable[tuple[str, int, str, int]], limit: int) -> list[Any]:
    """(machine, session, job, task) grouped into record values of at most ``limit`` bytes."""
    records: list[Any] = []
    record: list[Any] = []
    size = 2
    for machine, session, job, task in sorted(placements):
        cost = len(str(task)) + 1
        same_machine = bool(record) and record[-1][0] == machine
        same_job = same_machine and record[-1][2][-1][0] == job
        if not same_job:
            cost += len(job) + 8
        if not same_machine:
            cost += len(machine) + len(str(session)) + 10
        if record and size + cost > limit:
            records.append(record)
            record, size, same_machine, same_job = [], 2, False, False
            cost = len(machine) + len(str(session)) + len(job) + len(str(task)) + 20
        if not same_machine:
            record.append([machine, session, []])
        if not same_job:
            record[-1][2].append([job, []])
        record[-1][2][-1][1].append(task)
        size += cost
    if record:
        records.append(record)
    return records


def pack_done(done: dict[str, list[int]], limit: int) -> tuple[list[Any], dict[str, list[int]]]:
    """Finished tasks as ranges, at most ``limit`` bytes; with what did not fit."""
    record: list[Any] = []
    rest: dict[str, list[int]] = {}
    size = 2
    for job, tasks in done.items():
        head = len(job) + 8
        if size + head + 16 > limit:
            rest[job] = tasks
            continue
        size += head
        ranges: list[int] = []
        record.append([job, ranges])
        tasks = sorted(tasks)
        for at, task in enumerate(tasks):
            if ranges and ranges[-1] == task - 1:
                ranges[-1] = task
                continue
            cost = 2 * len(str(task)) + 4
            if size + cost > limit:
                rest[job] = tasks[at:]
                break
            ranges += [task, task]
            size += cost
    return record, rest


class Book:
    """Built from keys alone, so that each controller has it at hand when it takes over."""

    def __init__(self, names: NamesBook) -> None:
        self.names = names
        self.jobs: list[Job] = []
        self.by_id: dict[str, Job] = {}
        self.open: dict[int, Job] = {}  # jobs without final state
        self.finals: dict[str, str] = {}
        self.on_machine: dict[int, dict[tuple[int, int], Attempt]] = {}
        self.use = Use()
        self.rounds: dict[int, set[Attempt]] = {}
        self.done_records: dict[int, set[int]] = {}
        self.suspects: dict[str, list[str]] = {}
        self.rentals: dict[str, Any] = {}
        self.returns: dict[str, list[str]] = {}
        self.catalog: Any = None
        self.options: Any = None

    # ---- keys ------------------------------------------------------------------------------

    def on_key(self, key: str, value: Any, stamp: int) -> None:
        kind, _, rest = key.partition("/")
        if kind == "j" and value is not None:
            self.accept(rest, value)
        elif kind == "f" and value is not None:
            self.finish(rest, value)
        elif kind == "r":
            if value is None:
                self.close_round(int(rest))
            else:
                self.apply_round(int(rest), value)
        elif kind == "d":
            if value is None:
                self.done_records.pop(int(rest), None)
            else:
                self.apply_done(int(rest), value)
        elif kind == "s":
            if value is None:
                self.suspects.pop(rest, None)
            else:
                self.suspects[rest] = value
        elif kind == "c":
            if value is None:
                self.rentals.pop(rest, None)
            else:
                self.rentals[rest] = value
        elif kind == "x":
            if value is None:
                self.returns.pop(rest, None)
            else:
                self.returns[rest] = value
        elif kind == "catalog":
            self.catalog = value
        elif kind == "options":
            self.options = {"values": value or {}, "stamp": stamp if value is not None else 0}

    # ---- jobs ------------------------------------------------------------------------------

    def accept(self, job_id: str, value: list[Any]) -> Job:
        job = self.by_id.get(job_id)
        if job is None:
            job = Job(len(self.jobs), job_id, value, self.names)
            self.jobs.append(job)
            self.by_id[job_id] = job
            self.open[job.index] = job
            final = self.finals.pop(job_id, None)
            if final is not None:
                self.finish(job_id, final)
        return job

    def finish(self, job_id: str, final: str) -> None:
        job = self.by_id.get(job_id)
        if job is None:
            self.finals[job_id] = final  # keys may be read in any order
            return
        if job.final is None:
            job.final = final
            self.open.pop(job.index, None)
            for number in job.done_records:
                waiting = self.done_records.get(number)
                if waiting is not None:
                    waiting.discard(job.index)
            if final == wire.DONE:
                job.done = job.tasks
            job.states = bytearray()

    def mark_done(self, job: Job, task: int) -> None:
        if job.final is None and job.states[task] != FINISHED:
            job.states[task] = FINISHED
            job.done += 1
        attempt = job.live.get(task)
        if attempt is not None:
            self.release(attempt, done=True)

    # ---- attempts --------------------------------------------------------------------------

    def add_attempt(
        self,
        number: int,
        job: Job,
        task: int,
        machine: int,
        session: int,
        state: Op = Op.UNKNOWN,
    ) -> Attempt:
        attempt = Attempt(number, job, task, machine, session, state)
        job.live[task] = attempt
        if job.final is None:
            job.states[task] = LIVE
        there = self.on_machine.setdefault(machine, {})
        replaced = there.get((job.index, task))
        if replaced is not None and not replaced.ended:
            self.use.drop(replaced)
        there[job.index, task] = attempt
        self.use.add(attempt)
        self.rounds.setdefault(number, set()).add(attempt)
        return attempt

    def release(self, attempt: Attempt, done: bool = False) -> None:
        """The attempt is surely over: its task may be placed again unless it is done."""
        job, task = attempt.job, attempt.task
        if attempt.state is not Op.SUPERSEDED and not done:
            move(attempt, Op.SUPERSEDED)
        if job.live.get(task) is attempt:
            del job.live[task]
            if job.final is None and job.states[task] == LIVE:
                job.states[task] = PENDING
        there = self.on_machine.get(attempt.machine)
        if there is not None and there.get((job.index, task)) is attempt:
            del there[job.index, task]
            if not attempt.ended:
                self.use.drop(attempt)
            if not there:
                del self.on_machine[attempt.machine]
        live = self.rounds.get(attempt.number)
        if live is not None:
            live.discard(attempt)

    def show(self, attempt: Attempt, status: str) -> str:
        """Its worker says how the attempt stands. Returns how it stood before."""
        before, attempt.status = attempt.status, status
        there = self.on_machine.get(attempt.machine, {})
        if there.get((attempt.job.index, attempt.task)) is attempt:
            if status == wire.ENDED and before != wire.ENDED:
                self.use.drop(attempt)
            elif before == wire.ENDED and status != wire.ENDED:
                self.use.add(attempt)
        return before

    def apply_round(self, number: int, value: list[Any], state: Op = Op.UNKNOWN) -> list[Attempt]:
        if number in self.rounds:
            return []
        self.rounds[number] = set()
        made = []
        for machine, session, jobs in value:
            if machine == STOPS:
                self._apply_stops(number, jobs)
                continue
            index = self.names.machines.index(machine)
            for job_id, tasks in jobs:
                job = self.by_id.get(job_id)
                if job is None or job.final == wire.DONE:
                    continue
                for task in tasks:
                    if job.final is None and job.states[task] == FINISHED:
                        continue
                    older = job.live.get(task)
                    if older is not None:
                        # A leader claims a task anew only after the older attempt was settled.
                        if older.number > number:
                            continue
                        self.release(older)
                    made.append(self.add_attempt(number, job, task, index, session, state))
        return made

    def _apply_stops(self, number: int, jobs: list[Any]) -> None:
        for job_id, tasks in jobs:
            job = self.by_id.get(job_id)
            for task in tasks:
                attempt = job.live.get(task) if job is not None else None
                if attempt is not None and attempt.number < number:
                    attempt.halted_at = 1.0

    def close_round(self, number: int) -> None:
        for attempt in list(self.rounds.pop(number, ())):
            self.release(attempt)

    def apply_done(self, number: int, value: list[Any]) -> None:
        if number in self.done_records:
            return
        waiting = self.done_records[number] = set()
        for job_id, ranges in value:
            job = self.by_id.get(job_id)
            if job is None:
                continue
            if job.final is None:
                waiting.add(job.index)
                job.done_records.append(number)
            for at in range(0, len(ranges), 2):
                for task in range(ranges[at], ranges[at + 1] + 1):
                    self.mark_done(job, task)

    def recorded_machines(self) -> set[str]:
        """Those that rentals and returns on record name."""
        rented = [value.get("m") or () for value in self.rentals.values()]
        return {name for names in [*rented, *self.returns.values()] for name in names}

    # ---- what may be dropped ---------------------------------------------------------------

    def dead_rounds(self) -> list[int]:
        return [number for number, live in self.rounds.items() if not live]

    def dead_done_records(self) -> list[int]:
        return [number for number, waiting in self.done_records.items() if not waiting]
