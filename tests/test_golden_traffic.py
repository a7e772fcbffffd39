"""Traffic and stored values of whole controllers in virtual time, compared with what is on file."""

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
    cases,
    expect,
    expect_structure,
    given,
    response_facts,
    structure,
    template,
    without_times,
)
from tests.simulation import Simulation, job
from tests.virtual import play


async def until(at_s: float) -> None:
    await asyncio.sleep(at_s - asyncio.get_running_loop().time())


# ---- users -------------------------------------------------------------------------------------


def test_requests_of_users() -> None:
    """In the order of the file; a case on file as awaited is repeated until it comes so."""

    async def scenario() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        await asyncio.sleep(3.0)
        for case in cases("users", "requests"):
            method, target, body, awaited = given("users", "requests", case)
            if method == "POST" and target == "/v2/runs" and isinstance(body, dict):
                simulation.jobs.setdefault(str(body.get("name_id")), body)
            data = b"" if body is None else orjson.dumps(body)
            for tries in range(200):
                response = await simulation.nodes[leader].handle(method, target, data)
                facts = response_facts(response)
                try:
                    expect("users", "requests", case, facts)
                    break
                except AssertionError:
                    if not awaited or tries == 199:
                        raise
                await asyncio.sleep(0.3)
        finals = [
            [key, value] for key, value in simulation.state_service.puts if key.startswith("pt/f/")
        ]
        expect("stored_keys", "written", "final states", sorted(finals))

    play(scenario())


# ---- workers -----------------------------------------------------------------------------------


@pytest.mark.parametrize("case", cases("workers", "answers to reports"))
def test_answers_to_heartbeats(case: str) -> None:
    async def scenario() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        await asyncio.sleep(3.0)
        role, method, body = given("workers", "answers to reports", case)
        asked = leader if role == "leader" else next(n for n in simulation.nodes if n != leader)
        if role == "none leads":
            for name in list(simulation.nodes):
                if name != asked:
                    simulation.crash(name)
            simulation.net.partitions |= {frozenset((asked, "state"))}
            simulation.nodes[asked].election.on_key("lead", None, 10**6)
        response = await simulation.nodes[asked].handle(method, "/checkin", orjson.dumps(body))
        facts = response_facts(response)
        home = facts["body"].get("home")
        if home == leader:
            facts["body"]["home"] = "<leader>"
        expect("workers", "answers to reports", case, facts)

    play(scenario())


# ---- rentals, catalogue, operators' settings ---------------------------------------------------


def test_scale_out_and_scale_in_as_stored_and_sent() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        hosts = RecordedHosts(simulation)
        node = simulation.nodes[await simulation.wait_for_leader()]
        await until(120.0)
        names = node.cluster_state.names
        kind, zone = names.machine_types.index("small"), names.zones.index("b")
        now = asyncio.get_running_loop().time()
        await node.provisioner.scale_out.execute(ScaleOutRequest(kind, zone, True, 2), now)
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

    play(scenario())


def test_the_stored_catalogue_is_read() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        simulation.cloud.down = True
        simulation.state_service.put(
            "pt/catalog", given("stored_keys", "catalogue read", "one type")
        )
        node = simulation.nodes[await simulation.wait_for_leader()]
        await asyncio.sleep(3.0)
        catalog = protocol.Catalog(node.provisioner.catalog() or ())
        expect("stored_keys", "catalogue read", "one type", msgspec.to_builtins(catalog))

    play(scenario())


def test_settings_of_operators() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        node = simulation.nodes[await simulation.wait_for_leader()]
        await until(120.0)
        for case in cases("admin", "settings"):
            method, body = given("admin", "settings", case)
            data = b"" if body is None else orjson.dumps(body)
            response = await node.handle_peer(method, "/admin/v1/settings", data)
            facts = response_facts(response)
            if case == "get again":
                shown = facts["body"]["settings"]
                facts["body"]["settings"] = [knob for knob in shown if knob["set"]]
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

    play(scenario())


# ---- administration ----------------------------------------------------------------------------


def test_administration_and_its_forwarding() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        hosts = RecordedHosts(simulation)
        leader = await simulation.wait_for_leader()
        follower = next(name for name in simulation.nodes if name != leader)
        await simulation.submit(job("wk-000001", 2, team="red"))
        await simulation.submit(job("wk-000002", 2, team="blue", kind="service", priority="prod"))
        await simulation.submit(job("wk-000003", 9, team="guest", kind="group", cores=3.0))
        await until(125.0)
        for case in cases("admin", "answers"):
            asked, method, path = given("admin", "answers", case)
            node = simulation.nodes[leader if asked == "leader" else follower]
            facts = response_facts(await node.handle_peer(method, f"/admin/v1/{path}", b""))
            expect("admin", "answers", case, without_times(facts))
        forwarded = [
            {name: e[name] for name in ("method", "target", "body", "status")}
            for e in hosts.exchanges
            if e["from"] == follower and e["target"].startswith("/admin/")
        ]
        expect("peers", "forwarded", "of a follower", forwarded)

    play(scenario())


def test_structure_of_a_status_in_trouble() -> None:
    """Answers are lost, a new leader reaches no worker, a follower has no state service."""
    found: dict[str, set[str]] = {}
    operations: set[str] = set()

    async def look(simulation: Simulation, *names: str) -> None:
        for name in names:
            target = "/admin/v1/status?direct=1"
            response = await simulation.nodes[name].handle_peer("GET", target, b"")
            status = orjson.loads(response.body)
            operations.update(re.sub(r"\d+", "#", op["operation"]) for op in status["operations"])
            structure(status, "", found)

    async def scenario() -> None:
        simulation = Simulation()
        leader = await simulation.wait_for_leader()
        lost = ("/hosts", "/do")
        simulation.net.delivery_rule = lambda source, addr, method, target, body: (
            0.0,
            target in lost,
        )
        await simulation.submit(job("wk-000001", 6))
        while not any(simulation.checker.machines_by_task.values()):
            await asyncio.sleep(0.5)
            await look(simulation, leader)
        simulation.net.partitions |= {
            frozenset((m, n)) for m in simulation.cloud.machines for n in simulation.nodes
        }
        simulation.crash(leader)
        await asyncio.sleep(1.0)
        leader = await simulation.wait_for_leader()
        follower = next(name for name in simulation.nodes if name != leader)
        simulation.net.partitions.add(frozenset((follower, "state")))
        for _ in range(8):
            await asyncio.sleep(1.0)
            await look(simulation, leader, follower)
        expect_structure("admin", "structure of a status in trouble", found)
        expect("admin", "operations shown", "of every kind", sorted(operations))

    play(scenario())


# ---- structure of everything that travels ------------------------------------------------------


def partner_of(address: str) -> str:
    host, _, port = address.partition(":")
    if host in ("state", "cloud"):
        return "state_service" if host == "state" else "cloud"
    return {"1": "controller", "2": "peers", "9": "workers"}[port]


def test_structure_of_traffic() -> None:
    """Tasks that run, fail, end and are cancelled; a service; a leader that ends; returns."""
    found: dict[str, dict[str, set[str]]] = {}

    def note(file: str, at: str, value: Any) -> None:
        structure(value, at, found.setdefault(file, {}))

    async def scenario() -> None:
        simulation = Simulation()
        hosts = RecordedHosts(simulation)
        simulation.failing_jobs.add("wk-000002")
        simulation.spread_s = 6.0
        for n in range(4):
            await simulation.submit(
                job(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], deadline_s=90.0)
            )
        await simulation.submit(job("wk-000009", 2, team="guest", kind="service", priority="prod"))
        running = await simulation.wait_until_running(8)
        await simulation.cancel(
            next(task_id[:9] for task_id in running if not task_id.startswith("wk-000009"))
        )
        await asyncio.sleep(20.0)
        simulation.crash(await simulation.wait_for_leader())
        await asyncio.sleep(70.0)
        for key, value in simulation.state_service.puts:
            note("stored_keys", template(key), value)
        for exchange in hosts.exchanges:
            partner = partner_of(exchange["to"])
            target = exchange["target"]
            if partner == "controller":
                partner = "workers" if target == "/checkin" else "users"
            at = f"{exchange['method']} {template(target)}"
            note(partner, at, exchange["body"])
            note(partner, f"{at} {exchange['status']}", exchange["answer"])

    play(scenario())
    assert len(found) == 6
    for file, places in found.items():
        expect_structure(file, "structure of traffic", places)
