"""Submission of jobs. It is idempotent: a repeat returns the status of the existing job."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import orjson

from petrelthread import protocol
from petrelthread.http import Response, error_response, json_response
from petrelthread.job_api.queries import JobQueries
from petrelthread.job_api.responses import state_service_unreachable
from petrelthread.job_api.submission_queue import SubmissionOutcome, SubmissionQueue
from petrelthread.job_api.validation import (
    NOT_READY_RETRY_S,
    JobTooLargeError,
    SubmissionRefusedError,
    check_runnable,
)
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, JobRecord, encode
from petrelthread.store import StateClient, WatchCache

MAX_WRITE_WAIT_S = 1.5  # a submission whose write would wait longer is refused immediately
KB = 1000


class JobSubmission:
    """Checks submitted jobs and writes those that can run to the state service."""

    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        watch_cache: WatchCache,
        client: StateClient,
        machine_types: Callable[[], tuple[protocol.MachineType, ...] | None],
        queries: JobQueries,
    ) -> None:
        """``machine_types`` returns None until they are known."""
        limits = settings.cluster.state
        self._teams = {team.name: team for team in settings.cluster.teams}
        self._max_value_bytes = limits.value_kb * KB
        self._cluster_state = cluster_state
        self._watch_cache = watch_cache
        self._client = client
        self._machine_types = machine_types
        self._queries = queries
        self._queue = SubmissionQueue(client, limits.txn_ops)

    async def submit(self, body: bytes) -> Response:
        """Accept a job, or return a response with the reason why not."""
        try:
            spec = protocol.parse_job(body)
        except protocol.BadRequestError as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))
        if spec.job_id in self._cluster_state.jobs_by_id:
            # An accepted job is not checked again, even if the repeated request differs.
            return await self._queries.status_response(spec.job_id)
        value = encode(JobRecord.from_spec(spec, time.time()))
        try:
            self._check(spec, value)
        except SubmissionRefusedError as error:
            return await self._refuse(spec.job_id, error)
        if not self._watch_cache.loaded.is_set():
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "still reading the state", NOT_READY_RETRY_S
            )
        wait_s = self._write_wait_s()
        if wait_s > MAX_WRITE_WAIT_S:
            return error_response(
                HTTPStatus.TOO_MANY_REQUESTS, "too many submissions", max(1, round(wait_s))
            )
        return await self._create(spec.job_id, value)

    def _check(self, spec: protocol.JobSpec, value: list[Any]) -> None:
        if len(orjson.dumps(value)) > self._max_value_bytes:
            raise JobTooLargeError("the description is too large to keep")
        check_runnable(spec, self._teams, self._machine_types())

    async def _refuse(self, job_id: str, error: SubmissionRefusedError) -> Response:
        """Refuse a job unless it was accepted before, even if it has finished long ago.

        A refusal that the user retries needs no read of a job that is not in memory.
        """
        if not error.is_final:
            if not await self._watch_cache.refresh():
                return state_service_unreachable()
            if job_id not in self._cluster_state.jobs_by_id:
                return error_response(error.status, str(error), error.retry_after_s)
        accepted = await self._queries.response_if_accepted(job_id)
        return accepted or error_response(error.status, str(error), error.retry_after_s)

    def _write_wait_s(self) -> float:
        """How long a new submission would wait to be written, in seconds."""
        now = asyncio.get_running_loop().time()
        writes = self._client.write_bucket
        return max(writes.wait_time_s(now), 0.0) + len(self._queue) / writes.rate

    async def _create(self, job_id: str, value: list[Any]) -> Response:
        outcome = await self._queue.create(job_id, value)
        if outcome is SubmissionOutcome.CREATED:
            body = protocol.job_response(job_id, protocol.JobStatus.QUEUED)
            return json_response(HTTPStatus.CREATED, body)
        if outcome is SubmissionOutcome.EXISTS:
            return await self._queries.status_response(job_id)
        return state_service_unreachable()
