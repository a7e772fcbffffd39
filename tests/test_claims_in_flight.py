"""Events between a claim and its response: watch, heartbeats and cloud do not wait for it."""

from __future__ import annotations

from typing import Any

from tests.scenario import run_scenario
from tests.simulation import Simulation, job_spec

RESPONSE_DELAY_S = 0.05  # the watch returns a record well before this


def test_rounds_read_by_the_watch_before_their_response_are_dispatched() -> None:
    """A leader must not treat its own unanswered rounds as late duplicates of settled ones."""
    recorded = 0

    async def scenario(simulation: Simulation) -> None:
        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal recorded
            for op in body["apply"] if target == "/multi" else ():
                if "put" in op and op["put"].startswith("pt/r/"):
                    recorded += sum(len(tasks) for _, _, jobs in op["v"] for _, tasks in jobs)
            return 0.0, False

        simulation.network.delivery_rule = delivery
        simulation.network.response_delay = lambda target: (
            RESPONSE_DELAY_S if target == "/multi" else 0.0
        )
        for n in range(4):
            await simulation.submit(job_spec(f"wk-{n:06d}", 3, team="red" if n % 2 else "blue"))
        await simulation.wait_until_jobs_final(120.0)

    simulation = run_scenario(scenario)
    assert simulation.checker.start_count == recorded == 12
