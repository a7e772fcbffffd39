"""Finished jobs that the fleet needs stay in memory; what it knows of others is dropped too."""

from __future__ import annotations

from petrelthread.fleet import CommandPlanner, Fleet, FleetCallbacks
from petrelthread.protocol import ExitCause, JobStatus
from tests.fleet_builder import (
    ELECTED_AT,
    EPOCH,
    HOST,
    JOB_ID,
    add_attempt,
    attempt_number,
    build_fleet,
    exited,
    heartbeat,
    running,
)

AT = ELECTED_AT


def finish_and_drop(fleet: Fleet, status: str = JobStatus.DONE) -> bool:
    """Finish the job and drop what is not needed; return whether the job is in memory."""
    fleet.cluster_state.finished_jobs.retained_count = 0
    fleet.cluster_state.set_final_status(JOB_ID, status)
    fleet.drop_finished_jobs()
    return JOB_ID in fleet.cluster_state.jobs_by_id


def test_a_job_stays_while_a_direct_start_may_still_be_executed(fleet: Fleet) -> None:
    """Guards against ``ran_cancelled``: its machine's heartbeats would be answered again."""
    machine, attempt = add_attempt(fleet, attempt_number(1))
    fleet.on_start_sent(attempt, machine, AT)
    fleet.cluster_state.release(attempt)
    assert finish_and_drop(fleet, JobStatus.CANCELLED)
    fleet.mark_lost(machine, "test")
    fleet.drop_finished_jobs()
    assert JOB_ID not in fleet.cluster_state.jobs_by_id


def test_a_job_stays_while_a_late_copy_could_start_its_task_again(fleet: Fleet) -> None:
    """Guards against ``ran_twice``: a forget command would be sent with the token of the start."""
    machine, attempt = add_attempt(fleet, attempt_number(1))
    fleet.on_start_sent(attempt, machine, AT)
    fleet.on_start_executed(attempt)
    fleet.cluster_state.release(attempt)
    assert finish_and_drop(fleet)
    fleet.on_heartbeat(heartbeat(1, token=EPOCH + 1), AT, answered=True)
    fleet.drop_finished_jobs()
    assert JOB_ID not in fleet.cluster_state.jobs_by_id


def test_a_job_stays_while_finished_tasks_are_not_recorded(fleet: Fleet) -> None:
    fleet.on_heartbeat(heartbeat(1), AT, answered=True)
    add_attempt(fleet, attempt_number(1))
    fleet.on_heartbeat(
        heartbeat(2, tasks=[exited(attempt_number(1), ExitCause.DONE)]), AT, answered=True
    )
    assert fleet.finished_tasks
    for attempts in list(fleet.cluster_state.attempts_by_machine.values()):
        for attempt in list(attempts.values()):
            fleet.cluster_state.release(attempt, task_finished=True)
    assert finish_and_drop(fleet, JobStatus.CANCELLED)


def test_failures_of_a_dropped_job_are_dropped(fleet: Fleet) -> None:
    """Guards against memory that grows with each job that ever completed a task."""
    machine, attempt = add_attempt(fleet, attempt_number(1))
    job = attempt.job
    fleet.job_failures.on_failed(machine, job, 0, AT)
    fleet.job_failures.on_completed(machine, job, 1)
    fleet.cluster_state.release(attempt)
    assert not finish_and_drop(fleet)
    attribution = fleet.job_failures._attribution
    assert not attribution._job_health
    assert not attribution._machines_failed_on
    assert not any(attribution._failures_on.values())


def test_a_task_of_an_unknown_job_gets_no_command_and_its_job_is_requested() -> None:
    """Whether the job has finished, and how, is known only to the state service."""
    requested: list[str] = []
    fleet = build_fleet(FleetCallbacks(on_unknown_job=requested.append))
    assert not finish_and_drop(fleet)
    planner = CommandPlanner(fleet)
    for task in (running(attempt_number(1)), exited(attempt_number(1), ExitCause.DONE)):
        listing = heartbeat(len(requested) + 1, tasks=[task])
        machine = fleet.on_heartbeat(listing, AT, answered=True)
        assert machine is fleet.find(HOST)
        assert machine is not None
        assert planner.for_heartbeat(machine, listing, AT, may_start=True) == []
        assert planner.stops_for_finished_jobs(listing) == []
    assert requested == [JOB_ID] * 4
