"""Queries and cancellations of jobs."""

from __future__ import annotations

import logging
from http import HTTPStatus

from petrelthread import protocol
from petrelthread.history import StoredJob
from petrelthread.http import Response, json_response
from petrelthread.job_api.job_lookup import JobLookup, JobUndecidedError
from petrelthread.job_api.responses import job_not_found, state_service_unreachable
from petrelthread.state import ClusterState, Job, KeyKind
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    StateClient,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
)

log = logging.getLogger(__name__)


class JobQueries:
    """Responds with the status of jobs, and cancels jobs."""

    def __init__(self, cluster_state: ClusterState, lookup: JobLookup, client: StateClient) -> None:
        self._cluster_state = cluster_state
        self._lookup = lookup
        self._client = client

    async def query(self, job_id: str) -> Response:
        """Return a job's status; ``job_id`` comes from a user and is validated."""
        if not protocol.JOB_ID.match(job_id):
            return job_not_found()
        return await self.status_response(job_id)

    async def status_response(self, job_id: str) -> Response:
        """Return a job's status; ``job_id`` is known to be valid."""
        try:
            job = await self._lookup.find(job_id)
        except JobUndecidedError:
            return state_service_unreachable()
        return job_not_found() if job is None else _status_of(job_id, job)

    async def response_if_accepted(self, job_id: str) -> Response | None:
        """Return the status of a job as a response; None if the job was never accepted."""
        response = await self.status_response(job_id)
        return None if response.status == HTTPStatus.NOT_FOUND else response

    async def cancel(self, job_id: str) -> Response:
        """Cancel a job unless it has a final status; the response contains the final status."""
        if not protocol.JOB_ID.match(job_id):
            return job_not_found()
        try:
            job = await self._lookup.find(job_id)
        except JobUndecidedError:
            return state_service_unreachable()
        if job is None:
            return job_not_found()
        if isinstance(job, Job) and job.final_status is None:
            return await self._cancel_open(job)
        return _final_status_of(job_id, job)

    async def _cancel_open(self, job: Job) -> Response:
        try:
            await self._write_cancellation(job.id)
        except TransactionConflictError:
            return await self._final_status_response(job)
        except (StateUnavailableError, StateResultUnknownError, LeaseExpiredError) as error:
            log.debug("cancellation not confirmed by the state service: %s", error)
            return state_service_unreachable()
        self._cluster_state.finish_job(job, protocol.JobStatus.CANCELLED)
        return _final_status_of(job.id, job)

    async def _write_cancellation(self, job_id: str) -> None:
        key = KEY_PREFIX + KeyKind.FINAL_STATUS.key(job_id)
        await self._client.transact(
            [protocol.Condition(key, 0)],
            [protocol.PutOperation(key, protocol.JobStatus.CANCELLED)],
        )

    async def _final_status_response(self, job: Job) -> Response:
        """Return the final status that another transaction wrote for a job."""
        if job.final_status is None:
            await self._lookup.refresh()
        if job.final_status is None:
            return state_service_unreachable()
        return _final_status_of(job.id, job)


def _status_of(job_id: str, job: Job | StoredJob) -> Response:
    if isinstance(job, StoredJob):
        body = protocol.job_response(job_id, str(job.final_status), job.finished_count)
    else:
        running = 0 if job.final_status is not None else len(job.live_attempts)
        body = protocol.job_response(job_id, job.status, job.finished_count, running)
    return json_response(HTTPStatus.OK, body)


def _final_status_of(job_id: str, job: Job | StoredJob) -> Response:
    return json_response(HTTPStatus.OK, protocol.job_response(job_id, str(job.final_status)))
