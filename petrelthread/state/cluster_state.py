"""The state that all controllers share: jobs, attempts, and scale-out and scale-in requests.

It is built only from the keys in the state service, so every controller has a copy when it
becomes the leader. ``stored_records`` describes the keys and their values.

It holds all open jobs. Of the finished ones it holds those that are still needed and a bounded
number of recent ones; the others are only in the state service.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from petrelthread import protocol
from petrelthread.interner import InternedNames
from petrelthread.state import stored_records
from petrelthread.state.attempt_table import AttemptTable
from petrelthread.state.finished_jobs import FinishedJobs
from petrelthread.state.job import STOP_TIME_UNKNOWN, TASK_FINISHED, Attempt, Job, TaskKey
from petrelthread.state.operation_state import OperationState
from petrelthread.state.stored_records import (
    STOP_MARKER,
    FinishedTasksRecord,
    JobRecord,
    KeyKind,
    RoundRecord,
    ScaleOutRecord,
    StoredOptions,
    StoredValue,
    TasksOfJob,
)

log = logging.getLogger(__name__)

NO_INDEX = -1  # of a job that is not part of the state


class _KeyHandler(NamedTuple):
    """How to apply changes of one kind of key; a name is the part of the key after its kind."""

    decode: Callable[[StoredValue], Any]  # returns the record that ``put`` takes
    put: Callable[[str, Any], object]
    delete: Callable[[str], object]


class ClusterState(AttemptTable):
    """Jobs, attempts and requests to the cloud, as recorded in the state service.

    ``on_key`` applies each change of a key. The leader also applies its own claims before the watch
    shows them, with the methods for the individual kinds of records.

    Attributes:
        names: interned names of the jobs, machines and teams.
        jobs: the jobs in memory, by index; an index is never used again.
        jobs_by_id: the same jobs, by id.
        open_jobs: jobs without a final status, by index; all of them are in memory.
        finished_jobs: the finished jobs in memory.
        accepted_count: jobs that were ever added.
        seen_job_classes: indices of the classes of all jobs that were ever stored.
        open_jobs_by_finished_task_record: by number of a record of finished tasks, the indices of
            the open jobs whose tasks it contains.
        machines_by_suspect_job: by id of a suspect job, one that fails everywhere, the names of
            machines where it failed.
        scale_out_records: by name of the request.
        scale_in_records: names of the machines to return, by name of the request.
        catalog: stored value of the machine types; None if there is none.
        options: settings that operators changed.
    """

    def __init__(self, names: InternedNames) -> None:
        super().__init__()
        self.names = names
        self.jobs: dict[int, Job] = {}
        self.jobs_by_id: dict[str, Job] = {}
        self.open_jobs: dict[int, Job] = {}
        self.finished_jobs = FinishedJobs()
        self.accepted_count = 0
        self.seen_job_classes: set[int] = set()
        self.open_jobs_by_finished_task_record: dict[int, set[int]] = {}
        self.machines_by_suspect_job: dict[str, list[str]] = {}
        self.scale_out_records: dict[str, ScaleOutRecord] = {}
        self.scale_in_records: dict[str, list[str]] = {}
        self.catalog: StoredValue = None
        self.options = StoredOptions({}, 0)
        self._early_final_statuses: dict[str, str] = {}  # by id of jobs that are not known yet
        self._key_handlers = self._make_key_handlers()

    # ---- keys ------------------------------------------------------------------------------

    def _make_key_handlers(self) -> dict[str, _KeyHandler]:
        return {
            KeyKind.JOB: _KeyHandler(stored_records.decode_job, self.add_job, _ignore),
            KeyKind.FINAL_STATUS: _KeyHandler(str, self.set_final_status, _ignore),
            KeyKind.ROUND: _KeyHandler(
                stored_records.decode_round,
                lambda number, record: self.apply_round(int(number), record),
                lambda number: self.remove_round(int(number)),
            ),
            KeyKind.FINISHED_TASKS: _KeyHandler(
                stored_records.decode_finished_tasks,
                lambda number, record: self.apply_finished_tasks(int(number), record),
                lambda number: self.open_jobs_by_finished_task_record.pop(int(number), None),
            ),
            KeyKind.SUSPECT_JOB: _KeyHandler(
                stored_records.decode_machine_names,
                self.machines_by_suspect_job.__setitem__,
                lambda job_id: self.machines_by_suspect_job.pop(job_id, None),
            ),
            KeyKind.SCALE_OUT: _KeyHandler(
                stored_records.decode_scale_out,
                self.scale_out_records.__setitem__,
                lambda name: self.scale_out_records.pop(name, None),
            ),
            KeyKind.SCALE_IN: _KeyHandler(
                stored_records.decode_machine_names,
                self.scale_in_records.__setitem__,
                lambda name: self.scale_in_records.pop(name, None),
            ),
        }

    def on_key(self, key: str, value: StoredValue, revision: int) -> None:
        """Apply a change of a key; kinds of keys that this state does not use are ignored.

        Args:
            key: the key without prefix.
            value: its value, or None if it was deleted.
            revision: the revision of the change.
        """
        kind, _, name = key.partition("/")
        handler = self._key_handlers.get(kind)
        if handler is not None:
            if value is None:
                handler.delete(name)
            else:
                handler.put(name, handler.decode(value))
        elif kind == KeyKind.CATALOG:
            self.catalog = value
        elif kind == KeyKind.OPTIONS:
            self.options = StoredOptions(value or {}, 0 if value is None else revision)

    # ---- jobs ------------------------------------------------------------------------------

    def add_job(self, job_id: str, record: JobRecord) -> Job:
        """Add an accepted job and return it, or return the existing job with this id."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            job = Job(self.accepted_count, job_id, record, self.names)
            self.accepted_count += 1
            self.seen_job_classes.add(job.job_class)
            self.jobs[job.index] = job
            self.jobs_by_id[job_id] = job
            self.open_jobs[job.index] = job
            final_status = self._early_final_statuses.pop(job_id, None)
            if final_status is not None:
                self.set_final_status(job_id, final_status)
        return job

    def set_final_status(self, job_id: str, final_status: str) -> None:
        """Set a job's final status, now or once the job is known; the first status is kept."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            self._early_final_statuses[job_id] = final_status  # the job's key may be read later
            return
        self.finish_job(job, final_status)

    def finish_job(self, job: Job, final_status: str) -> None:
        """Set the final status of a job that was in memory; the first status is kept.

        A job is done when each task has finished, so that its attempts have ended. Tasks of a
        cancelled job may still run.
        """
        if job.final_status is not None:
            return
        for number in job.finished_task_records:
            open_jobs = self.open_jobs_by_finished_task_record.get(number)
            if open_jobs is not None:
                open_jobs.discard(job.index)
        job.finish(final_status)
        if final_status == protocol.JobStatus.DONE:
            for attempt in list(job.live_attempts.values()):
                self.release(attempt, task_finished=True)
        self.open_jobs.pop(job.index, None)
        self.finished_jobs.add(job)

    def restore_finished_job(self, job_id: str, record: JobRecord, final_status: str) -> Job:
        """Add a finished job that was read from the state service, or return the one in memory."""
        job = self.add_job(job_id, record)
        self.finish_job(job, final_status)
        return job

    def detached_job(self, job_id: str, record: JobRecord, final_status: str) -> Job:
        """Return a finished job that is not part of this state, to show it to an operator."""
        job = Job(NO_INDEX, job_id, record, self.names)
        job.finish(final_status)
        return job

    def drop_finished_jobs(self, is_needed: Callable[[Job], bool]) -> list[Job]:
        """Drop the oldest finished jobs beyond the retained number from memory.

        A job stays while it has an attempt that may be running or a record of a suspect job.

        Args:
            is_needed: returns whether a finished job is needed for another reason.

        Returns:
            The dropped jobs.
        """
        dropped = self.finished_jobs.take_unneeded(
            lambda job: (
                bool(job.live_attempts) or job.id in self.machines_by_suspect_job or is_needed(job)
            )
        )
        for job in dropped:
            del self.jobs[job.index]
            del self.jobs_by_id[job.id]
        return dropped

    def note_job_class(self, name: str) -> None:
        """Note the class of a finished job that is not added."""
        self.seen_job_classes.add(self.names.job_classes.index(name))

    def mark_task_finished(self, job: Job, task: int) -> None:
        """Count a task as finished and release its attempt."""
        if job.final_status is None and job.task_states[task] != TASK_FINISHED:
            job.task_states[task] = TASK_FINISHED
            job.finished_count += 1
        attempt = job.live_attempts.get(task)
        if attempt is not None:
            self.release(attempt, task_finished=True)

    # ---- records of rounds and of finished tasks -------------------------------------------

    def apply_round(
        self,
        number: int,
        record: RoundRecord,
        state: OperationState = OperationState.UNKNOWN,
        unsent: Collection[TaskKey] = (),
    ) -> list[Attempt]:
        """Add the attempts of a round's record and apply its stops.

        A record that was applied or settled before changes nothing.

        Args:
            number: the number of the record.
            record: its starts and stops.
            state: the state of the new attempts.
            unsent: recorded starts that will never be sent.

        Returns:
            The new attempts.
        """
        if number in self.attempts_by_round:
            log.debug("record %s is known and is not applied again", KeyKind.ROUND.key(number))
            return []
        self.attempts_by_round[number] = set()
        return self._apply_entries(number, record, state, unsent)

    def _apply_entries(
        self,
        number: int,
        record: RoundRecord,
        state: OperationState,
        unsent: Collection[TaskKey],
    ) -> list[Attempt]:
        added = []
        for entry in record:
            if entry.machine == STOP_MARKER:
                self._apply_stops(number, entry.jobs)
                continue
            machine, incarnation = self.names.machines.index(entry.machine), entry.incarnation
            for tasks_of_job in entry.jobs:
                job = self._job_of_record(KeyKind.ROUND, number, tasks_of_job.job_id)
                if job is None or job.final_status == protocol.JobStatus.DONE:
                    continue
                is_open = job.final_status is None
                for task in tasks_of_job.tasks:
                    if is_open and job.task_states[task] == TASK_FINISHED:
                        continue
                    if unsent and (job.index, task) in unsent:
                        continue
                    older = job.live_attempts.get(task)
                    if older is not None:
                        # A leader starts a task again only if its older attempt can't run any more.
                        if older.number > number:
                            continue
                        self.release(older)
                    added.append(self.add_attempt(number, job, task, machine, incarnation, state))
        return added

    def _apply_stops(self, number: int, jobs: list[TasksOfJob]) -> None:
        for tasks_of_job in jobs:
            job = self._job_of_record(KeyKind.ROUND, number, tasks_of_job.job_id)
            if job is None:
                continue
            for task in tasks_of_job.tasks:
                attempt = job.live_attempts.get(task)
                if attempt is not None and attempt.number < number:
                    attempt.stop_requested_at = STOP_TIME_UNKNOWN

    def apply_finished_tasks(self, number: int, record: FinishedTasksRecord) -> None:
        """Mark a record's tasks as finished; a record that was applied before changes nothing."""
        if number in self.open_jobs_by_finished_task_record:
            return
        open_jobs = self.open_jobs_by_finished_task_record[number] = set()
        for finished in record:
            job = self._job_of_record(KeyKind.FINISHED_TASKS, number, finished.job_id)
            if job is None:
                continue
            if job.final_status is None:
                open_jobs.add(job.index)
                job.finished_task_records.append(number)
            for tasks in finished.task_ranges():
                for task in tasks:
                    self.mark_task_finished(job, task)

    def _job_of_record(self, kind: KeyKind, number: int, job_id: str) -> Job | None:
        """Return a job that a record names; None if the job's key has not been read.

        That is unexpected: a job's key is written before any record that names the job, and a
        finished job that a record names is not omitted when all keys are read.
        """
        job = self.jobs_by_id.get(job_id)
        if job is None:
            log.warning("record %s names the unknown job %s", kind.key(number), job_id)
        return job

    # ---- queries ---------------------------------------------------------------------------

    def recorded_machines(self) -> set[str]:
        """Names of the machines in scale-out and scale-in requests."""
        scaled_out = [record.machine_names or () for record in self.scale_out_records.values()]
        return {name for names in [*scaled_out, *self.scale_in_records.values()] for name in names}

    def obsolete_finished_task_records(self) -> list[int]:
        """Numbers of finished task records that may be deleted, as all their jobs have finished."""
        return [
            number for number, jobs in self.open_jobs_by_finished_task_record.items() if not jobs
        ]


def _ignore(name: str) -> None:
    """Ignore the deletion of a job's keys, which are never deleted."""
