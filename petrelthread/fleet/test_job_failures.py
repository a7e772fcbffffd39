"""Consequences of task failures for jobs."""

from __future__ import annotations

from petrelthread.fleet import Fleet
from petrelthread.fleet.job_failures import MAX_BACKOFF_S
from tests.fleet_builder import EPOCH, add_attempt, attempt_number


def test_backoff_of_an_earlier_epoch_does_not_delay_a_job(fleet: Fleet) -> None:
    """Another leader may have run the job since; the failures themselves are cleared."""
    job = fleet.cluster_state.jobs[0]
    for serial, at in enumerate((101.0, 101.0, 101.0, 107.0, 118.0, 139.0, 180.0)):
        machine, _ = add_attempt(fleet, attempt_number(serial), machine_name=f"host-{serial}")
        fleet.job_failures.on_failed(machine, job, 0, at)
    assert job.retry_at == 180.0 + MAX_BACKOFF_S
    fleet.step_down()
    fleet.begin_leadership(EPOCH + 2, 190.0)
    assert job.retry_at <= 190.0
    assert job.backoff_s == 0.0
    assert not job.failing_tasks
