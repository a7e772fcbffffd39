"""Status reads of workers by a new leader."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from petrelthread.fleet import FailureDetector, WorkerStatusReader
from petrelthread.fleet.worker_status_reader import MAX_READS, MAX_READS_WHEN_LATE
from petrelthread.http import ClientResponse, NoResponseError
from tests.fleet_builder import build_fleet

MACHINES = 4000


@pytest.mark.parametrize(
    ("late_s", "limit"),
    [(0.0, MAX_READS), (0.5, MAX_READS_WHEN_LATE)],
    ids=["in-time", "late-event-loop"],
)
def test_new_leader_reads_a_limited_number_of_workers_at_a_time(late_s: float, limit: int) -> None:
    """Reading all in one call would block the event loop until the leader's lease expires."""
    requested: list[str] = []

    async def request(
        addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        requested.append(addr)
        raise NoResponseError("refused", False)

    async def main() -> None:
        fleet = build_fleet(elected_at=0.0)
        for number in range(MACHINES):
            fleet.get_or_add(f"host-{number:06d}", 0.0).address = f"host-{number}:9"
        reader = WorkerStatusReader(
            fleet, FailureDetector(fleet), request, asyncio.Semaphore(MACHINES)
        )
        now, calls = 0.0, 0
        while len(set(requested)) < MACHINES:
            before = len(requested)
            reader.read_workers(now, late_s)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(requested) - before <= limit
            now, calls = now + 0.001, calls + 1
        assert calls == MACHINES // limit

    asyncio.run(main())
