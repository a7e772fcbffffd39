"""Shared parts of scenarios that run several controllers in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from petrelthread.http import NoResponseError
from tests.simulated_network import DeliveryRule
from tests.simulation import NODES, SMALL, Deployment, Simulation
from tests.virtual_time import run_in_virtual_time

Scenario = Callable[[Simulation], Awaitable[None]]


def run_scenario(scenario: Scenario, seed: int = 1, deployment: Deployment = SMALL) -> Simulation:
    """Run a scenario, then 80 s without faults; fail if any invariant is violated."""

    async def main() -> Simulation:
        simulation = Simulation(seed, deployment)
        await scenario(simulation)
        await simulation.run_without_faults(80.0)  # delayed messages arrive meanwhile
        assert not simulation.checker.violations, simulation.checker.violations
        assert simulation.checker.start_count > 0
        return simulation

    result: Simulation = run_in_virtual_time(main())
    return result


def now() -> float:
    """Virtual time, in seconds."""
    return asyncio.get_running_loop().time()


def other_controllers(name: str) -> list[str]:
    """All controllers but the named one."""
    return [node for node in NODES if node != name]


def lose_transaction_responses(simulation: Simulation, share: float, late: bool) -> DeliveryRule:
    """Lose the responses of a share of transactions, which commit at once or 2 to 12 s late."""

    def rule(source: str, addr: str, method: str, target: str, body: Any) -> Any:
        if target == "/multi" and simulation.random.random() < share:
            return (simulation.random.uniform(2.0, 12.0) if late else 0.0), True
        return 0.0, False

    return rule


async def try_to_cancel_at(simulation: Simulation, job_id: str, nodes: list[str]) -> bool:
    """Try to cancel once on each of these nodes in turn, until one confirms. Whether one did."""
    for node in nodes:
        if await simulation.try_to_cancel(job_id, node) == "aborted":
            return True
    return False


async def query_and_resubmit_on_all_controllers(simulation: Simulation, job_id: str) -> None:
    """Query the job and repeat its submission on all controllers, all at the same moment."""

    async def call(node: str, method: str, path: str, body: Any) -> None:
        try:
            status, response = await simulation.ask(node, method, path, body)
        except NoResponseError:
            return
        simulation.checker.record_answer(job_id, status, response)
        assert status not in (400, 422), (job_id, node, response)

    requests = [call(node, "GET", f"/v2/runs/{job_id}", None) for node in simulation.nodes]
    requests += [
        call(node, "POST", "/v2/runs", simulation.jobs[job_id]) for node in simulation.nodes
    ]
    await asyncio.gather(*requests)
