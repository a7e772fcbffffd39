"""Status view, readiness and alert log while something fails."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.admin.alerts import AlertTracker
from petrelthread.admin.api import DIRECT_QUERY
from tests.scenario import run_scenario
from tests.simulation import Simulation, job_spec


def test_controller_refused_by_the_state_service_reports_it_and_is_not_ready() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 10.0
        await simulation.submit(job_spec("wk-000001", 12, estimated_run_s=10.0))
        await simulation.wait_until_running(4)
        refused = next(name for name in simulation.nodes if name != simulation.leader)
        simulation.state_service.refused_controllers.add(refused)
        await asyncio.sleep(6.0)
        assert (await simulation.ask(refused, "GET", "/ready"))[0] == 503
        _, status = await simulation.ask_admin(refused, f"status?{DIRECT_QUERY}")
        assert any("state service" in t["trouble"] for t in status["troubles"]), status["troubles"]
        assert (await simulation.ask(refused, "POST", "/v2/runs", job_spec("wk-000002", 1)))[
            0
        ] == 503
        other = next(name for name in simulation.nodes if name != refused)
        assert (await simulation.ask(other, "GET", "/v2/runs/wk-000001"))[0] == 200
        simulation.state_service.refused_controllers.clear()
        await asyncio.sleep(3.0)
        assert (await simulation.ask(refused, "GET", "/ready"))[0] == 200
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


def test_lasting_alert_is_logged_when_it_begins_and_when_it_ends(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    alerts = AlertTracker()
    alerts.update({"boots": "2 machines are late"}, 10.0)
    alerts.update({}, 11.0)  # conditions shorter than RAISE_AFTER_S are not logged
    assert not caplog.records
    for now_s in range(20, 40):
        alerts.update({"boots": f"{now_s} machines are late"}, float(now_s))
    assert alerts.duration_s("boots", 40.0) == 20.0
    for now_s in range(40, 50):
        alerts.update({}, float(now_s))
    messages = [record.getMessage() for record in caplog.records]
    assert messages == ["alert: 22 machines are late", "alert over after 20 s: boots"]
