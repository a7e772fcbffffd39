"""A read of all keys omits most finished jobs, while other controllers go on writing.

The plain model is an observer of each change that keeps every job.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from petrelthread.emulator.state_service import StateService
from petrelthread.http import ClientResponse
from petrelthread.state import ClusterState, KeyKind, StoredJobs
from petrelthread.store import (
    KEY_PREFIX,
    StateClient,
    StateUnavailableError,
    TokenBucket,
    WatchCache,
    snapshot,
)
from tests.stored_history import LongHistoryWriter, new_cluster_state, stored_job, summary
from tests.virtual_time import run_in_virtual_time

KEYS_A_PAGE = 7
ALL_ON_ONE_PAGE = 1000
RETAINED_JOBS = 4
ALL_CHANGES = 100_000
# With one key a page, the order is: epoch, first final status, what follows the jobs, first job,
# second job.
PAGE_OF_THE_SECOND_JOB = 5
FIRST_HISTORY, SECOND_HISTORY = 150, 80  # transactions


class Reader:
    """A watch cache that omits finished jobs; ``before_page`` is awaited before each page."""

    def __init__(self, service: StateService) -> None:
        self._service = service
        self.before_page: Callable[[], Any] | None = None
        self.page_count = 0
        self.state = new_cluster_state()
        self.state.finished_jobs.retained_count = RETAINED_JOBS
        buckets = TokenBucket(1e6, 1e6), TokenBucket(1e6, 1e6)
        client = StateClient(self._request, "state:1", *buckets)
        self.cache = WatchCache(client, self.state.on_key, 0.1, StoredJobs(self.state))

    async def _request(
        self, addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        if target.startswith("/keys?"):
            self.page_count += 1
            if self.before_page is not None:
                await self.before_page()
        status, response = await self._service.handle("node", method, target, body)
        return ClientResponse(status, orjson.dumps(response))


def service_after_an_election() -> StateService:
    """Return a state service in which a leader may have written records."""
    service = StateService(8, lambda key, value, keys: None)
    service.put(f"{KEY_PREFIX}{KeyKind.EPOCH}", 1)
    return service


def without_counts_of_cancelled(jobs: dict[str, Any]) -> dict[str, Any]:
    """Leave out how many tasks of a cancelled job have finished: those records are deleted."""
    return {
        job_id: facts if facts[0] != "aborted" else (facts[0], facts[2])
        for job_id, facts in jobs.items()
    }


def assert_equals_model(state: ClusterState, model: Any) -> None:
    """Compare with the model; only finished jobs that nothing needs may be missing."""
    jobs, finished, rounds = summary(state)
    model_jobs, model_finished, model_rounds = model
    jobs, model_jobs = without_counts_of_cancelled(jobs), without_counts_of_cancelled(model_jobs)
    assert finished == model_finished
    assert rounds == model_rounds
    for job_id, expected in model_jobs.items():
        if job_id in jobs:
            assert jobs[job_id] == expected, job_id
        else:
            assert expected[0] is not None, job_id
            assert not expected[-1], job_id  # no attempt may run
    assert jobs.keys() <= model_jobs.keys()


async def write_until_reload(service: StateService, writer: LongHistoryWriter) -> None:
    """Write so much that the reader's watch is too old."""
    await writer.write(SECOND_HISTORY)
    service.kept_changes = 3
    await writer.write(20)
    service.kept_changes = ALL_CHANGES


@pytest.mark.parametrize("read", ["first read", "reload"])
@pytest.mark.parametrize("seed", range(25))
def test_read_that_omits_finished_jobs_loses_nothing_that_is_needed(
    monkeypatch: pytest.MonkeyPatch, read: str, seed: int
) -> None:
    """Guards against lost attempts and jobs: what is omitted has finished and nothing needs it."""
    monkeypatch.setattr(snapshot, "MAX_UNREAD_REVISIONS", 3 + seed)

    async def main() -> None:
        randomness = random.Random(seed)
        service = service_after_an_election()
        service.max_page = KEYS_A_PAGE if seed % 3 else ALL_ON_ONE_PAGE
        service.kept_changes = ALL_CHANGES
        writer, reader = LongHistoryWriter(service, randomness), Reader(service)
        reader.state.finished_jobs.retained_count = seed % 3
        await writer.write(FIRST_HISTORY)
        if read == "reload":
            await reader.cache.load()
            reader.state.drop_finished_jobs(lambda job: False)
            await write_until_reload(service, writer)
        reader.before_page = lambda: writer.write(randomness.randrange(4))
        if read == "reload":
            assert await reader.cache.refresh()
        else:
            await reader.cache.load()
        assert_equals_model(reader.state, writer.state_at[reader.cache.revision])
        for _ in range(5):
            await writer.write(10)
            assert await reader.cache.refresh()
            reader.state.drop_finished_jobs(lambda job: False)
            assert_equals_model(reader.state, writer.state_at[max(writer.state_at)])

    run_in_virtual_time(main())


def test_a_job_started_and_cancelled_during_a_read_keeps_its_attempt() -> None:
    """Guards against ``ran_cancelled``: the record of the start is newer than the pages read."""

    async def main() -> None:
        service = service_after_an_election()
        for job_id in ("wk-000000", "wk-000001"):
            service.put(f"{KEY_PREFIX}j/{job_id}", stored_job(job_id, 1))
        service.put(f"{KEY_PREFIX}f/wk-000000", "done")
        reader = Reader(service)
        reader.state.finished_jobs.retained_count = 0

        async def start_and_cancel() -> None:
            if reader.page_count == PAGE_OF_THE_SECOND_JOB:
                record = [["host-000001", 1, [["wk-000001", [0]]]]]
                service.put(f"{KEY_PREFIX}r/1048577", record)
                service.put(f"{KEY_PREFIX}f/wk-000001", "aborted")

        service.max_page = 1
        reader.before_page = start_and_cancel
        await reader.cache.load()
        job = reader.state.jobs_by_id["wk-000001"]
        assert job.final_status == "aborted"
        assert job.live_attempts.keys() == {0}

    run_in_virtual_time(main())


def test_a_store_without_an_election_is_read_in_order_without_an_empty_page() -> None:
    """Before the first election there are no records, so that no page is read for references."""

    async def main() -> None:
        service = StateService(8, lambda key, value, keys: None)
        for number in range(20):
            service.put(f"{KEY_PREFIX}j/wk-{number:06d}", stored_job("wk-000000", 1))
            service.put(f"{KEY_PREFIX}f/wk-{number:06d}", "done")
        service.put(f"{KEY_PREFIX}j/wk-000020", stored_job("wk-000000", 1))
        service.put(f"{KEY_PREFIX}options", {"idle_s": 7})
        service.max_page = KEYS_A_PAGE
        reader = Reader(service)
        await reader.cache.load()
        assert reader.page_count == 7  # three of final statuses, four of jobs and what follows
        assert [job.id for job in reader.state.open_jobs.values()] == ["wk-000020"]
        assert len(reader.state.jobs_by_id) == 1 + RETAINED_JOBS
        assert reader.state.options.values == {"idle_s": 7}

    run_in_virtual_time(main())


def test_the_most_recently_finished_jobs_are_kept_by_a_first_read() -> None:
    async def main() -> None:
        service = service_after_an_election()
        service.max_page = KEYS_A_PAGE
        finished = [f"wk-{number:06d}" for number in range(40)]
        random.Random(1).shuffle(finished)
        for job_id in finished:
            service.put(f"{KEY_PREFIX}j/{job_id}", stored_job(job_id, 1))
        for job_id in finished:
            service.put(f"{KEY_PREFIX}f/{job_id}", "done")
        reader = Reader(service)
        await reader.cache.load()
        assert reader.state.jobs_by_id.keys() == set(finished[-RETAINED_JOBS:])
        assert reader.cache.revisions.keys() == {KeyKind.EPOCH}

    run_in_virtual_time(main())


def test_a_read_of_any_length_completes_while_older_changes_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The service keeps fewer changes than are made during the read."""
    monkeypatch.setattr(snapshot, "MAX_UNREAD_REVISIONS", 10)

    async def main() -> None:
        service = service_after_an_election()
        service.max_page = KEYS_A_PAGE
        writer, reader = LongHistoryWriter(service, random.Random(3)), Reader(service)
        await writer.write(FIRST_HISTORY)
        service.kept_changes = 40
        revision = max(writer.state_at)

        async def write_for_some_pages() -> None:
            if reader.page_count <= 20:
                await writer.write(8)

        reader.before_page = write_for_some_pages
        await reader.cache.load()
        assert max(writer.state_at) - revision > service.kept_changes
        assert_equals_model(reader.state, writer.state_at[reader.cache.revision])

    run_in_virtual_time(main())


def test_a_job_that_a_watch_shows_as_open_during_a_reload_is_not_lost() -> None:
    """A watch may show a job, but not yet its end, after the reload has omitted it as finished."""

    async def main() -> None:
        service = service_after_an_election()
        for job_id in ("wk-000001", "wk-000002"):
            service.put(f"{KEY_PREFIX}j/{job_id}", stored_job(job_id, 1))
            service.put(f"{KEY_PREFIX}f/{job_id}", "done")
        reader = Reader(service)
        reader.state.finished_jobs.retained_count = 0

        async def show_as_open() -> None:
            if reader.page_count == PAGE_OF_THE_SECOND_JOB:
                reader.state.on_key("j/wk-000001", stored_job("wk-000001", 1), 2)

        service.max_page = 1
        reader.before_page = show_as_open
        with pytest.raises(StateUnavailableError, match="shown as open"):
            await reader.cache.load()
        await reader.cache.load()
        assert reader.state.jobs_by_id["wk-000001"].final_status == "done"
        assert "wk-000002" not in reader.state.jobs_by_id

    run_in_virtual_time(main())
