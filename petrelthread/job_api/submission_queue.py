"""Group commit of submitted jobs: one transaction writes many waiting submissions."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import orjson

from petrelthread import protocol
from petrelthread.state import KeyKind
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    StateClient,
    StateRateLimitedError,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
)

log = logging.getLogger(__name__)

MAX_COMMIT_ATTEMPTS = 3  # for one batch; each retry omits the jobs found to exist
MAX_RATE_LIMIT_RETRIES = 3  # for one batch that the state service refuses with status 429
RATE_LIMIT_RETRY_S = 0.2
MAX_BATCH_BYTES = 60_000
ENTRY_OVERHEAD_BYTES = 200  # for each submission in a transaction, besides its value


class SubmissionOutcome(Enum):
    """The outcome of a submission."""

    CREATED = auto()
    EXISTS = auto()  # the job was accepted before, here or by another controller
    NOT_CONFIRMED = auto()  # not written, or not known to be written


@dataclass(frozen=True)
class _Submission:
    """A job that waits to be written, and the future for its outcome."""

    job_id: str
    value: list[Any]
    size: int  # of the encoded value, in bytes
    future: asyncio.Future[SubmissionOutcome]

    @property
    def key(self) -> str:
        return KEY_PREFIX + KeyKind.JOB.key(self.job_id)

    def resolve(self, outcome: SubmissionOutcome) -> None:
        """Set the outcome, unless the task that waits for it was cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


class SubmissionQueue:
    """Writes submitted jobs in order of arrival."""

    def __init__(self, client: StateClient, max_operations: int) -> None:
        """``max_operations`` limits the writes in one transaction."""
        self._client = client
        self._max_operations = max_operations
        self._waiting: deque[_Submission] = deque()
        self._flush_task: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        """Number of waiting submissions."""
        return len(self._waiting)

    async def create(self, job_id: str, value: list[Any]) -> SubmissionOutcome:
        """Write a job unless it exists, in one transaction with other waiting jobs."""
        future: asyncio.Future[SubmissionOutcome] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Submission(job_id, value, len(orjson.dumps(value)), future))
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._waiting:
            batch = self._next_batch()
            try:
                await self._commit(batch)
            except Exception:
                log.exception("writing %d submissions failed", len(batch))
            finally:
                # No user may wait for a submission that was dequeued and has no outcome.
                _resolve(batch, SubmissionOutcome.NOT_CONFIRMED)

    def _next_batch(self) -> list[_Submission]:
        """Dequeue as many waiting submissions as fit in one transaction, at least one."""
        batch: list[_Submission] = []
        size = 0
        while self._waiting and len(batch) < self._max_operations:
            size += self._waiting[0].size + ENTRY_OVERHEAD_BYTES
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self._waiting.popleft())
        return batch

    async def _commit(self, batch: list[_Submission]) -> None:
        """Write a batch and resolve each submission in it."""
        if len({submission.key for submission in batch}) < len(batch):
            for submission in batch:  # two submissions of the same job are in the batch
                await self._commit([submission])
            return
        attempts = rate_limited = 0
        while batch and attempts < MAX_COMMIT_ATTEMPTS:
            try:
                await self._write(batch)
            except TransactionConflictError as conflict:
                attempts += 1
                batch = _without_existing(batch, conflict.failed_keys)
            except StateRateLimitedError:
                # All controllers together may briefly exceed the state service's rate limit. A
                # user whose submission is refused retries only after several seconds.
                rate_limited += 1
                if rate_limited > MAX_RATE_LIMIT_RETRIES:
                    break
                await asyncio.sleep(RATE_LIMIT_RETRY_S)
            except (StateUnavailableError, StateResultUnknownError, LeaseExpiredError) as error:
                log.debug("submission not confirmed by the state service: %s", error)
                break
            else:
                _resolve(batch, SubmissionOutcome.CREATED)
                return
        _resolve(batch, SubmissionOutcome.NOT_CONFIRMED)

    async def _write(self, batch: list[_Submission]) -> None:
        await self._client.transact(
            [protocol.Condition(submission.key, 0) for submission in batch],
            [protocol.PutOperation(submission.key, submission.value) for submission in batch],
        )


def _resolve(batch: list[_Submission], outcome: SubmissionOutcome) -> None:
    for submission in batch:
        submission.resolve(outcome)


def _without_existing(
    batch: list[_Submission], existing_keys: Collection[str]
) -> list[_Submission]:
    """Resolve the submissions whose jobs exist; return the others."""
    remaining = []
    for submission in batch:
        if submission.key in existing_keys:
            submission.resolve(SubmissionOutcome.EXISTS)
        else:
            remaining.append(submission)
    return remaining
