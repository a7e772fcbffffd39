"""Order and number of scale-out calls."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from petrelthread.provisioning import ScaleOutRequest, interleave
from tests.simulation import SMALL, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


def test_first_call_to_each_offer_precedes_second_to_any() -> None:
    requests = [ScaleOutRequest(0, zone, True, count) for zone in range(3) for count in (50, 49)]
    assert [(r.zone, r.machine_count) for r in interleave(requests)] == [
        (0, 50),
        (1, 50),
        (2, 50),
        (0, 49),
        (1, 49),
        (2, 49),
    ]


def test_further_calls_to_offer_that_fell_short_are_skipped() -> None:
    """Such calls would be refused, and delay the calls to other zones."""
    grants: list[tuple[str, int]] = []  # zone and number of machines

    async def scenario() -> None:
        text = SMALL.text.replace("cpus_max = 12.0", "cpus_max = 4000.0")
        text = text.replace("rps = 10.0\nlist_lag_s", "rps = 1.0\nlist_lag_s")
        simulation = Simulation(1, replace(SMALL, text=text, spot=420, on_demand=0))
        handle = simulation.cloud.handle

        async def cloud(
            source: str, method: str, target: str, body: dict[str, Any]
        ) -> tuple[int, Any]:
            status, response = await handle(source, method, target, body)
            if target == "/hosts" and method == "POST":
                grants.append((body["roost"], len(response.get("perches", ()))))
            return status, response

        simulation.network.hosts["cloud:1"] = cloud
        await simulation.submit(job_spec("wk-000001", 2000, estimated_run_s=60.0))
        while simulation.cloud.rented_count < 420:
            await asyncio.sleep(0.1)
        await asyncio.sleep(6.0)

    run_in_virtual_time(scenario())
    # Two zones share the same 420 machines: nine calls get some, at most two of the next get none.
    first_short = next(at for at, (_, count) in enumerate(grants) if count < 50)
    refused = [zone for zone, count in grants[first_short : first_short + 4] if count == 0]
    assert len(refused) <= 2, refused
