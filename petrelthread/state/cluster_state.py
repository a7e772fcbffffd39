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

import msgspec

from petrelthread import protocol
from petrelthread.state.job import (
    TASK_FINISHED,
    TASK_LIVE,
    TASK_PENDING,
    Attempt,
    InternedNames,
    Job,
)
from petrelthread.state.operation_state import OperationState, transition
from petrelthread.state.stored_records import ScaleOutRecord
from petrelthread.state.usage import UsageTracker

STOP_MARKER = ""  # in a round's record, in the place of a machine: tasks to stop


class ClusterState:
    """Built from keys alone, so that each controller has it at hand when it takes over."""

    def __init__(self, names: InternedNames) -> None:
        self.names = names
        self.jobs: list[Job] = []
        self.jobs_by_id: dict[str, Job] = {}
        self.open_jobs: dict[int, Job] = {}  # jobs without final state
        self.early_final_statuses: dict[str, str] = {}
        self.attempts_by_machine: dict[int, dict[tuple[int, int], Attempt]] = {}
        self.usage = UsageTracker()
        self.attempts_by_round: dict[int, set[Attempt]] = {}
        self.open_jobs_by_done_record: dict[int, set[int]] = {}
        self.machines_by_failing_job: dict[str, list[str]] = {}
        self.scale_out_records: dict[str, ScaleOutRecord] = {}
        self.scale_in_records: dict[str, list[str]] = {}
        self.catalog: Any = None
        self.options: Any = None

    # ---- keys ------------------------------------------------------------------------------

    def on_key(self, key: str, value: Any, revision: int) -> None:
        kind, _, rest = key.partition("/")
        if kind == "j" and value is not None:
            self.add_job(rest, value)
        elif kind == "f" and value is not None:
            self.set_final_status(rest, value)
        elif kind == "r":
            if value is None:
                self.close_round(int(rest))
            else:
                self.apply_round(int(rest), value)
        elif kind == "d":
            if value is None:
                self.open_jobs_by_done_record.pop(int(rest), None)
            else:
                self.apply_finished_tasks(int(rest), value)
        elif kind == "s":
            if value is None:
                self.machines_by_failing_job.pop(rest, None)
            else:
                self.machines_by_failing_job[rest] = value
        elif kind == "c":
            if value is None:
                self.scale_out_records.pop(rest, None)
            else:
                self.scale_out_records[rest] = msgspec.convert(value, ScaleOutRecord)
        elif kind == "x":
            if value is None:
                self.scale_in_records.pop(rest, None)
            else:
                self.scale_in_records[rest] = value
        elif kind == "catalog":
            self.catalog = value
        elif kind == "options":
            self.options = {"values": value or {}, "stamp": revision if value is not None else 0}

    # ---- jobs ------------------------------------------------------------------------------

    def add_job(self, job_id: str, value: list[Any]) -> Job:
        job = self.jobs_by_id.get(job_id)
        if job is None:
            job = Job(len(self.jobs), job_id, value, self.names)
            self.jobs.append(job)
            self.jobs_by_id[job_id] = job
            self.open_jobs[job.index] = job
            final = self.early_final_statuses.pop(job_id, None)
            if final is not None:
                self.set_final_status(job_id, final)
        return job

    def set_final_status(self, job_id: str, final_status: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is None:
            self.early_final_statuses[job_id] = final_status  # keys may be read in any order
            return
        if job.final_status is None:
            job.final_status = final_status
            self.open_jobs.pop(job.index, None)
            for number in job.done_records:
                waiting = self.open_jobs_by_done_record.get(number)
                if waiting is not None:
                    waiting.discard(job.index)
            if final_status == protocol.JobStatus.DONE:
                job.done_count = job.task_count
            job.task_states = bytearray()

    def mark_task_finished(self, job: Job, task: int) -> None:
        if job.final_status is None and job.task_states[task] != TASK_FINISHED:
            job.task_states[task] = TASK_FINISHED
            job.done_count += 1
        attempt = job.live_attempts.get(task)
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
        state: OperationState = OperationState.UNKNOWN,
    ) -> Attempt:
        attempt = Attempt(number, job, task, machine, session, state)
        job.live_attempts[task] = attempt
        if job.final_status is None:
            job.task_states[task] = TASK_LIVE
        there = self.attempts_by_machine.setdefault(machine, {})
        replaced = there.get((job.index, task))
        if replaced is not None and not replaced.has_exited:
            self.usage.remove(replaced)
        there[job.index, task] = attempt
        self.usage.add(attempt)
        self.attempts_by_round.setdefault(number, set()).add(attempt)
        return attempt

    def release(self, attempt: Attempt, done: bool = False) -> None:
        """The attempt is surely over: its task may be placed again unless it is done."""
        job, task = attempt.job, attempt.task
        if attempt.state is not OperationState.SUPERSEDED and not done:
            transition(attempt, OperationState.SUPERSEDED)
        if job.live_attempts.get(task) is attempt:
            del job.live_attempts[task]
            if job.final_status is None and job.task_states[task] == TASK_LIVE:
                job.task_states[task] = TASK_PENDING
        there = self.attempts_by_machine.get(attempt.machine)
        if there is not None and there.get((job.index, task)) is attempt:
            del there[job.index, task]
            if not attempt.has_exited:
                self.usage.remove(attempt)
            if not there:
                del self.attempts_by_machine[attempt.machine]
        live = self.attempts_by_round.get(attempt.number)
        if live is not None:
            live.discard(attempt)

    def set_reported_state(self, attempt: Attempt, status: str) -> str:
        """Its worker says how the attempt stands. Returns how it stood before."""
        before, attempt.reported_state = attempt.reported_state, status
        there = self.attempts_by_machine.get(attempt.machine, {})
        if there.get((attempt.job.index, attempt.task)) is attempt:
            if status == protocol.TaskState.EXITED and before != protocol.TaskState.EXITED:
                self.usage.remove(attempt)
            elif before == protocol.TaskState.EXITED and status != protocol.TaskState.EXITED:
                self.usage.add(attempt)
        return before

    def apply_round(
        self,
        number: int,
        value: list[Any],
        state: OperationState = OperationState.UNKNOWN,
        unsent: Collection[tuple[int, int]] = (),
    ) -> list[Attempt]:
        """The attempts that a round's record makes, in the given state.

        ``unsent``: job and task of starts that are on record and will never be sent.
        """
        if number in self.attempts_by_round:
            return []
        self.attempts_by_round[number] = set()
        made = []
        for machine, session, jobs in value:
            if machine == STOP_MARKER:
                self._apply_stops(number, jobs)
                continue
            index = self.names.machines.index(machine)
            for job_id, tasks in jobs:
                job = self.jobs_by_id.get(job_id)
                if job is None or job.final_status == protocol.JobStatus.DONE:
                    continue
                for task in tasks:
                    if job.final_status is None and job.task_states[task] == TASK_FINISHED:
                        continue
                    if (job.index, task) in unsent:
                        continue
                    older = job.live_attempts.get(task)
                    if older is not None:
                        # A leader claims a task anew only after the older attempt was settled.
                        if older.number > number:
                            continue
                        self.release(older)
                    made.append(self.add_attempt(number, job, task, index, session, state))
        return made

    def _apply_stops(self, number: int, jobs: list[Any]) -> None:
        for job_id, tasks in jobs:
            job = self.jobs_by_id.get(job_id)
            for task in tasks:
                attempt = job.live_attempts.get(task) if job is not None else None
                if attempt is not None and attempt.number < number:
                    attempt.stop_requested_at = 1.0

    def settle_unsent_round(self, number: int) -> None:
        """A round of which nothing was sent, or which is settled: its record makes no attempts."""
        self.close_round(number)
        self.attempts_by_round[number] = set()

    def close_round(self, number: int) -> None:
        for attempt in list(self.attempts_by_round.pop(number, ())):
            self.release(attempt)

    def apply_finished_tasks(self, number: int, value: list[Any]) -> None:
        if number in self.open_jobs_by_done_record:
            return
        waiting = self.open_jobs_by_done_record[number] = set()
        for job_id, ranges in value:
            job = self.jobs_by_id.get(job_id)
            if job is None:
                continue
            if job.final_status is None:
                waiting.add(job.index)
                job.done_records.append(number)
            for at in range(0, len(ranges), 2):
                for task in range(ranges[at], ranges[at + 1] + 1):
                    self.mark_task_finished(job, task)

    def recorded_machines(self) -> set[str]:
        """Those that rentals and returns on record name."""
        rented = [record.machine_names or () for record in self.scale_out_records.values()]
        return {name for names in [*rented, *self.scale_in_records.values()] for name in names}

    # ---- what may be dropped ---------------------------------------------------------------

    def settled_rounds(self) -> list[int]:
        return [number for number, live in self.attempts_by_round.items() if not live]

    def obsolete_done_records(self) -> list[int]:
        return [number for number, waiting in self.open_jobs_by_done_record.items() if not waiting]
