"""Reads of single jobs: shared, cached, bounded, and never older than their call."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest

from petrelthread.emulator.state_service import StateService
from petrelthread.history import ReadBudget, StoredJobReader
from petrelthread.history import stored_job_reader as module
from petrelthread.http import ClientResponse
from petrelthread.store import (
    KEY_PREFIX,
    StateClient,
    StateRateLimitedError,
    StateResultUnknownError,
    TokenBucket,
)
from tests.stored_history import stored_job
from tests.virtual_time import run_in_virtual_time

JOB_ID = "wk-000001"
RESPONSE_S = 0.1


class Reads:
    """A reader of stored jobs, and a state service that takes ``RESPONSE_S`` for a response."""

    def __init__(self, rate: float = 1e6) -> None:
        self.service = StateService(8, lambda key, value, keys: None)
        self.targets: list[str] = []
        self.bucket = TokenBucket(rate, rate / 2)
        client = StateClient(self._request, "state:1", self.bucket, TokenBucket(1e6, 1e6))
        self.reader = StoredJobReader(client, ReadBudget(self.bucket))

    async def _request(
        self, addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        self.targets.append(target)
        status, response = await self.service.handle("node", method, target, body)
        await asyncio.sleep(RESPONSE_S)
        return ClientResponse(status, orjson.dumps(response))

    def finish(self, job_id: str, status: str = "done") -> None:
        self.service.put(f"{KEY_PREFIX}j/{job_id}", stored_job(job_id, 3))
        self.service.put(f"{KEY_PREFIX}f/{job_id}", status)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario()

    run_in_virtual_time(main())


@pytest.mark.parametrize(("status", "count"), [("done", 3), ("aborted", 0)])
def test_concurrent_readers_of_a_job_share_a_read_and_later_ones_the_cache(
    status: str, count: int
) -> None:
    async def scenario() -> None:
        reads = Reads()
        reads.finish(JOB_ID, status)
        found = await asyncio.gather(*(reads.reader.read(JOB_ID) for _ in range(20)))
        again = await reads.reader.read(JOB_ID)
        assert {(stored.final_status, stored.finished_count) for stored in found if stored} == {
            (status, count)
        }
        assert again in found
        assert len(reads.targets) == 2

    run(scenario)


def test_a_job_accepted_after_a_shared_read_began_is_not_called_unknown() -> None:
    """Guards against a wrong 404: the running read began before the job was accepted."""

    async def scenario() -> None:
        reads = Reads()
        first = asyncio.ensure_future(reads.reader.read(JOB_ID))
        await asyncio.sleep(RESPONSE_S / 2)
        reads.service.put(f"{KEY_PREFIX}j/{JOB_ID}", stored_job(JOB_ID, 3))
        later = await reads.reader.read(JOB_ID)
        assert await first is None
        assert later is not None
        assert later.final_status is None

    run(scenario)


def test_an_unfinished_or_unknown_job_is_read_anew_each_time() -> None:
    async def scenario() -> None:
        reads = Reads()
        assert await reads.reader.read(JOB_ID) is None
        reads.service.put(f"{KEY_PREFIX}j/{JOB_ID}", stored_job(JOB_ID, 3))
        stored = await reads.reader.read(JOB_ID)
        assert stored is not None
        assert stored.final_status is None
        reads.service.put(f"{KEY_PREFIX}f/{JOB_ID}", "done")
        stored = await reads.reader.read(JOB_ID)
        assert stored is not None
        assert stored.final_status == "done"

    run(scenario)


def test_the_cache_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "CACHED_JOBS", 3)

    async def scenario() -> None:
        reads = Reads()
        for number in range(5):
            reads.finish(f"wk-{number}")
            await reads.reader.read(f"wk-{number}")
        before = len(reads.targets)
        await reads.reader.read("wk-4")
        assert len(reads.targets) == before
        await reads.reader.read("wk-0")
        assert len(reads.targets) == before + 2

    run(scenario)


@pytest.mark.parametrize("value", [None, {}, [1], "text"])
def test_a_malformed_job_is_no_answer(value: Any) -> None:
    async def scenario() -> None:
        reads = Reads()
        reads.service.put(f"{KEY_PREFIX}j/{JOB_ID}", value)
        if value is None:  # as if the key did not exist
            assert await reads.reader.read(JOB_ID) is None
            return
        with pytest.raises(StateResultUnknownError):
            await reads.reader.read(JOB_ID)

    run(scenario)


def test_a_flood_of_reads_leaves_the_reserved_share_of_requests_to_others() -> None:
    """1,000 questions a second about other ids: most are refused, and no other request waits."""

    async def scenario() -> None:
        reads = Reads(rate=30.0)
        refused = 0

        async def ask(number: int) -> None:
            nonlocal refused
            try:
                await reads.reader.read(f"wk-{number}")
            except StateRateLimitedError:
                refused += 1

        loop = asyncio.get_running_loop()
        questions = []
        waits = []
        for number in range(5000):
            questions.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(0.001)
            if number % 100 == 0:
                waits.append(reads.bucket.wait_time_s(loop.time()))
        await asyncio.gather(*questions)
        assert max(waits) == 0.0
        assert len(reads.targets) <= 1.1 * (5 * 30.0 + 15.0)
        assert refused > 4500
        assert reads.reader.refused_count == refused

    run(scenario)


def test_reads_keep_a_small_share_while_others_use_up_all_requests() -> None:
    async def scenario() -> None:
        reads = Reads(rate=30.0)
        reads.finish(JOB_ID)

        async def use_requests() -> None:
            while True:
                await reads.bucket.acquire()

        others = [asyncio.ensure_future(use_requests()) for _ in range(3)]
        await asyncio.sleep(2.0)
        stored = await reads.reader.read(JOB_ID)
        assert stored is not None
        assert stored.final_status == "done"
        for other in others:
            other.cancel()

    run(scenario)
