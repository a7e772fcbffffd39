"""Builds the claim (the transaction) of one round within the limits of the state service."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from petrelthread import protocol
from petrelthread.fleet import Fleet
from petrelthread.scheduling.round_claim import NumberedRecord, RoundClaim
from petrelthread.scheduling.start_validator import Start, StartValidator
from petrelthread.settings import State
from petrelthread.state import (
    STOP_MARKER,
    TASK_FINISHED,
    Attempt,
    ClusterState,
    Job,
    KeyKind,
    Placement,
    RoundRecord,
    pack_finished_tasks,
    pack_round_records,
)
from petrelthread.store import KEY_PREFIX

CONDITIONS_PER_OPERATION = 4  # conditions that a transaction may have per allowed operation
FENCING_CONDITIONS = 3  # conditions of every claim: on leader key, epoch key and marker
# Operations of a transaction that are left for other changes than the final statuses of jobs.
RESERVED_OPERATIONS = 3
VALUE_SIZE_SHARE = 0.85  # share of the maximum value size of the state service that is used
BYTES_PER_KIB = 1024


class _FinishedWork(NamedTuple):
    """Finished tasks that are not recorded in the state service yet."""

    completed: list[Job]  # jobs all of whose tasks have finished
    tasks_by_job: dict[str, list[int]]  # by job id; only jobs with unfinished tasks


class ClaimBuilder:
    """Builds the claim of one round: finished tasks, starts, stops, suspects and deletions."""

    def __init__(
        self,
        limits: State,
        cluster_state: ClusterState,
        fleet: Fleet,
        validator: StartValidator,
        next_record_number: Callable[[], int],
        writes_for_deletions: Callable[[float], int],
        obsolete_keys: Sequence[str],
    ) -> None:
        """Initialize the builder.

        Args:
            limits: limits of the state service.
            cluster_state: jobs, attempts and records.
            fleet: finished tasks and failures of jobs.
            validator: validates the starts before they are claimed.
            next_record_number: draws an unused record number.
            writes_for_deletions: returns how many writes deletions may use, given an event loop
                time.
            obsolete_keys: keys of further settled records to delete; provisioning adds to it.
        """
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._validator = validator
        self._next_record_number = next_record_number
        self.writes_for_deletions = writes_for_deletions
        self._obsolete_keys = obsolete_keys
        self._max_value_bytes = int(limits.value_kb * BYTES_PER_KIB * VALUE_SIZE_SHARE)
        self._max_operations = limits.txn_ops

    def build(self, starts: list[Start], stops: list[Attempt], now: float) -> RoundClaim:
        """Build the claim for the decisions of a round; validates the starts."""
        claim = RoundClaim(stops=stops)
        self._add_finished(claim)
        self._add_starts_and_stops(claim, starts)
        self._add_suspects(claim)
        self._add_deletions(claim, now)
        return claim

    # ---- finished tasks -----------------------------------------------------------------------

    def _add_finished(self, claim: RoundClaim) -> None:
        finished = self._collect_finished()
        # The final status of a complete job covers all its tasks.
        claim.completed = finished.completed[: max(1, self._max_operations - RESERVED_OPERATIONS)]
        for job in claim.completed:
            key = KeyKind.FINAL_STATUS.key(job.id)
            claim.put(key, protocol.JobStatus.DONE)
            claim.absent_keys.append(key)
        if finished.tasks_by_job:
            claim.finished_tasks_record, _ = pack_finished_tasks(
                finished.tasks_by_job, self._max_value_bytes
            )
            claim.finished_tasks_number = self._next_record_number()
            claim.marker = KeyKind.FINISHED_TASKS.key(claim.finished_tasks_number)
            claim.put(claim.marker, claim.finished_tasks_record)

    def _collect_finished(self) -> _FinishedWork:
        """Collect unrecorded finished tasks; discard those that need no record any more."""
        finished = _FinishedWork([], {})
        for job_index, reported in list(self._fleet.finished_tasks.items()):
            job = self._cluster_state.jobs[job_index]
            if job.final_status is not None:
                del self._fleet.finished_tasks[job_index]
                self._release_exited(job)
                continue
            # Another leader, or an abandoned claim of this one, may have recorded some of these
            # tasks. Counting a task twice would complete the job too soon.
            tasks = {task for task in reported if job.task_states[task] != TASK_FINISHED}
            if not tasks and job.finished_count < job.task_count:
                del self._fleet.finished_tasks[job_index]
                continue
            self._fleet.finished_tasks[job_index] = tasks
            if job.finished_count + len(tasks) >= job.task_count:
                finished.completed.append(job)
            else:
                finished.tasks_by_job[job.id] = list(tasks)
        return finished

    def _release_exited(self, job: Job) -> None:
        for attempt in list(job.live_attempts.values()):
            if attempt.has_exited:
                self._cluster_state.release(attempt, task_finished=True)

    # ---- starts and stops ---------------------------------------------------------------------

    def _add_starts_and_stops(self, claim: RoundClaim, decided: list[Start]) -> None:
        admitted = self._validator.admit(decided).admitted
        starts = self._require_unfinished(admitted, claim.absent_keys)
        postponed = len(starts) < len(admitted)
        max_records = max(1, self._max_operations - len(claim.operations))
        packed = self._pack(starts, claim.stops)
        # A gang starts as a whole: if the claim can't hold all its starts, the gang waits for the
        # next round, and the remaining starts are packed again.
        while split := _split_gangs(packed, starts, max_records):
            starts = [start for start in starts if start.job.id not in split]
            packed, postponed = self._pack(starts, claim.stops), True
        for record in packed[:max_records]:
            number = self._next_record_number()
            key = KeyKind.ROUND.key(number)
            claim.records.append(NumberedRecord(number, record))
            claim.put(key, record)
            claim.marker = claim.marker or key
        recorded = _started_tasks(packed[:max_records])
        claim.starts = [start for start in starts if (start.job.id, start.task) in recorded]
        claim.has_postponed = postponed or len(claim.records) < len(packed)

    def _require_unfinished(self, starts: list[Start], absent_keys: list[str]) -> list[Start]:
        """Make the claim conditional on each job being neither complete nor cancelled.

        Another controller may confirm a cancellation before the watch cache of this one shows it,
        and from then on no task of the job may start. Adds the keys to ``absent_keys``. Starts of
        jobs for which the transaction has no condition left are not returned.
        """
        available = (
            CONDITIONS_PER_OPERATION * self._max_operations - len(absent_keys) - FENCING_CONDITIONS
        )
        job_ids = list(dict.fromkeys(start.job.id for start in starts))[: max(1, available)]
        absent_keys += [KeyKind.FINAL_STATUS.key(job_id) for job_id in job_ids]
        covered = set(job_ids)
        return [start for start in starts if start.job.id in covered]

    def _pack(self, starts: list[Start], stops: list[Attempt]) -> list[RoundRecord]:
        entries = [
            Placement(machine.name, machine.incarnation, job.id, task)
            for job, task, machine in starts
        ]
        entries += [Placement(STOP_MARKER, 0, attempt.job.id, attempt.task) for attempt in stops]
        return pack_round_records(entries, self._max_value_bytes)

    # ---- suspects and deletions ---------------------------------------------------------------

    def _add_suspects(self, claim: RoundClaim) -> None:
        suspects = self._fleet.job_failures.new_suspects()
        available = max(0, self._max_operations - len(claim.operations))
        for job_id in list(suspects)[:available]:
            claim.suspects[job_id] = suspects[job_id]
            claim.put(KeyKind.SUSPECT_JOB.key(job_id), suspects[job_id])

    def _add_deletions(self, claim: RoundClaim, now: float) -> None:
        """Delete settled records as far as the write rate has spare capacity.

        A claim that is queued behind deletions would delay the start of tasks.
        """
        cluster_state = self._cluster_state
        settled = [KeyKind.ROUND.key(number) for number in cluster_state.settled_rounds()]
        settled += [
            KeyKind.FINISHED_TASKS.key(number)
            for number in cluster_state.obsolete_finished_task_records()
        ]
        settled += self._obsolete_keys
        settled += [
            KeyKind.SUSPECT_JOB.key(job_id)
            for job_id in self._fleet.job_failures.cleared_suspects()
        ]
        written = len(claim.operations)
        available = min(self._max_operations - written, self.writes_for_deletions(now) - written)
        claim.deleted_keys = settled[: max(0, available)]
        for key in claim.deleted_keys:
            claim.operations.append(protocol.DeleteOperation(KEY_PREFIX + key))


def _started_tasks(packed: list[RoundRecord]) -> set[tuple[str, int]]:
    """Job id and task index of each start in the packed records."""
    return {
        (tasks_of_job.job_id, task)
        for record in packed
        for entry in record
        if not entry.is_stop
        for tasks_of_job in entry.jobs
        for task in tasks_of_job.tasks
    }


def _split_gangs(packed: list[RoundRecord], starts: list[Start], max_records: int) -> set[str]:
    """Ids of gangs with starts in records after the first ``max_records``.

    A gang that is the only job with starts is not included, even if it is too large for one claim:
    it could not start otherwise.
    """
    postponed_jobs = {job_id for job_id, _ in _started_tasks(packed[max_records:])}
    gangs = {start.job.id for start in starts if start.job.is_gang}
    is_alone = len({start.job.id for start in starts}) == 1
    return set() if is_alone else postponed_jobs & gangs
