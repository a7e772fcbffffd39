"""Quotas, guarantees, and jobs that must not starve."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from tests.scenario import now, run
from tests.simulation import SMALL, Simulation, job
from tests.virtual import play


def test_a_team_without_limit_and_objectives_is_served() -> None:
    """All their jobs were refused with 422, as beyond a limit of 0 cores."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000001", 6))
        await simulation.submit(
            job("wk-000002", 20, team="guest", job_class="idle-scan", priority="low")
        )
        await simulation.submit(
            job("wk-000003", 1, team="guest", job_class="tiny", estimated_run_s=0.0)
        )
        await simulation.wait_until_over(120.0)
        assert set(simulation.checker.statuses.values()) == {"done"}

    run(scenario)


def test_a_large_task_starts_though_small_ones_fill_every_gap() -> None:
    """Tasks of 16 cores had waited 320 to 500 s: no machine ever had 16 cores free at once."""

    async def scenario(simulation: Simulation) -> None:
        simulation.spread_s = 10.0
        # Their teams' limits are all the cores there are, and no machine is ever empty by itself.
        await simulation.submit(job("wk-000001", 2000, cores=1.0, team="red", estimated_run_s=8.0))
        await simulation.submit(job("wk-000002", 2000, cores=1.0, team="blue", estimated_run_s=8.0))
        await simulation.wait_until_running(16)
        asked = now()
        wide = job(
            "wk-000003",
            3,
            cores=4.0,
            ram_gb=4.0,
            team="guest",
            priority="low",
            estimated_run_s=20.0,
        )
        await simulation.submit(wide)
        while "wk-000003/0" not in simulation.checker.started_at:
            await asyncio.sleep(1.0)
            assert now() < asked + 240.0
        for n in (1, 2, 3):
            await simulation.cancel(f"wk-{n:06d}")
        await simulation.wait_until_over(60.0)

    run(scenario, deployment=replace(SMALL, spot=6, on_demand=0))


def test_the_largest_job_starts_though_small_ones_keep_coming() -> None:
    """Moore's rule alone puts a hopeless job behind every small one, for as long as they come."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-100000", 400, estimated_run_s=5.0))
        large = now()
        for n in range(75):
            await simulation.submit(job(f"wk-{n:06d}", 3, estimated_run_s=5.0))
            await asyncio.sleep(2.9)
        begun = [
            at
            for task_id, at in simulation.checker.started_at.items()
            if task_id.startswith("wk-100000/")
        ]
        assert begun
        assert min(begun) < large + 240.0
        served = [
            n for n in range(75) if simulation.checker.statuses.get(f"wk-{n:06d}") is not None
        ]
        assert len(served) == 75
        await simulation.cancel("wk-100000")
        await simulation.wait_until_over(200.0)

    run(scenario)


def test_the_soonest_of_several_start_objectives_decides_when_to_preempt() -> None:
    """The last goal of a class stood for all: at 5 s and 50 s, room was made only after 10 s."""
    goal = '[[cluster.objectives]]\nkind = "wait"\nclass = "rush"\nwithin_s = {}\nshare = 0.8\n'
    goals = "".join(goal.format(seconds) for seconds in (5.0, 50.0, 90.0))
    text = SMALL.text.replace("[cluster.workers]", goals + "[cluster.workers]")

    async def scenario() -> None:
        simulation = Simulation(1, replace(SMALL, text=text, spot=5, on_demand=0))
        simulation.run_s = 60.0
        await simulation.submit(job("wk-000001", 30))
        await simulation.submit(job("wk-000002", 30, team="blue"))
        await simulation.wait_until_running(10)
        asked = asyncio.get_running_loop().time()
        await simulation.submit(job("wk-000003", 2, team="blue", job_class="rush", priority="high"))
        while "wk-000003/1" not in simulation.checker.started_at:
            await asyncio.sleep(0.1)
        assert simulation.checker.started_at["wk-000003/1"] - asked < 6.0
        assert not simulation.checker.violations

    play(scenario())


def test_a_task_within_its_guarantee_is_not_preempted_by_a_priority_beyond_one() -> None:
    """It came first in the order, and so got the room of its own stop, again and again."""

    async def scenario() -> None:
        simulation = Simulation(1, replace(SMALL, spot=2, on_demand=0))
        simulation.run_s = 40.0
        await simulation.submit(
            job("wk-000001", 2, estimated_run_s=40.0)
        )  # four cores: just the guarantee
        await simulation.submit(job("wk-000002", 2, estimated_run_s=40.0, team="blue"))
        await simulation.wait_until_running(4)
        await simulation.submit(job("wk-000003", 2, job_class="rush", priority="high"))
        await simulation.wait_until_over(200.0)
        assert simulation.checker.start_count == 6
        assert not simulation.checker.violations

    play(scenario())


def test_team_limits_zones_and_machine_kinds_are_kept() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000001", 20))
        await simulation.submit(job("wk-000002", 4, team="blue", zone="b", spot_allowed=False))
        await simulation.submit(job("wk-000003", 2, team="blue", single_zone=True))
        await simulation.wait_until_over(200.0)

    run(scenario)
