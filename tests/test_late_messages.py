"""Heartbeats and commands that arrive late, or only in one direction."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.scenario import now, run
from tests.simulation import NODES, Simulation, job


@pytest.mark.parametrize("after_s", [0.0, 0.3, 1.0, 4.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_old_heartbeats_reach_every_controller_after_an_election(after_s: float, seed: int) -> None:
    """Of earlier sessions and attempts too: what they lack or show proves nothing any more."""

    async def scenario(simulation: Simulation) -> None:
        simulation.spread_s = 8.0
        kept: list[tuple[str, Any]] = []

        def keep(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if target == "/checkin" and simulation.random.random() < 0.4:
                kept.append((source, body))
            return 0.0, False

        simulation.net.delivery_rule = keep
        for n in range(5):
            await simulation.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        task_ids = await simulation.wait_until_running(6)
        lost = simulation.worker_running(task_ids[0])
        simulation.net.partitions |= {
            frozenset((lost.name, node)) for node in NODES
        }  # its session ends
        await asyncio.sleep(11.0)
        simulation.net.partitions.clear()
        for _ in range(3):
            leader = await simulation.wait_for_leader()
            simulation.crash(leader)
            await simulation.wait_for_leader()
            await asyncio.sleep(after_s)
            old, kept[:] = simulation.random.sample(kept, min(len(kept), 30)), []
            for source, body in old:
                for node in list(simulation.nodes):
                    handler = simulation.net.hosts[f"{node}:1"]
                    await handler(source, "POST", "/checkin", body)
            simulation.boot(leader)
            await asyncio.sleep(simulation.random.uniform(1.0, 6.0))
        simulation.net.delivery_rule = None
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_over(200.0)

    run(scenario, seed)


@pytest.mark.parametrize("late", [2.0, 9.0, 14.0, 35.0])
def test_late_copies_of_heartbeats(late: float) -> None:
    """To the same leader, to new ones, to one just restarted, from gone sessions and machines."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 6.0
        simulation.net.duplicate_rule = lambda source, addr, method, target: (
            late if target == "/checkin" and simulation.random.random() < 0.5 else None
        )
        for n in range(4):
            team = "red" if n % 2 else "blue"
            await simulation.submit(job(f"wk-{n:06d}", 6, team=team, estimated_run_s=20.0))
        task_ids = await simulation.wait_until_running(4)
        lost = simulation.worker_running(task_ids[0])
        simulation.net.partitions |= {
            frozenset((lost.name, n)) for n in NODES
        }  # a session ends, or it goes
        await asyncio.sleep(12.0)
        first = await simulation.wait_for_leader()
        simulation.crash(first)
        await asyncio.sleep(0.3)
        simulation.boot(first)
        await asyncio.sleep(5.0)
        simulation.crash(await simulation.wait_for_leader())
        await simulation.wait_until_over(200.0)
        # None of the machines that are gone is taken for alive because of a copy.
        await asyncio.sleep(late)
        node = simulation.nodes[await simulation.wait_for_leader()]
        served = {m.name for m in node.fleet.machines.values() if node.fleet.is_schedulable(m)}
        assert served <= set(simulation.cloud.machines)

    run(scenario)


@pytest.mark.parametrize("delay", [6.0, 14.0, 30.0])
def test_a_late_direct_command(delay: float) -> None:
    """Held by the network and delivered after the leader, and perhaps the attempt, is over."""

    async def scenario(simulation: Simulation) -> None:
        held = 0

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal held
            if target == "/do":
                held += 1
                return delay, False
            return 0.0, False

        simulation.net.delivery_rule = fate
        await simulation.submit(job("wk-000001", 6))
        await simulation.submit(job("wk-000002", 3, team="blue"))
        await simulation.wait_until_running(2)
        await simulation.cancel("wk-000002")
        await asyncio.sleep(3.0)
        simulation.crash(await simulation.wait_for_leader())
        await simulation.wait_until_over(120.0)
        assert held

    run(scenario)


def test_answers_to_heartbeats_are_lost() -> None:
    """Every third answer vanishes: launches and forgets are repeated, nothing runs twice."""

    async def scenario(simulation: Simulation) -> None:
        count = 0

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal count
            if target in ("/checkin", "/do"):
                count += 1
                return 0.0, count % 3 == 0
            return 0.0, False

        simulation.net.delivery_rule = fate
        await simulation.submit(job("wk-000001", 12))
        await simulation.wait_until_over(200.0)

    run(scenario)
