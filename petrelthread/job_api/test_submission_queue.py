"""Group commit of submissions."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from petrelthread.job_api.submission_queue import SubmissionOutcome, SubmissionQueue
from petrelthread.store import StateClient
from tests.virtual_time import run_in_virtual_time


class _FailingClient:
    """Raises an error that no caller expects for the first transactions."""

    def __init__(self, failures: int) -> None:
        self.failures = failures

    async def transact(self, *_request: Any) -> int:
        await asyncio.sleep(0.1)
        if self.failures:
            self.failures -= 1
            raise RuntimeError("a fault of the client")
        return 1


def test_submissions_get_an_outcome_after_an_unexpected_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Their users waited for ever, and so did those whose submissions were queued behind."""

    async def scenario() -> list[SubmissionOutcome]:
        queue = SubmissionQueue(cast(StateClient, _FailingClient(1)), 2)
        submissions = [queue.create(f"wk-{n:06d}", [n]) for n in range(3)]
        async with asyncio.timeout(5.0):
            return await asyncio.gather(*submissions)

    outcomes = run_in_virtual_time(scenario())
    failed = SubmissionOutcome.NOT_CONFIRMED
    assert outcomes == [failed, failed, SubmissionOutcome.CREATED]
    assert "a fault of the client" in caplog.text
