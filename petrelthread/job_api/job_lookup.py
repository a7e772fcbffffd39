"""Finds the job that a user asks about, in memory or in the state service."""

from __future__ import annotations

import asyncio
import logging

from petrelthread.history import StoredJob, StoredJobReader
from petrelthread.state import ClusterState, Job
from petrelthread.store import StateResultUnknownError, StateUnavailableError, WatchCache

log = logging.getLogger(__name__)

# How long a response waits for a read of the state service; users wait 2 s for it.
MAX_REFRESH_WAIT_S = 1.25
MAX_STORED_READ_WAIT_S = 0.6


class JobUndecidedError(Exception):
    """The state service could not be asked, so whether the job exists, or its state, is unknown."""


class JobLookup:
    """Answers from the cluster state, and reads the state service where that may be stale.

    All open jobs are in memory. A job that is not was never accepted, or has finished long ago, or
    the keys are still being read.
    """

    def __init__(
        self, cluster_state: ClusterState, watch_cache: WatchCache, reader: StoredJobReader
    ) -> None:
        self._cluster_state = cluster_state
        self._watch_cache = watch_cache
        self._reader = reader

    async def find(self, job_id: str) -> Job | StoredJob | None:
        """Find a job as of a time after this call; None if it was never accepted.

        Returns:
            The job in memory, or a stored one that has finished.

        Raises:
            JobUndecidedError: the state service could not be asked.
        """
        job = self._cluster_state.jobs_by_id.get(job_id)
        if job is not None and job.final_status is not None:  # a final status never changes
            return job
        if self._watch_cache.loaded.is_set():
            job = await self._find_refreshed(job_id)
            if job is not None:
                return job
        stored = await self._read_stored(job_id)
        if stored is None or stored.final_status is not None:
            return stored
        # It was accepted after the refresh, or the keys are still being read.
        job = await self._find_refreshed(job_id)
        if job is None:
            raise JobUndecidedError
        return job

    async def _find_refreshed(self, job_id: str) -> Job | None:
        if not await self.refresh():
            raise JobUndecidedError
        return self._cluster_state.jobs_by_id.get(job_id)

    async def refresh(self) -> bool:
        """Refresh the watch cache; return False if that fails or takes too long for the user.

        Without a limit, a call would wait for two timeouts when the state service is unreachable:
        of the read that is in progress, which began before the call, and of its own.
        """
        try:
            async with asyncio.timeout(MAX_REFRESH_WAIT_S):
                return await self._watch_cache.refresh()
        except TimeoutError:
            return False

    async def _read_stored(self, job_id: str) -> StoredJob | None:
        try:
            async with asyncio.timeout(MAX_STORED_READ_WAIT_S):
                return await self._reader.read(job_id)
        except (StateUnavailableError, StateResultUnknownError, TimeoutError) as error:
            log.debug("job %s could not be read: %s", job_id, error)
            raise JobUndecidedError from error
