"""Tests of the administration API on simulated controllers, and of the command line's errors."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from petrelthread.cli import main
from petrelthread.http import ClientResponse
from tests.simulation import NODES, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


async def admin(simulation: Simulation, node: str, method: str, path: str, body: Any = None) -> Any:
    addr = f"{node}:2"
    request = simulation.network.requester("operator")
    response: ClientResponse = await request(addr, method, f"/admin/v1/{path}", body, timeout=5.0)
    return response.status, orjson.loads(response.body)


def test_views_explain_a_waiting_job_and_show_an_unreachable_zone() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        await simulation.submit(job_spec("wk-000001", 20, estimated_run_s=60.0))
        await asyncio.sleep(2.0)
        _, response = await admin(simulation, "n1", "GET", "jobs/wk-000001")
        assert "booting" in response["why"]
        await simulation.wait_until_running(6)
        for node in NODES:  # followers forward the request to the leader
            _, response = await admin(simulation, node, "GET", "jobs/wk-000001")
            assert "team red uses 12 of its limit of 12 cores" in response["why"], response["why"]
        assert (await admin(simulation, "n0", "GET", "jobs/wk-000099"))[0] == 404
        _, response = await admin(simulation, "n2", "GET", "status")
        assert response["leader"] == await simulation.wait_for_leader()
        assert response["backlog"]["batch"]["jobs"] == 1
        assert sum(t["cores"] for t in response["teams"]) == 12.0
        simulation.network.partitions |= {
            frozenset((m, n)) for m in simulation.cloud.machines for n in NODES
        }
        zone_texts: set[str] = set()
        for _ in range(30):
            await asyncio.sleep(0.5)
            _, response = await admin(simulation, "n0", "GET", "zones")
            zone_texts |= {z["says"] for z in response["zones"]}
        assert any(says.startswith("DOWN") for says in zone_texts)

    run_in_virtual_time(scenario())


def test_settings_are_validated_versioned_and_applied_on_all_controllers() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        await simulation.wait_for_leader()

        async def put(name: Any, value: Any, version: Any) -> Any:
            body = {"name": name, "value": value, "version": version}
            return await admin(simulation, "n1", "PUT", "settings", body)

        assert (await put("idle_s", 9999, 0))[0] == 400
        assert "0 to 3600" in (await put("idle_s", "soon", 0))[1]["error"]
        assert (await put("colour", 1, 0))[0] == 400
        assert (await put("idle_s", 7, "x"))[0] == 400
        assert (await admin(simulation, "n1", "PUT", "settings", []))[0] == 400
        status, response = await put("idle_s", 7, 0)
        assert status == 200
        assert (await put("idle_s", 8, 0))[0] == 409
        await asyncio.sleep(1.0)
        assert [n.provisioning_options.spot_idle_s for n in simulation.nodes.values()] == [
            7.0,
            7.0,
            7.0,
        ]
        assert (await put("idle_s", None, response["version"]))[0] == 200
        await asyncio.sleep(1.0)
        assert simulation.nodes["n2"].provisioning_options.spot_idle_s != 7.0

    run_in_virtual_time(scenario())


def test_command_line_errors_go_to_stderr_and_set_the_exit_code(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["status", "--address", "127.0.0.1:1"]) == 1
    shown = capsys.readouterr().err
    assert shown.count("\n") == 1
    assert "cannot be reached" in shown
    assert main(["why", "wk-000001", "--address", "nonsense"]) == 1
    assert main(["check", "/nowhere.toml"]) == 2
    assert "/nowhere.toml" in capsys.readouterr().err
    assert main(["version"]) == 0
