"""Queries and cancellations of jobs."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus

from petrelthread import protocol
from petrelthread.http import Response, json_response
from petrelthread.job_api.responses import job_not_found, state_service_unreachable
from petrelthread.state import ClusterState, Job, KeyKind
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    StateClient,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
    WatchCache,
)

log = logging.getLogger(__name__)

# How long a response waits for a read of the state service; users wait 2 s for it.
MAX_REFRESH_WAIT_S = 1.25


class JobQueries:
    """Responds from the cluster state, and refreshes it first where it may be stale."""

    def __init__(
        self, cluster_state: ClusterState, watch_cache: WatchCache, client: StateClient
    ) -> None:
        self._cluster_state = cluster_state
        self._watch_cache = watch_cache
        self._client = client

    async def query(self, job_id: str) -> Response:
        """Return a job's status; ``job_id`` comes from a user and is validated."""
        if not protocol.JOB_ID.match(job_id):
            return job_not_found()
        return await self.status_response(job_id)

    async def status_response(self, job_id: str) -> Response:
        """Return a job's status; ``job_id`` is known to be valid."""
        job = self._cluster_state.jobs_by_id.get(job_id)
        if job is None or job.final_status is None:  # a final status never changes
            if not await self._refresh():
                return state_service_unreachable()
            job = self._cluster_state.jobs_by_id.get(job_id)
        if job is None:
            return job_not_found()
        running = 0 if job.final_status is not None else len(job.live_attempts)
        return json_response(
            HTTPStatus.OK, protocol.job_response(job_id, job.status, job.finished_count, running)
        )

    async def _refresh(self) -> bool:
        """Refresh the watch cache; return False if that fails or takes too long for the user.

        Without a limit, a call would wait for two timeouts when the state service is unreachable:
        of the read that is in progress, which began before the call, and of its own.
        """
        try:
            async with asyncio.timeout(MAX_REFRESH_WAIT_S):
                return await self._watch_cache.refresh()
        except TimeoutError:
            return False

    async def cancel(self, job_id: str) -> Response:
        """Cancel a job unless it has a final status; the response contains the final status."""
        if not protocol.JOB_ID.match(job_id):
            return job_not_found()
        current = await self.status_response(job_id)
        job = self._cluster_state.jobs_by_id.get(job_id)
        if current.status != HTTPStatus.OK or job is None:
            return current
        if job.final_status is None:
            try:
                await self._write_cancellation(job_id)
            except TransactionConflictError:
                return await self._final_status_response(job)
            except (StateUnavailableError, StateResultUnknownError, LeaseExpiredError) as error:
                log.debug("cancellation not confirmed by the state service: %s", error)
                return state_service_unreachable()
            self._cluster_state.set_final_status(job_id, protocol.JobStatus.CANCELLED)
        return json_response(HTTPStatus.OK, protocol.job_response(job_id, job.status))

    async def _write_cancellation(self, job_id: str) -> None:
        key = KEY_PREFIX + KeyKind.FINAL_STATUS.key(job_id)
        await self._client.transact(
            [protocol.Condition(key, 0)],
            [protocol.PutOperation(key, protocol.JobStatus.CANCELLED)],
        )

    async def _final_status_response(self, job: Job) -> Response:
        """Return the final status that another transaction wrote for a job."""
        if job.final_status is None:
            await self._refresh()
        if job.final_status is None:
            return state_service_unreachable()
        return json_response(HTTPStatus.OK, protocol.job_response(job.id, job.status))
