"""HTTP routing of users' requests.

A request that cannot be processed yet gets status 503 immediately instead of waiting.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from petrelthread import protocol
from petrelthread.history import StoredJobReader
from petrelthread.http import Response, error_response
from petrelthread.job_api.job_lookup import JobLookup
from petrelthread.job_api.queries import JobQueries
from petrelthread.job_api.submission import JobSubmission
from petrelthread.settings import Settings
from petrelthread.state import ClusterState
from petrelthread.store import StateClient, WatchCache


class JobApi:
    """Routes requests to submit, query and cancel jobs."""

    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        watch_cache: WatchCache,
        client: StateClient,
        machine_types: Callable[[], tuple[protocol.MachineType, ...] | None],
        stored_jobs: StoredJobReader,
    ) -> None:
        """``machine_types`` returns None until they are known."""
        lookup = JobLookup(cluster_state, watch_cache, stored_jobs)
        self._queries = JobQueries(cluster_state, lookup, client)
        self._submission = JobSubmission(
            settings, cluster_state, watch_cache, client, machine_types, self._queries
        )

    async def handle(self, method: str, path: str, body: bytes) -> Response:
        """Handle a request to ``JOBS_PATH`` or a path below it."""
        if path == protocol.JOBS_PATH:
            if method != "POST":
                return _method_not_allowed("POST")
            return await self._submission.submit(body)
        job_id = path[len(protocol.JOBS_PATH) + 1 :]
        if job_id.endswith(protocol.CANCEL_SUFFIX):
            if method != "POST":
                return _method_not_allowed("POST")
            return await self._queries.cancel(job_id[: -len(protocol.CANCEL_SUFFIX)])
        if "/" in job_id:
            return error_response(HTTPStatus.NOT_FOUND, "no such path")
        if method != "GET":
            return _method_not_allowed("GET")
        return await self._queries.query(job_id)


def _method_not_allowed(allowed: str) -> Response:
    return error_response(HTTPStatus.METHOD_NOT_ALLOWED, f"use {allowed}")
