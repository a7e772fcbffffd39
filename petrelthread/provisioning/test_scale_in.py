"""Scale-in calls, and the selection of machines for them."""

from __future__ import annotations

import asyncio
from typing import Any

from petrelthread import protocol
from petrelthread.fleet import Health
from petrelthread.provisioning import Plan
from tests.simulation import Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


def test_machines_beyond_limit_of_one_call_are_scaled_in_by_further_calls() -> None:
    """The cloud refuses a call with more than 100 names."""
    name_counts: list[int] = []

    async def scenario() -> None:
        simulation = Simulation(1)
        node = simulation.nodes[await simulation.wait_for_leader()]
        handle = simulation.cloud.handle

        async def cloud(
            source: str, method: str, target: str, body: dict[str, Any]
        ) -> tuple[int, Any]:
            if target == protocol.SCALE_IN_PATH:
                name_counts.append(len(body["perches"]))
            return await handle(source, method, target, body)

        simulation.network.hosts["cloud:1"] = cloud
        now = asyncio.get_running_loop().time()
        machines = [node.fleet.get_or_add(f"host-{n:06d}", now) for n in range(330)]
        await node.provisioner.scale_in.execute_all(machines, now)
        assert all(m.health is Health.TERMINATED for m in machines)
        assert max(name_counts) == protocol.MAX_MACHINES_PER_SCALE_IN
        assert sum(name_counts) == len(machines)

    run_in_virtual_time(scenario())


def test_machine_that_received_tasks_since_plan_is_not_selected() -> None:
    """Scale-outs, which take seconds, are made between the plan and its scale-ins."""

    async def scenario() -> None:
        simulation = Simulation(1)
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 1, estimated_run_s=60.0))
        await simulation.wait_until_running(1)
        node = simulation.nodes[await simulation.wait_for_leader()]
        now = asyncio.get_running_loop().time()
        up = [m for m in node.fleet.machines.values() if m.health is Health.UP]
        busy = [m for m in up if m.index in node.cluster_state.attempts_by_machine]
        assert busy
        plan = Plan([], [m.index for m in up], set())
        selected = node.provisioner.scale_in_selection.select(plan, now)
        assert not {m.index for m in busy} & {m.index for m in selected}

    run_in_virtual_time(scenario())
