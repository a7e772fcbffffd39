"""Group commit of submitted jobs: many waiting submissions are written in one transaction."""

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

MAX_COMMIT_ATTEMPTS = 3  # of one batch, each after some of its jobs turned out to exist
MAX_RATE_LIMIT_RETRIES = 3  # of one batch that the state service refuses for its rate alone
RATE_LIMIT_RETRY_S = 0.2
MAX_BATCH_BYTES = 60_000
ENTRY_OVERHEAD_BYTES = 200  # of a submission in a transaction, besides its value


class SubmissionOutcome(Enum):
    """What became of a submission."""

    CREATED = auto()
    EXISTS = auto()  # the job was accepted before, here or by another controller
    NOT_WRITTEN = auto()  # it is not known to be written


@dataclass(frozen=True)
class _Submission:
    """A job that waits to be written, and the future that gets the outcome."""

    job_id: str
    value: list[Any]
    outcome: asyncio.Future[SubmissionOutcome]

    @property
    def key(self) -> str:
        return KEY_PREFIX + KeyKind.JOB.key(self.job_id)

    def resolve(self, outcome: SubmissionOutcome) -> None:
        """Set the outcome, unless the one who waited for it was cancelled."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class SubmissionQueue:
    """Writes submitted jobs in the order of their arrival."""

    def __init__(self, client: StateClient, max_operations: int) -> None:
        """``max_operations``: how many writes one transaction may hold."""
        self._client = client
        self._max_operations = max_operations
        self._waiting: deque[_Submission] = deque()
        self._flushing: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        """How many submissions are waiting."""
        return len(self._waiting)

    async def create(self, job_id: str, value: list[Any]) -> SubmissionOutcome:
        """Write a job unless it exists, together with others that are waiting."""
        future: asyncio.Future[SubmissionOutcome] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Submission(job_id, value, future))
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._waiting:
            await self._commit(self._next_batch())

    def _next_batch(self) -> list[_Submission]:
        """As many waiting submissions as one transaction takes, at least one."""
        batch: list[_Submission] = []
        size = 0
        while self._waiting and len(batch) < self._max_operations:
            size += len(orjson.dumps(self._waiting[0].value)) + ENTRY_OVERHEAD_BYTES
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self._waiting.popleft())
        return batch

    async def _commit(self, batch: list[_Submission]) -> None:
        """Write a batch and resolve each submission in it."""
        if len({submission.key for submission in batch}) < len(batch):
            for submission in batch:  # a job stands twice in the batch
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
                # All controllers together may exceed the service's burst for a moment. A user who
                # is turned away for that comes back only after several seconds.
                rate_limited += 1
                if rate_limited > MAX_RATE_LIMIT_RETRIES:
                    break
                await asyncio.sleep(RATE_LIMIT_RETRY_S)
            except (StateUnavailableError, StateResultUnknownError, LeaseExpiredError) as error:
                log.debug("submission not written: %s", error)
                break
            else:
                _resolve(batch, SubmissionOutcome.CREATED)
                return
        _resolve(batch, SubmissionOutcome.NOT_WRITTEN)

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
    """Resolve the submissions whose jobs exist; the others are left."""
    remaining = []
    for submission in batch:
        if submission.key in existing_keys:
            submission.resolve(SubmissionOutcome.EXISTS)
        else:
            remaining.append(submission)
    return remaining
