"""A controller's memory follows the open jobs and the machines in use, not the service's past.

Postmortem: docs/incidents/finished-jobs-fill-memory-postmortem.md.
"""

from __future__ import annotations

import asyncio
import random
import tracemalloc
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
import pytest

from petrelthread.controller import Controller
from petrelthread.fleet import Health
from petrelthread.http import ClientResponse
from petrelthread.store import KEY_PREFIX
from tests.simulation import Simulation, job_spec, settings_of
from tests.stored_history import stored_job
from tests.virtual_time import run_in_virtual_time

FEW_JOBS, MANY_JOBS = 1000, 40_000
MAX_DIFFERENCE_BYTES = 10_000_000  # issue 64: whatever the number of finished jobs
MAX_FINISHED_IN_MEMORY = 2500
REVISION = 7
LONG_AGO_S = 610.0


class FinishedJobsInStore:
    """A state service with finished jobs and one open job, which keeps no key in memory."""

    def __init__(self, finished_count: int) -> None:
        self._counts = {"f": finished_count, "j": finished_count + 1}  # the last job is open
        self._job = stored_job("wk-0000000", 5)
        self.page_count = 0

    async def request(
        self, addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        url = urlsplit(target)
        assert url.path == "/keys", target
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.page_count += 1
        return ClientResponse(200, orjson.dumps(self._page(query)))

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        pairs: list[dict[str, Any]] = []
        limit = int(query["limit"])
        for kind, count in self._counts.items():
            pairs += self._keys_of(kind, count, query, limit + 1 - len(pairs))
        return {"pairs": pairs[:limit], "more": len(pairs) > limit, "epoch": REVISION}

    def _keys_of(
        self, kind: str, count: int, query: dict[str, str], limit: int
    ) -> list[dict[str, Any]]:
        start, after = f"{KEY_PREFIX}{kind}/wk-", query.get("from", "")
        if not start.startswith(query["prefix"]) or after >= f"{KEY_PREFIX}{kind}0":
            return []
        first = int(after[len(start) :]) + 1 if after.startswith(start) else 0
        value = "done" if kind == "f" else self._job
        return [
            {"path": f"{start}{number:07d}", "v": value, "stamp": REVISION}
            for number in range(first, min(count, first + limit))
        ]


def peak_of_first_read(finished_count: int) -> int:
    """Return the peak of the memory that the first read of all keys takes, in bytes."""

    async def main() -> int:
        store = FinishedJobsInStore(finished_count)
        controller = Controller(settings_of("n0"), store.request, random.Random(1))
        tracemalloc.start()
        try:
            await controller.watch_cache.load()
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert store.page_count >= 2 * finished_count // 1000
        assert len(controller.cluster_state.open_jobs) == 1
        return peak

    peak: int = run_in_virtual_time(main())
    return peak


def test_peak_of_the_first_read_does_not_grow_with_finished_jobs() -> None:
    """Guards against ``forgotten``: each controller exceeds its memory and ends as it starts."""
    assert peak_of_first_read(MANY_JOBS) - peak_of_first_read(FEW_JOBS) < MAX_DIFFERENCE_BYTES


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_running_controllers_drop_jobs_that_finished_long_ago(role: str) -> None:
    """Guards against ``forgotten``: a controller that runs for days exceeds its memory."""

    async def main() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        name = leader if role == "leader" else next(n for n in simulation.nodes if n != leader)
        job = stored_job("wk-000000", 5)
        for number in range(2 * MAX_FINISHED_IN_MEMORY):
            simulation.state_service.put(f"{KEY_PREFIX}j/wk-{number:06d}", job)
            simulation.state_service.put(f"{KEY_PREFIX}f/wk-{number:06d}", "done")
            if number % 100 == 0:
                await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        node = simulation.nodes[name]
        assert node.watch_cache.revision > 4 * MAX_FINISHED_IN_MEMORY
        assert len(node.cluster_state.jobs_by_id) <= MAX_FINISHED_IN_MEMORY
        assert len(node.cluster_state.jobs) <= MAX_FINISHED_IN_MEMORY
        assert len(node.watch_cache.revisions) <= MAX_FINISHED_IN_MEMORY

    run_in_virtual_time(main())


def test_a_leader_drops_machines_that_were_returned_long_ago() -> None:
    """Guards against memory and walks of all machines that grow with each machine ever rented."""

    async def main() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        await simulation.submit(job_spec("wk-000001", 8))
        await simulation.wait_until_jobs_final(60.0)
        fleet = simulation.nodes[leader].fleet
        while simulation.cloud.machines:
            await asyncio.sleep(1.0)
        await asyncio.sleep(5.0)
        returned = list(fleet.machines.values())
        assert returned
        assert all(machine.health is Health.TERMINATED for machine in returned)
        await asyncio.sleep(LONG_AGO_S)
        assert simulation.leader == leader
        assert not fleet.machines

    run_in_virtual_time(main())
