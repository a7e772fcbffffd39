"""Random histories of the stored keys, and what a controller knows that has seen each change."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

import orjson

from petrelthread import protocol
from petrelthread.emulator.state_service import StateService
from petrelthread.state import ClusterState, InternedNames, JobRecord, encode
from petrelthread.store import KEY_PREFIX
from tests.simulation import job_spec


def stored_job(job_id: str, tasks: int) -> Any:
    """Return the stored value of an accepted job."""
    spec = protocol.parse_job(orjson.dumps(job_spec(job_id, tasks)))
    return encode(JobRecord.from_spec(spec, 1000.0))


class HistoryWriter:
    """Writes what leaders and siblings write, in an order drawn from a seed."""

    def __init__(self, service: StateService, randomness: random.Random) -> None:
        self._service = service
        self._random = randomness
        self._task_counts: dict[str, int] = {}
        self._pending: set[tuple[str, int]] = set()
        self._running: dict[int, tuple[str, int]] = {}  # by number of the round's record
        self._last_number = 1 << 20
        self._observer = new_cluster_state()
        self._observed_puts = 0
        self.state_at: dict[int, Any] = {}  # what an observer of each change knows, by revision

    async def write(self, transactions: int) -> None:
        """Apply some random transactions."""
        for _ in range(transactions):
            operations = self._random.choice(self._actions())()
            if not operations:
                continue
            status, answer = await self._service.handle(
                "leader", "POST", "/multi", {"when": [], "apply": operations}
            )
            assert status == 200
            self._observe(operations, answer["epoch"])

    def _actions(self) -> Sequence[Callable[[], list[dict[str, Any]]]]:
        return (
            self._accept,
            self._accept,
            self._start,
            self._start,
            self._finish,
            self._cancel,
        )

    def _observe(self, operations: list[dict[str, Any]], revision: int) -> None:
        for operation in operations:
            key = operation.get("put") or operation["drop"]
            self._observer.on_key(key[len(KEY_PREFIX) :], operation.get("v"), revision)
        self.state_at[revision] = summary(self._observer)

    def _accept(self) -> list[dict[str, Any]]:
        job_id = f"wk-{self._random.randrange(10**6):06d}"
        if job_id in self._task_counts:
            return []
        self._task_counts[job_id] = count = self._random.randrange(1, 4)
        self._pending |= {(job_id, task) for task in range(count)}
        return [{"put": f"{KEY_PREFIX}j/{job_id}", "v": stored_job(job_id, count)}]

    def _start(self) -> list[dict[str, Any]]:
        if not self._pending:
            return []
        job_id, task = self._random.choice(sorted(self._pending))
        self._pending.remove((job_id, task))
        self._last_number += 1
        self._running[self._last_number] = (job_id, task)
        machine = f"host-{self._random.randrange(5):06d}"
        value = [[machine, 1, [[job_id, [task]]]]]
        return [{"put": f"{KEY_PREFIX}r/{self._last_number}", "v": value}]

    def _finish(self) -> list[dict[str, Any]]:
        """End an attempt: its task is done, or has to start again."""
        if not self._running:
            return []
        number = self._random.choice(sorted(self._running))
        job_id, task = self._running.pop(number)
        operations: list[dict[str, Any]] = [{"drop": f"{KEY_PREFIX}r/{number}"}]
        if self._random.random() < 0.3:
            self._pending.add((job_id, task))
            return operations
        self._last_number += 1
        record = {"put": f"{KEY_PREFIX}d/{self._last_number}", "v": [[job_id, [task, task]]]}
        return [record, *operations]

    def _cancel(self) -> list[dict[str, Any]]:
        job_ids = sorted({job_id for job_id, _ in self._pending})
        if not job_ids or self._random.random() < 0.6:
            return []
        job_id = self._random.choice(job_ids)
        self._pending = {entry for entry in self._pending if entry[0] != job_id}
        return [{"put": f"{KEY_PREFIX}f/{job_id}", "v": "aborted"}]


class LongHistoryWriter(HistoryWriter):
    """Also completes jobs, records suspect ones, and deletes records that are no longer needed.

    As in the service, no task of a job starts after the job has its final status.
    """

    def __init__(self, service: StateService, randomness: random.Random) -> None:
        super().__init__(service, randomness)
        self._final: set[str] = set()
        self._finished_task_records: dict[int, str] = {}  # by number, the job
        self._suspects: set[str] = set()

    def _actions(self) -> Sequence[Callable[[], list[dict[str, Any]]]]:
        more = (self._finish, self._finish, self._complete, self._complete)
        return (*super()._actions(), *more, self._suspect, self._clean_up)

    def _cancel(self) -> list[dict[str, Any]]:
        operations = super()._cancel()
        self._final |= {str(o["put"]).rpartition("/")[2] for o in operations}
        return operations

    def _finish(self) -> list[dict[str, Any]]:
        operations = super()._finish()
        self._pending = {entry for entry in self._pending if entry[0] not in self._final}
        for operation in operations:
            if "put" in operation:
                number = int(operation["put"].rpartition("/")[2])
                self._finished_task_records[number] = operation["v"][0][0]
        return operations

    def _complete(self) -> list[dict[str, Any]]:
        """Write the final status of a job without pending and running tasks."""
        unfinished = {job_id for job_id, _ in [*self._pending, *self._running.values()]}
        complete = sorted(self._task_counts.keys() - unfinished - self._final)
        if not complete:
            return []
        job_id = self._random.choice(complete)
        self._final.add(job_id)
        return [{"put": f"{KEY_PREFIX}f/{job_id}", "v": "done"}]

    def _suspect(self) -> list[dict[str, Any]]:
        suspects = sorted(self._suspects)
        if suspects and self._random.random() < 0.5:
            job_id = self._random.choice(suspects)
            self._suspects.remove(job_id)
            return [{"drop": f"{KEY_PREFIX}s/{job_id}"}]
        candidates = sorted(self._task_counts.keys() - self._final - self._suspects)
        if not candidates:
            return []
        job_id = self._random.choice(candidates)
        self._suspects.add(job_id)
        return [{"put": f"{KEY_PREFIX}s/{job_id}", "v": ["host-000001"]}]

    def _clean_up(self) -> list[dict[str, Any]]:
        obsolete = [n for n, job_id in self._finished_task_records.items() if job_id in self._final]
        for number in obsolete[:8]:
            del self._finished_task_records[number]
        return [{"drop": f"{KEY_PREFIX}d/{number}"} for number in obsolete[:8]]


def new_cluster_state() -> ClusterState:
    return ClusterState(InternedNames(["red"], ["a"]))


def summary(state: ClusterState) -> Any:
    """Return the jobs with their statuses, finished tasks and attempts, and the records."""
    machine_name = state.names.machines.name
    jobs = {
        job.id: (
            job.final_status,
            job.finished_count,
            {task: (a.number, machine_name(a.machine)) for task, a in job.live_attempts.items()},
        )
        for job in state.jobs.values()
    }
    finished = {
        number: {state.jobs[index].id for index in indices}
        for number, indices in state.open_jobs_by_finished_task_record.items()
    }
    rounds = {number: len(attempts) for number, attempts in state.attempts_by_round.items()}
    return jobs, finished, rounds
