"""Heartbeats and commands that arrive late, and responses that are lost."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.scenario import now, run_scenario
from tests.simulation import NODES, Simulation, job_spec


@pytest.mark.parametrize("after_s", [0.0, 0.3, 1.0, 4.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_old_heartbeats_have_no_effect_after_an_election(after_s: float, seed: int) -> None:
    """Every controller receives up to 30 old heartbeats, also of earlier incarnations and attempts.

    Neither the tasks that they list nor those that they lack are evidence any more.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_time_spread_s = 8.0
        kept: list[tuple[str, Any]] = []

        def keep(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if target == "/checkin" and simulation.random.random() < 0.4:
                kept.append((source, body))
            return 0.0, False

        simulation.network.delivery_rule = keep
        for n in range(5):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        task_ids = await simulation.wait_until_running(6)
        partitioned_worker = simulation.worker_running(task_ids[0])
        simulation.network.partitions |= {
            frozenset((partitioned_worker.name, node)) for node in NODES
        }  # until its lease expires
        await asyncio.sleep(11.0)
        simulation.network.partitions.clear()
        for _ in range(3):
            leader = await simulation.wait_for_leader()
            simulation.crash(leader)
            await simulation.wait_for_leader()
            await asyncio.sleep(after_s)
            old, kept[:] = simulation.random.sample(kept, min(len(kept), 30)), []
            for source, body in old:
                for node in list(simulation.nodes):
                    handler = simulation.network.hosts[f"{node}:1"]
                    await handler(source, "POST", "/checkin", body)
            simulation.boot(leader)
            await asyncio.sleep(simulation.random.uniform(1.0, 6.0))
        simulation.network.delivery_rule = None
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("late", [2.0, 9.0, 14.0, 35.0])
def test_late_duplicates_of_heartbeats_make_no_terminated_machine_schedulable(late: float) -> None:
    """The duplicates reach the same, a new or a restarted leader.

    Some come from former incarnations of workers or from terminated machines.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 6.0
        simulation.network.duplicate_rule = lambda source, addr, method, target: (
            late if target == "/checkin" and simulation.random.random() < 0.5 else None
        )
        for n in range(4):
            team = "red" if n % 2 else "blue"
            await simulation.submit(job_spec(f"wk-{n:06d}", 6, team=team, estimated_run_s=20.0))
        task_ids = await simulation.wait_until_running(4)
        partitioned_worker = simulation.worker_running(task_ids[0])
        simulation.network.partitions |= {
            frozenset((partitioned_worker.name, n)) for n in NODES
        }  # its lease expires, or it is returned
        await asyncio.sleep(12.0)
        first = await simulation.wait_for_leader()
        simulation.crash(first)
        await asyncio.sleep(0.3)
        simulation.boot(first)
        await asyncio.sleep(5.0)
        simulation.crash(await simulation.wait_for_leader())
        await simulation.wait_until_jobs_final(200.0)
        # No duplicate makes a terminated machine schedulable.
        await asyncio.sleep(late)
        node = simulation.nodes[await simulation.wait_for_leader()]
        schedulable = {m.name for m in node.fleet.machines.values() if node.fleet.is_schedulable(m)}
        assert schedulable <= set(simulation.cloud.machines)

    run_scenario(scenario)


@pytest.mark.parametrize("delay", [6.0, 14.0, 30.0])
def test_direct_commands_delivered_after_a_failover_violate_no_invariant(delay: float) -> None:
    """Direct commands arrive 6 to 30 s late, some after the leader's crash or the attempt's end."""

    async def scenario(simulation: Simulation) -> None:
        delayed_count = 0

        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal delayed_count
            if target == "/do":
                delayed_count += 1
                return delay, False
            return 0.0, False

        simulation.network.delivery_rule = delivery
        await simulation.submit(job_spec("wk-000001", 6))
        await simulation.submit(job_spec("wk-000002", 3, team="blue"))
        await simulation.wait_until_running(2)
        await simulation.cancel("wk-000002")
        await asyncio.sleep(3.0)
        simulation.crash(await simulation.wait_for_leader())
        await simulation.wait_until_jobs_final(120.0)
        assert delayed_count

    run_scenario(scenario)


def test_commands_are_repeated_when_every_third_response_is_lost() -> None:
    """Start and forget commands are repeated, and no task runs twice."""

    async def scenario(simulation: Simulation) -> None:
        count = 0

        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal count
            if target in ("/checkin", "/do"):
                count += 1
                return 0.0, count % 3 == 0
            return 0.0, False

        simulation.network.delivery_rule = delivery
        await simulation.submit(job_spec("wk-000001", 12))
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)
