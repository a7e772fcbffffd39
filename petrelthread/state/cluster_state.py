"""What the state service holds, as every controller knows it.

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

from collections.abc import Collection
from typing import Any

from petrelthread import protocol
from petrelthread.state.job import FINISHED, LIVE, PENDING, Attempt, Interners, Job
from petrelthread.state.operation_state import Op, move
from petrelthread.state.usage import Use

STOPS = ""  # in a round's record, in the place of a machine: tasks to stop


class ClusterState:
    """Built from keys alone, so that each controller has it at hand when it takes over."""

    def __init__(self, names: Interners) -> None:
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
            if final == protocol.DONE:
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
            if status == protocol.ENDED and before != protocol.ENDED:
                self.use.drop(attempt)
            elif before == protocol.ENDED and status != protocol.ENDED:
                self.use.add(attempt)
        return before

    def apply_round(
        self,
        number: int,
        value: list[Any],
        state: Op = Op.UNKNOWN,
        unsent: Collection[tuple[int, int]] = (),
    ) -> list[Attempt]:
        """The attempts that a round's record makes, in the given state.

        ``unsent``: job and task of starts that are on record and will never be sent.
        """
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
                if job is None or job.final == protocol.DONE:
                    continue
                for task in tasks:
                    if job.final is None and job.states[task] == FINISHED:
                        continue
                    if (job.index, task) in unsent:
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

    def settle_unsent_round(self, number: int) -> None:
        """A round of which nothing was sent, or which is settled: its record makes no attempts."""
        self.close_round(number)
        self.rounds[number] = set()

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
