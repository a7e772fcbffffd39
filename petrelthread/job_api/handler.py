"""Users' requests. An answer is never held back: what cannot be known now is a 503 at once."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

import orjson

from petrelthread import protocol
from petrelthread.http import Response, error_response, json_response
from petrelthread.job_api.validation import (
    JobTooLargeError,
    MachineTypesUnknownError,
    UnschedulableJobError,
    check_runnable,
)
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, Job, JobRecord, encode
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    StateClient,
    StateRateLimitedError,
    StateUnavailableError,
    TransactionConflictError,
    WatchCache,
)
from petrelthread.store import StateResultUnknownError as Unsure

log = logging.getLogger(__name__)

MAX_QUEUE_WAIT_S = 1.5  # a submission that would wait longer for its write is sent away at once
RETRY_S = 1
OUTAGE_RETRY_S = 1
MAX_RATE_LIMIT_RETRIES = 3  # writes refused for the service's rate alone take their turn again,
RATE_LIMIT_RETRY_S = 0.2  # so soon; then the user is sent away


class JobApi:
    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        watch_cache: WatchCache,
        client: StateClient,
        machine_types: Callable[[], tuple[protocol.MachineType, ...] | None],
    ) -> None:
        self._teams = {team.name: team for team in settings.cluster.teams}
        self._limits = settings.cluster.state
        self._cluster_state = cluster_state
        self._watch_cache = watch_cache
        self._client = client
        self._machine_types = machine_types
        self._queue: list[tuple[protocol.JobSpec, list[Any], asyncio.Future[int]]] = []
        self._flushing: asyncio.Task[None] | None = None

    async def handle(self, method: str, path: str, body: bytes) -> Response:
        if path == protocol.JOBS_PATH:
            if method != "POST":
                return error_response(405, "use POST")
            return await self.submit(body)
        job_id = path[len(protocol.JOBS_PATH) + 1 :]
        if job_id.endswith(protocol.CANCEL_SUFFIX):
            if method != "POST":
                return error_response(405, "use POST")
            return await self.cancel(job_id[: -len(protocol.CANCEL_SUFFIX)])
        if "/" in job_id:
            return error_response(404, "no such path")
        if method != "GET":
            return error_response(405, "use GET")
        return await self.query(job_id)

    # ---- submit ----------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        try:
            spec = protocol.parse_job(body)
        except protocol.BadRequestError as error:
            return error_response(400, str(error))
        if spec.job_id in self._cluster_state.jobs_by_id:
            # Accepted once, it is never judged again, whatever the repeat says.
            return await self._state_of(spec.job_id)
        value = encode(JobRecord.from_spec(spec, time.time()))
        try:
            if len(orjson.dumps(value)) > self._limits.value_kb * 1000:
                raise JobTooLargeError("the description is too large to keep")
            check_runnable(spec, self._teams, self._machine_types())
        except (JobTooLargeError, UnschedulableJobError, MachineTypesUnknownError) as error:
            # The watch cache may lag behind: an accepted job must never be told that it cannot run.
            if not await self._watch_cache.refresh():
                return error_response(503, "state service unreachable", OUTAGE_RETRY_S)
            if spec.job_id in self._cluster_state.jobs_by_id:
                return await self._state_of(spec.job_id)
            if isinstance(error, JobTooLargeError):
                return error_response(400, str(error))
            if isinstance(error, MachineTypesUnknownError):
                return error_response(503, str(error), RETRY_S)
            return error_response(422, str(error))
        if not self._watch_cache.loaded.is_set():
            return error_response(503, "still reading the state", RETRY_S)
        now = asyncio.get_running_loop().time()
        writes = self._client.write_bucket
        wait_s = max(writes.wait_time_s(now), 0.0) + len(self._queue) / writes.rate
        if wait_s > MAX_QUEUE_WAIT_S:
            return error_response(429, "too many submissions", max(1, round(wait_s)))
        status = await self._create(spec, value)
        if status == 201:
            return json_response(201, protocol.job_response(spec.job_id, protocol.JobStatus.QUEUED))
        if status == 200:
            return await self._state_of(spec.job_id)
        return error_response(503, "state service unreachable", OUTAGE_RETRY_S)

    async def _create(self, spec: protocol.JobSpec, value: list[Any]) -> int:
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append((spec, value, future))
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        """Group commit: as many waiting submissions as one transaction takes."""
        while self._queue:
            batch: list[tuple[protocol.JobSpec, list[Any], asyncio.Future[int]]] = []
            size = 0
            while self._queue and len(batch) < self._limits.txn_ops:
                size += len(orjson.dumps(self._queue[0][1])) + 200
                if batch and size > 60_000:
                    break
                batch.append(self._queue.pop(0))
            await self._commit(batch)

    async def _commit(
        self, batch: list[tuple[protocol.JobSpec, list[Any], asyncio.Future[int]]]
    ) -> None:
        tries, busy = 3, 0
        while batch and tries:
            tries -= 1
            keys = [f"{KEY_PREFIX}j/{spec.job_id}" for spec, _, _ in batch]
            conditions = [protocol.Condition(key, 0) for key in dict.fromkeys(keys)]
            ops = [
                protocol.PutOperation(key, value)
                for key, (_, value, _) in zip(keys, batch, strict=True)
            ]
            if len(conditions) < len(batch):  # the same job twice in one batch: one at a time
                for entry in batch:
                    await self._commit([entry])
                return
            try:
                await self._client.transact(conditions, ops)
            except TransactionConflictError as conflict:
                kept = []
                for key, entry in zip(keys, batch, strict=True):
                    if key in conflict.failed_keys:
                        self._resolve(entry, 200)
                    else:
                        kept.append(entry)
                batch = kept
                continue
            except StateRateLimitedError:
                # All controllers' shares together may exceed the service's burst for a moment. A
                # user sent away for that came back only after the time that the users expect.
                busy += 1
                if busy > MAX_RATE_LIMIT_RETRIES:
                    break
                tries += 1
                await asyncio.sleep(RATE_LIMIT_RETRY_S)
                continue
            except (StateUnavailableError, Unsure, LeaseExpiredError) as error:
                log.debug("submission not written: %s", error)
                break
            for entry in batch:
                self._resolve(entry, 201)
            return
        for entry in batch:
            self._resolve(entry, 503)

    @staticmethod
    def _resolve(
        entry: tuple[protocol.JobSpec, list[Any], asyncio.Future[int]], status: int
    ) -> None:
        if not entry[2].done():
            entry[2].set_result(status)

    # ---- query and cancel --------------------------------------------------------------------

    async def query(self, job_id: str) -> Response:
        if not protocol.JOB_ID.match(job_id):
            return error_response(404, "no such job")
        return await self._state_of(job_id)

    async def _state_of(self, job_id: str) -> Response:
        job = self._cluster_state.jobs_by_id.get(job_id)
        if (
            job is None or job.final_status is None
        ):  # final states never change: no need to look again
            if not await self._watch_cache.refresh():
                return error_response(503, "state service unreachable", OUTAGE_RETRY_S)
            job = self._cluster_state.jobs_by_id.get(job_id)
        if job is None:
            return error_response(404, "no such job")
        running = 0 if job.final_status is not None else len(job.live_attempts)
        return json_response(
            200, protocol.job_response(job_id, job.status, job.done_count, running)
        )

    async def cancel(self, job_id: str) -> Response:
        if not protocol.JOB_ID.match(job_id):
            return error_response(404, "no such job")
        current = await self._state_of(job_id)
        job = self._cluster_state.jobs_by_id.get(job_id)
        if current.status != 200 or job is None:
            return current
        if job.final_status is None:
            key = f"{KEY_PREFIX}f/{job_id}"
            try:
                await self._client.transact(
                    [protocol.Condition(key, 0)],
                    [protocol.PutOperation(key, protocol.JobStatus.CANCELLED)],
                )
            except TransactionConflictError:
                return await self._final_of(job)
            except (StateUnavailableError, Unsure, LeaseExpiredError) as error:
                log.debug("cancellation not written: %s", error)
                return error_response(503, "state service unreachable", OUTAGE_RETRY_S)
            self._cluster_state.set_final_status(job_id, protocol.JobStatus.CANCELLED)
        return json_response(200, protocol.job_response(job_id, job.status))

    async def _final_of(self, job: Job) -> Response:
        if job.final_status is None:
            await self._watch_cache.refresh()
        if job.final_status is None:
            return error_response(503, "state service unreachable", OUTAGE_RETRY_S)
        return json_response(200, protocol.job_response(job.id, job.status))
