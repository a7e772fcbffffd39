"""Traffic and stored values of controllers in virtual time, compared with the golden files."""

from __future__ import annotations

import asyncio
import re
from typing import Any

import msgspec
import orjson
import pytest

from petrelthread import protocol
from petrelthread.provisioning import ScaleOutRequest
from tests.golden_data import (
    RecordedHosts,
    case_input,
    case_names,
    collect_structure,
    expect,
    expect_structure,
    response_facts,
    without_numbers,
    without_times,
)
from tests.simulation import Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


async def sleep_until(at_s: float) -> None:
    await asyncio.sleep(at_s - asyncio.get_running_loop().time())


# ---- users -------------------------------------------------------------------------------------


def test_responses_to_user_requests_match_the_golden_file() -> None:
    """Sent in the order of the file; a case marked as awaited is repeated until it matches."""

    async def scenario() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        await asyncio.sleep(3.0)
        for case in case_names("users", "requests"):
            method, target, body, awaited = case_input("users", "requests", case)
            if method == "POST" and target == "/v2/runs" and isinstance(body, dict):
                simulation.jobs.setdefault(str(body.get("name_id")), body)
            data = b"" if body is None else orjson.dumps(body)
            for attempt in range(200):
                response = await simulation.nodes[leader].handle(method, target, data)
                facts = response_facts(response)
                try:
                    expect("users", "requests", case, facts)
                    break
                except AssertionError:
                    if not awaited or attempt == 199:
                        raise
                await asyncio.sleep(0.3)
        final_statuses = [
            [key, value] for key, value in simulation.state_service.puts if key.startswith("pt/f/")
        ]
        expect("stored_keys", "written", "final states", sorted(final_statuses))

    run_in_virtual_time(scenario())


# ---- workers -----------------------------------------------------------------------------------


@pytest.mark.parametrize("case", case_names("workers", "answers to reports"))
def test_responses_to_heartbeats_match_the_golden_file(case: str) -> None:
    async def scenario() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        await asyncio.sleep(3.0)
        role, method, body = case_input("workers", "answers to reports", case)
        asked = leader if role == "leader" else next(n for n in simulation.nodes if n != leader)
        if role == "none leads":
            for name in list(simulation.nodes):
                if name != asked:
                    simulation.crash(name)
            simulation.network.partitions |= {frozenset((asked, "state"))}
            simulation.nodes[asked].election.on_key("lead", None, 10**6)
        response = await simulation.nodes[asked].handle(method, "/checkin", orjson.dumps(body))
        facts = response_facts(response)
        home = facts["body"].get("home")
        if home == leader:
            facts["body"]["home"] = "<leader>"
        expect("workers", "answers to reports", case, facts)

    run_in_virtual_time(scenario())


# ---- scale-out, scale-in, catalog, settings ----------------------------------------------------


def test_scale_out_and_scale_in_are_stored_and_sent() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        hosts = RecordedHosts(simulation)
        node = simulation.nodes[await simulation.wait_for_leader()]
        await sleep_until(120.0)
        names = node.cluster_state.names
        machine_type, zone = names.machine_types.index("small"), names.zones.index("b")
        now = asyncio.get_running_loop().time()
        await node.provisioner.scale_out.execute(ScaleOutRequest(machine_type, zone, True, 2), now)
        first = next(iter(node.fleet.machines.values()))
        await node.provisioner.scale_in.execute_all([first], now)
        calls = [[e["method"], e["target"], e["body"]] for e in hosts.matching("POST", "/hosts.*")]
        expect("cloud", "sent", "rental and return", calls)
        puts = [
            [key, value]
            for key, value in simulation.state_service.puts
            if key[:5] in ("pt/c/", "pt/x/")
        ]
        expect("stored_keys", "written", "rental and return", puts)
        catalogs = [value for key, value in simulation.state_service.puts if key == "pt/catalog"]
        expect("stored_keys", "written", "catalogue", catalogs)

    run_in_virtual_time(scenario())


def test_the_stored_catalog_is_read() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        simulation.cloud.down = True
        simulation.state_service.put(
            "pt/catalog", case_input("stored_keys", "catalogue read", "one type")
        )
        node = simulation.nodes[await simulation.wait_for_leader()]
        await asyncio.sleep(3.0)
        catalog = protocol.Catalog(node.provisioner.catalog() or ())
        expect("stored_keys", "catalogue read", "one type", msgspec.to_builtins(catalog))

    run_in_virtual_time(scenario())


def test_settings_responses_and_stored_options_match_the_golden_file() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        node = simulation.nodes[await simulation.wait_for_leader()]
        await sleep_until(120.0)
        for case in case_names("admin", "settings"):
            method, body = case_input("admin", "settings", case)
            data = b"" if body is None else orjson.dumps(body)
            response = await node.handle_peer(method, "/admin/v1/settings", data)
            facts = response_facts(response)
            if case == "get again":
                settings = facts["body"]["settings"]
                facts["body"]["settings"] = [setting for setting in settings if setting["set"]]
            expect("admin", "settings", case, facts)
            await asyncio.sleep(1.0)
            if case == "change":
                assert [n.provisioning_options.spot_idle_s for n in simulation.nodes.values()] == [
                    7.0,
                    7.0,
                    7.0,
                ]
        puts = [value for key, value in simulation.state_service.puts if key == "pt/options"]
        expect("stored_keys", "written", "options", puts)

    run_in_virtual_time(scenario())


# ---- administration ----------------------------------------------------------------------------


def test_admin_responses_and_forwarding_by_a_follower_match_the_golden_file() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        hosts = RecordedHosts(simulation)
        leader = await simulation.wait_for_leader()
        follower = next(name for name in simulation.nodes if name != leader)
        await simulation.submit(job_spec("wk-000001", 2, team="red"))
        await simulation.submit(
            job_spec("wk-000002", 2, team="blue", kind="service", priority="prod")
        )
        await simulation.submit(job_spec("wk-000003", 9, team="guest", kind="group", cores=3.0))
        await sleep_until(125.0)
        for case in case_names("admin", "answers"):
            asked, method, path = case_input("admin", "answers", case)
            node = simulation.nodes[leader if asked == "leader" else follower]
            facts = response_facts(await node.handle_peer(method, f"/admin/v1/{path}", b""))
            expect("admin", "answers", case, without_times(facts))
        forwarded = [
            {name: e[name] for name in ("method", "target", "body", "status")}
            for e in hosts.exchanges
            if e["from"] == follower and e["target"].startswith("/admin/")
        ]
        expect("peers", "forwarded", "of a follower", forwarded)

    run_in_virtual_time(scenario())


def test_structure_of_the_status_during_faults_matches_the_golden_file() -> None:
    """Responses are lost, a new leader reaches no worker, a follower no state service."""
    found: dict[str, set[str]] = {}
    operations: set[str] = set()

    async def collect_status(simulation: Simulation, *names: str) -> None:
        for name in names:
            target = "/admin/v1/status?direct=1"
            response = await simulation.nodes[name].handle_peer("GET", target, b"")
            status = orjson.loads(response.body)
            operations.update(re.sub(r"\d+", "#", op["operation"]) for op in status["operations"])
            collect_structure(status, "", found)

    async def scenario() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        lost_targets = ("/hosts", "/do")
        simulation.network.delivery_rule = lambda source, addr, method, target, body: (
            0.0,
            target in lost_targets,
        )
        await simulation.submit(job_spec("wk-000001", 6))
        while not any(simulation.checker.machines_by_task.values()):
            await asyncio.sleep(0.5)
            await collect_status(simulation, leader)
        simulation.network.partitions |= {
            frozenset((m, n)) for m in simulation.cloud.machines for n in simulation.nodes
        }
        simulation.crash(leader)
        await asyncio.sleep(1.0)
        leader = await simulation.wait_for_leader()
        follower = next(name for name in simulation.nodes if name != leader)
        simulation.network.partitions.add(frozenset((follower, "state")))
        for _ in range(8):
            await asyncio.sleep(1.0)
            await collect_status(simulation, leader, follower)
        expect_structure("admin", "structure of a status in trouble", found)
        expect("admin", "operations shown", "of every kind", sorted(operations))

    run_in_virtual_time(scenario())


# ---- structure of all traffic ------------------------------------------------------------------


def partner_of(address: str) -> str:
    host, _, port = address.partition(":")
    if host in ("state", "cloud"):
        return "state_service" if host == "state" else "cloud"
    return {"1": "controller", "2": "peers", "9": "workers"}[port]


def test_structure_of_traffic_matches_the_golden_file() -> None:
    """Covers tasks that complete, fail and are cancelled, a service, a failover and scale-in."""
    found: dict[str, dict[str, set[str]]] = {}

    def collect(file: str, at: str, value: Any) -> None:
        collect_structure(value, at, found.setdefault(file, {}))

    async def scenario() -> None:
        simulation = Simulation()
        hosts = RecordedHosts(simulation)
        simulation.failing_jobs.add("wk-000002")
        simulation.run_time_spread_s = 6.0
        for n in range(4):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], deadline_s=90.0)
            )
        await simulation.submit(
            job_spec("wk-000009", 2, team="guest", kind="service", priority="prod")
        )
        running = await simulation.wait_until_running(8)
        await simulation.cancel(
            next(task_id[:9] for task_id in running if not task_id.startswith("wk-000009"))
        )
        await asyncio.sleep(20.0)
        simulation.crash(await simulation.wait_for_leader())
        await asyncio.sleep(70.0)
        for key, value in simulation.state_service.puts:
            collect("stored_keys", without_numbers(key), value)
        for exchange in hosts.exchanges:
            partner = partner_of(exchange["to"])
            target = exchange["target"]
            if partner == "controller":
                partner = "workers" if target == "/checkin" else "users"
            at = f"{exchange['method']} {without_numbers(target)}"
            collect(partner, at, exchange["body"])
            collect(partner, f"{at} {exchange['status']}", exchange["answer"])

    run_in_virtual_time(scenario())
    assert len(found) == 6
    for file, places in found.items():
        expect_structure(file, "structure of traffic", places)
