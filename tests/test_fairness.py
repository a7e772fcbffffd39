"""Quotas, guarantees, and jobs that must not starve."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from tests.scenario import now, run_scenario
from tests.simulation import SMALL, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


def test_jobs_of_a_team_without_limit_and_of_a_class_without_objectives_complete() -> None:
    """A missing limit was read as 0 cores, so all jobs of such teams were refused with 422."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 6))
        await simulation.submit(
            job_spec("wk-000002", 20, team="guest", job_class="idle-scan", priority="low")
        )
        await simulation.submit(
            job_spec("wk-000003", 1, team="guest", job_class="tiny", estimated_run_s=0.0)
        )
        await simulation.wait_until_jobs_final(120.0)
        assert set(simulation.checker.statuses.values()) == {"done"}

    run_scenario(scenario)


def test_a_task_that_needs_a_whole_machine_starts_despite_a_backlog_of_small_tasks() -> None:
    """Tasks of 16 cores waited 320 to 500 s, as no machine ever had 16 cores free at once."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_time_spread_s = 10.0
        # The limits of both teams add up to all cores; no machine becomes empty unless reserved.
        await simulation.submit(
            job_spec("wk-000001", 2000, cores=1.0, team="red", estimated_run_s=8.0)
        )
        await simulation.submit(
            job_spec("wk-000002", 2000, cores=1.0, team="blue", estimated_run_s=8.0)
        )
        await simulation.wait_until_running(16)
        submitted_at = now()
        wide = job_spec(
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
            assert now() < submitted_at + 240.0
        for n in (1, 2, 3):
            await simulation.cancel(f"wk-{n:06d}")
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario, deployment=replace(SMALL, spot=6, on_demand=0))


def test_the_largest_job_starts_despite_a_steady_stream_of_small_jobs() -> None:
    """The Moore-Hodgson algorithm puts a job that cannot be on time after all jobs that can.

    While small jobs keep arriving, that order alone would never start the large one.
    """

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-100000", 400, estimated_run_s=5.0))
        submitted_at = now()
        for n in range(75):
            await simulation.submit(job_spec(f"wk-{n:06d}", 3, estimated_run_s=5.0))
            await asyncio.sleep(2.9)
        start_times = [
            at
            for task_id, at in simulation.checker.started_at.items()
            if task_id.startswith("wk-100000/")
        ]
        assert start_times
        assert min(start_times) < submitted_at + 240.0
        with_status = [
            n for n in range(75) if simulation.checker.statuses.get(f"wk-{n:06d}") is not None
        ]
        assert len(with_status) == 75
        await simulation.cancel("wk-100000")
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)


def test_the_shortest_start_objective_of_a_class_decides_when_to_preempt() -> None:
    """Only the last objective of a class counted: with 5 and 50 s, preemption began after 10 s."""
    template = '[[cluster.objectives]]\nkind = "wait"\nclass = "rush"\nwithin_s = {}\nshare = 0.8\n'
    objectives = "".join(template.format(seconds) for seconds in (5.0, 50.0, 90.0))
    text = SMALL.text.replace("[cluster.workers]", objectives + "[cluster.workers]")

    async def scenario() -> None:
        simulation = Simulation(1, replace(SMALL, text=text, spot=5, on_demand=0))
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 30))
        await simulation.submit(job_spec("wk-000002", 30, team="blue"))
        await simulation.wait_until_running(10)
        submitted_at = asyncio.get_running_loop().time()
        await simulation.submit(
            job_spec("wk-000003", 2, team="blue", job_class="rush", priority="high")
        )
        while "wk-000003/1" not in simulation.checker.started_at:
            await asyncio.sleep(0.1)
        assert simulation.checker.started_at["wk-000003/1"] - submitted_at < 6.0
        assert not simulation.checker.violations

    run_in_virtual_time(scenario())


def test_a_higher_priority_job_beyond_the_guarantee_preempts_no_task_within_it() -> None:
    """The preempted task was first in the scheduling order and got its capacity back, in a loop."""

    async def scenario() -> None:
        simulation = Simulation(1, replace(SMALL, spot=2, on_demand=0))
        simulation.run_s = 40.0
        # Two tasks of two cores are exactly the guarantee of four cores.
        await simulation.submit(job_spec("wk-000001", 2, estimated_run_s=40.0))
        await simulation.submit(job_spec("wk-000002", 2, estimated_run_s=40.0, team="blue"))
        await simulation.wait_until_running(4)
        await simulation.submit(job_spec("wk-000003", 2, job_class="rush", priority="high"))
        await simulation.wait_until_jobs_final(200.0)
        assert simulation.checker.start_count == 6
        assert not simulation.checker.violations

    run_in_virtual_time(scenario())


def test_starts_respect_team_limits_zones_and_on_demand_requirements() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 20))
        await simulation.submit(job_spec("wk-000002", 4, team="blue", zone="b", spot_allowed=False))
        await simulation.submit(job_spec("wk-000003", 2, team="blue", single_zone=True))
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)
