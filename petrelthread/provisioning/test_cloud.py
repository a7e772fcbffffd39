"""The cloud client: complete and refused lists, and the budget of calls."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
import pytest

from petrelthread.http import ClientResponse
from petrelthread.provisioning import CloudClient, CloudResultUnknownError
from petrelthread.store import TokenBucket
from tests.virtual_time import run_in_virtual_time

PAGE = 500


def listed(number: int) -> dict[str, Any]:
    return {
        "name_id": f"host-{number:06d}",
        "addr": "10.0.0.1:9",
        "hull": "small",
        "roost": "a",
        "driftwood": True,
        "status": "running",
        "held_s": 1.0,
    }


class PagedCloud:
    """Returns a list of machines page by page; ``fault`` selects what goes wrong from page 3 on."""

    def __init__(self, machines: int, fault: str = "") -> None:
        self.machines = [listed(n) for n in range(machines)]
        self.fault = fault
        self.calls = 0

    async def request(
        self, addr: str, method: str, target: str, body: object = None, timeout: float = 2.0
    ) -> ClientResponse:
        self.calls += 1
        assert self.calls < 100, "the list is read without end"
        after = parse_qs(urlsplit(target).query).get("from", [""])[0]
        if self.calls == 3 and self.fault == "changes":
            self.machines = [m for m in self.machines if m["name_id"] > "host-000700"]
        rest = [m for m in self.machines if m["name_id"] > after]
        if self.calls >= 3 and self.fault == "empty page":
            rest = []
        if self.calls >= 3 and self.fault == "same page again":
            rest = self.machines
        more = len(rest) > PAGE or self.fault in ("empty page", "same page again")
        return ClientResponse(200, orjson.dumps({"perches": rest[:PAGE], "more": more}))

    def client(self) -> CloudClient:
        return CloudClient(self.request, "cloud:1", TokenBucket(1e6, 1e6))


@pytest.mark.parametrize(("machines", "calls"), [(0, 1), (499, 1), (501, 2), (4000, 8), (8000, 16)])
def test_list_of_thousands_of_machines_is_read_in_pages(machines: int, calls: int) -> None:
    cloud = PagedCloud(machines)
    found = asyncio.run(cloud.client().list_machines())
    assert [entry.name for entry in found] == [m["name_id"] for m in cloud.machines]
    assert cloud.calls == calls


def test_list_that_changes_while_it_is_read_is_complete() -> None:
    cloud = PagedCloud(1600, "changes")
    found = asyncio.run(cloud.client().list_machines())
    assert {m["name_id"] for m in cloud.machines} <= {entry.name for entry in found}


@pytest.mark.parametrize("fault", ["empty page", "same page again"])
def test_incomplete_list_is_refused(fault: str) -> None:
    with pytest.raises(CloudResultUnknownError, match="goes no further"):
        asyncio.run(PagedCloud(1600, fault).client().list_machines())


def test_available_budget_leaves_reserved_share_of_burst() -> None:
    budget = TokenBucket(8.0, 8.0)
    assert budget.available(0.0, 0.5) == 4
    run_in_virtual_time(budget.acquire(5.0))
    assert budget.available(100.0, 0.5) == 0
