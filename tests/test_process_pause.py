"""Pauses of a controller's process while its clocks continue."""

from __future__ import annotations

import asyncio

import pytest

from tests.scenario import run_scenario
from tests.simulation import Simulation, job_spec


@pytest.mark.parametrize("for_s", [2.5, 6.0, 13.0, 35.0])
def test_leader_that_resumes_from_a_pause_reports_current_state(for_s: float) -> None:
    """The pause is shorter or longer than the leader's lease and the workers' leases.

    The admin views of the former leader show what another leader has confirmed to users.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 20.0
        await simulation.submit(job_spec("wk-000001", 12, estimated_run_s=20.0))
        await simulation.submit(job_spec("wk-000002", 12, team="blue", estimated_run_s=20.0))
        await simulation.wait_until_running(8)
        rented = simulation.cloud.rented_count
        old = await simulation.wait_for_leader()
        pausing = asyncio.ensure_future(simulation.pause(old, for_s))
        await asyncio.sleep(for_s / 2)
        if for_s > 10.0:
            assert simulation.leader not in (None, old)
            await simulation.cancel("wk-000002")
        await pausing
        node = simulation.nodes[old]
        await asyncio.sleep(0.1)
        assert node.pause_detector.last_pause_s >= for_s - 1.0
        assert not node.election.is_leader or for_s < 3.0
        status, cluster_view = await simulation.ask_admin(old, "status")
        assert status == 200
        assert cluster_view["leader"] == simulation.leader or simulation.leader is None
        if for_s > 10.0:
            _, job_view = await simulation.ask_admin(old, "jobs/wk-000002")
            assert job_view["status"] == "aborted"
        await simulation.wait_until_jobs_final(200.0)
        assert simulation.cloud.rented_count <= rented + 6  # its machines were not all replaced

    run_scenario(scenario)


def test_leader_that_still_leads_after_a_pause_returns_no_machine() -> None:
    """An outage gives the lease its full duration again, though no heartbeat came in the pause."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        machines = await simulation.machines_of_running_tasks(6)
        old = await simulation.wait_for_leader()
        simulation.state_service.set_outage(True)
        await simulation.pause(old, 14.0)
        simulation.state_service.set_outage(False)
        await asyncio.sleep(8.0)
        assert machines <= set(simulation.cloud.machines)
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)


def test_workers_report_while_the_controller_that_rented_them_is_paused() -> None:
    """They were paused with it in the simulation, so that a new leader lost all its machines."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        machines = await simulation.machines_of_running_tasks(6)
        old = await simulation.wait_for_leader()
        await simulation.pause(old, 35.0)
        assert machines <= set(simulation.cloud.machines)
        await simulation.wait_until_jobs_final(200.0)

    assert run_scenario(scenario).checker.start_count == 6
