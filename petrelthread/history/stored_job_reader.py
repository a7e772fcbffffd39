"""Reads single jobs from the state service, within a budget that leaves room for other requests."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict

from petrelthread.history.stored_job import StoredJob
from petrelthread.state import KeyKind, decode_job
from petrelthread.store import (
    KEY_PREFIX,
    StateClient,
    StateRateLimitedError,
    StateResultUnknownError,
    TokenBucket,
)

log = logging.getLogger(__name__)

MAX_CONCURRENT_READS = 16
CACHED_JOBS = 1000
REQUESTS_PER_READ = 2  # for the job and for its final status
OWN_SHARE = 0.1  # of the request rate that reads of jobs may always use
OWN_BURST_S = 2.0  # seconds' worth of that share in one burst
# Share of the burst of all requests that must be left for others before reads of jobs use more
# than their own share.
RESERVED_SHARE = 0.5


class ReadBudget:
    """Limits the requests for single jobs: a small share always, and more while others leave it."""

    def __init__(self, request_bucket: TokenBucket) -> None:
        """``request_bucket`` limits all requests to the state service."""
        self._all_requests = request_bucket
        own_rate = request_bucket.rate * OWN_SHARE
        self._own_requests = TokenBucket(
            own_rate, max(own_rate * OWN_BURST_S, float(REQUESTS_PER_READ))
        )

    async def take(self) -> bool:
        """Take the requests of one read from the budget; return False if too few are left."""
        now = asyncio.get_running_loop().time()
        if self._all_requests.available(now, RESERVED_SHARE) >= REQUESTS_PER_READ:
            return True
        if self._own_requests.available(now, 0.0) < REQUESTS_PER_READ:
            return False
        await self._own_requests.acquire(REQUESTS_PER_READ)
        return True


class StoredJobReader:
    """Reads jobs by id. Concurrent readers of a job share one read; finished jobs are cached.

    Attributes:
        read_count: reads that were begun.
        cache_hits: calls that the cache answered.
        refused_count: calls refused because the budget was used up or too many reads ran.
    """

    def __init__(self, client: StateClient, budget: ReadBudget) -> None:
        self._client = client
        self._budget = budget
        self._running: dict[str, asyncio.Task[StoredJob | None]] = {}
        self._finished: OrderedDict[str, StoredJob] = OrderedDict()  # the least recent first
        self.read_count = 0
        self.cache_hits = 0
        self.refused_count = 0

    async def read(self, job_id: str) -> StoredJob | None:
        """Read a job as of a time after this call; None if it was never accepted.

        Raises:
            StateUnavailableError: the read was refused, here or by the state service.
            StateResultUnknownError: a response is missing or unusable.
        """
        cached = self._finished.get(job_id)
        if cached is not None:
            self.cache_hits += 1
            self._finished.move_to_end(job_id)
            return cached
        running = self._running.get(job_id)
        if running is not None:
            stored = await asyncio.shield(running)
            if stored is not None and stored.final_status is not None:
                return stored
            # That read began before this call. The job may have been accepted or finished since.
        running = self._running.get(job_id)
        if running is None:
            running = await self._begin(job_id)
        return await asyncio.shield(running)

    async def _begin(self, job_id: str) -> asyncio.Task[StoredJob | None]:
        if len(self._running) >= MAX_CONCURRENT_READS or not await self._budget.take():
            self.refused_count += 1
            raise StateRateLimitedError("too many reads of single jobs")
        task = self._running.get(job_id)
        if task is None:
            self.read_count += 1
            task = self._running[job_id] = asyncio.create_task(self._read(job_id))
            task.add_done_callback(lambda done: self._on_done(job_id, done))
        return task

    def _on_done(self, job_id: str, task: asyncio.Task[StoredJob | None]) -> None:
        del self._running[job_id]
        if not task.cancelled() and task.exception() is not None:
            log.debug("job %s could not be read: %s", job_id, task.exception())

    async def _read(self, job_id: str) -> StoredJob | None:
        # Both keys are written once: the job before its final status, and neither is deleted.
        job_value = await self._client.read_key(KEY_PREFIX + KeyKind.JOB.key(job_id))
        if job_value is None:
            return None
        status = await self._client.read_key(KEY_PREFIX + KeyKind.FINAL_STATUS.key(job_id))
        try:
            stored = StoredJob(decode_job(job_value), status)
        except TypeError as error:
            raise StateResultUnknownError(f"stored job {job_id} is malformed") from error
        if status is not None:
            self._cache(job_id, stored)
        return stored

    def _cache(self, job_id: str, stored: StoredJob) -> None:
        self._finished[job_id] = stored
        if len(self._finished) > CACHED_JOBS:
            self._finished.popitem(last=False)
