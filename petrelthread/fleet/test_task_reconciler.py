"""Reconciliation of a heartbeat's listed tasks with attempts."""

from __future__ import annotations

import pytest

from petrelthread import protocol
from petrelthread.fleet import CommandPlanner, Fleet, FleetCallbacks
from petrelthread.state import OperationState
from tests.fleet_builder import (
    EPOCH,
    JOB_ID,
    add_attempt,
    attempt_number,
    build_fleet,
    exited,
    heartbeat,
    running,
    task_report,
)


def test_finished_task_listed_repeatedly_counts_once(fleet: Fleet) -> None:
    machine, attempt = add_attempt(fleet, attempt_number(1))
    done = exited(attempt.number, "done")
    for sequence_number in (1, 2, 2, 1, 3):
        fleet.on_heartbeat(
            heartbeat(sequence_number, tasks=[done]), 101.0 + sequence_number, answered=True
        )
    assert fleet.finished_tasks == {0: {0}}
    fleet.cluster_state.on_key("d/1", [[JOB_ID, [0, 0]]], 1)
    fleet.finished_tasks.clear()
    fleet.on_heartbeat(heartbeat(4, tasks=[done]), 106.0, answered=True)
    assert not fleet.finished_tasks
    assert fleet.cluster_state.jobs[0].finished_count == 1
    assert not fleet.attempts_on(machine)


def test_checkpointed_run_time_is_credited_and_included_in_total_run_time() -> None:
    run_times: list[float] = []
    fleet = build_fleet(FleetCallbacks(on_run_time=lambda job, ran_s: run_times.append(ran_s)))
    job = fleet.cluster_state.jobs[0]
    job.checkpoint_interval_s, job.grace_period_s = 30.0, 3.0
    assert job.lost_work_s(200.0, stopped=True) == 3.0
    assert job.lost_work_s(200.0, stopped=False) == 20.0
    _, first = add_attempt(fleet, attempt_number(1))
    fleet.on_heartbeat(heartbeat(1, tasks=[running(first.number)]), 101.0, answered=True)
    stopped = exited(first.number, "stopped", progress_saved=True)
    fleet.on_heartbeat(heartbeat(2, tasks=[stopped]), 201.0, answered=True)
    assert job.checkpointed_s == {0: pytest.approx(100.0)}
    _, second = add_attempt(fleet, attempt_number(2))
    for sequence_number, at in ((3, 210.0), (4, 275.0)):
        fleet.on_heartbeat(
            heartbeat(sequence_number, tasks=[running(second.number)]), at, answered=True
        )
    # The second attempt is lost with its incarnation.
    fleet.on_heartbeat(heartbeat(4, incarnation=2), 280.0, answered=True)
    assert job.checkpointed_s == {0: pytest.approx(160.0)}
    _, third = add_attempt(fleet, attempt_number(3), incarnation=2)
    fleet.on_heartbeat(
        heartbeat(5, tasks=[running(third.number)], incarnation=2), 300.0, answered=True
    )
    fleet.on_heartbeat(
        heartbeat(6, tasks=[exited(third.number, "done")], incarnation=2), 340.0, answered=True
    )
    assert run_times == [pytest.approx(200.0)]
    assert not job.checkpointed_s
    job.checkpoint_interval_s = 0.0
    assert job.lost_work_s(200.0, stopped=True) == 200.0


def test_unrecorded_running_task_is_adopted_and_counted(
    fleet: Fleet, command_planner: CommandPlanner
) -> None:
    """If it were released immediately, its task could be started elsewhere while it runs."""
    fleet.on_heartbeat(heartbeat(1), 100.5, answered=True)
    with_task = heartbeat(2, tasks=[running(attempt_number(epoch=EPOCH - 1))])
    machine = fleet.on_heartbeat(with_task, 101.0, answered=True)
    assert machine is not None
    job = fleet.cluster_state.jobs[0]
    assert job.live_attempts[0].machine == machine.index
    assert 0 not in list(job.pending_tasks())
    assert fleet.cluster_state.usage.machine(machine.index).attempts == 1
    assert command_planner.for_heartbeat(machine, with_task, 101.0, may_start=True) == []


def test_finished_task_not_yet_recorded_is_not_startable(fleet: Fleet) -> None:
    job = fleet.cluster_state.jobs[0]
    fleet.finished_tasks[job.index] = {1, 2}
    assert job.pending_count == 4
    assert fleet.startable_count(job) == 2


def test_heartbeat_does_not_supersede_starts_of_a_newer_leader(fleet: Fleet) -> None:
    # A former leader may get responses to its commands after its watch has shown it starts of its
    # successor. If it superseded them, it would start them again once it is re-elected.
    fleet.on_heartbeat(heartbeat(1), 100.5, answered=True)
    _, attempt = add_attempt(fleet, attempt_number(epoch=EPOCH + 1))
    fleet.on_heartbeat(heartbeat(2), 101.0, answered=False)
    assert attempt.state is not OperationState.SUPERSEDED
    assert fleet.cluster_state.jobs[0].live_attempts[0] is attempt


def test_unrecorded_finished_task_counts_again_after_reelection_of_same_controller(
    fleet: Fleet,
) -> None:
    """An election discards finished tasks that are not recorded; their workers list them again.

    If the same controller is elected again, the attempt still has its reported state EXITED. The
    heartbeats of the new epoch must count its task as finished even so; otherwise the job never
    completes.
    """
    _, attempt = add_attempt(fleet, attempt_number(1))
    done = exited(attempt.number, "done")
    fleet.on_heartbeat(heartbeat(1, tasks=[done]), 101.0, answered=True)
    fleet.step_down()
    fleet.begin_leadership(EPOCH + 2, 110.0)
    fleet.on_heartbeat(heartbeat(2, token=EPOCH + 2, tasks=[done]), 111.0, answered=True)
    assert fleet.finished_tasks == {0: {0}}


def test_finished_task_is_credited_and_counted_once_in_each_of_two_epochs() -> None:
    """Listing it again after an election must not repeat the effects that outlive the epoch."""
    run_times: list[float] = []
    fleet = build_fleet(FleetCallbacks(on_run_time=lambda job, ran_s: run_times.append(ran_s)))
    machine, attempt = add_attempt(fleet, attempt_number(1))
    done = exited(attempt.number, "done")
    fleet.on_heartbeat(heartbeat(1, tasks=[running(attempt.number)]), 101.0, answered=True)
    fleet.on_heartbeat(heartbeat(2, tasks=[done]), 105.0, answered=True)
    for epoch in (EPOCH + 2, EPOCH + 4):
        fleet.step_down()
        fleet.begin_leadership(epoch, 110.0)
        assert fleet.startable_count(attempt.job) == 3
        for _ in range(2):
            listing = heartbeat(machine.sequence_number + 1, token=epoch, tasks=[done])
            fleet.on_heartbeat(listing, 111.0, answered=True)
        assert fleet.finished_tasks == {0: {0}}
        assert fleet.startable_count(attempt.job) == 3
    assert run_times == [pytest.approx(4.0)]
    usage = fleet.cluster_state.usage
    assert usage.machine(machine.index).attempts == usage.team(attempt.job.team).attempts == 0
    fleet.cluster_state.on_key("d/1", [[JOB_ID, [0, 0]]], 1)
    assert usage.machine(machine.index).attempts == usage.team(attempt.job.team).attempts == 0


def test_finished_task_recorded_by_another_leader_is_not_recorded_again(fleet: Fleet) -> None:
    _, attempt = add_attempt(fleet, attempt_number(1))
    done = exited(attempt.number, "done")
    fleet.on_heartbeat(heartbeat(1, tasks=[done]), 101.0, answered=True)
    fleet.step_down()
    fleet.cluster_state.on_key("d/1", [[JOB_ID, [0, 0]]], 1)
    fleet.begin_leadership(EPOCH + 2, 110.0)
    fleet.on_heartbeat(heartbeat(2, token=EPOCH + 2, tasks=[done]), 111.0, answered=True)
    assert not fleet.finished_tasks
    assert fleet.cluster_state.jobs[0].finished_count == 1


def test_exited_task_of_a_cancelled_job_is_released_after_reelection(fleet: Fleet) -> None:
    """It stayed recorded, so that its machine never became idle."""
    machine, attempt = add_attempt(fleet, attempt_number(1))
    done = exited(attempt.number, "done")
    fleet.on_heartbeat(heartbeat(1, tasks=[done]), 101.0, answered=True)
    fleet.step_down()
    fleet.cluster_state.set_final_status(JOB_ID, protocol.JobStatus.CANCELLED)
    fleet.begin_leadership(EPOCH + 2, 110.0)
    fleet.on_heartbeat(heartbeat(2, token=EPOCH + 2, tasks=[done]), 111.0, answered=True)
    assert not fleet.attempts_on(machine)
    assert not fleet.finished_tasks


def test_exited_tasks_of_unknown_jobs_or_indices_count_nothing(fleet: Fleet) -> None:
    """The job has four tasks."""
    state = protocol.TaskState.EXITED
    listed = [
        protocol.TaskReport("wk-999999/0", attempt_number(1), state.value, "done", False),
        task_report(attempt_number(1), state, "done", task=4),
        task_report(attempt_number(1), state, "done", task=-1),
    ]
    fleet.on_heartbeat(heartbeat(1, tasks=listed), 101.0, answered=True)
    assert not fleet.finished_tasks
    assert fleet.startable_count(fleet.cluster_state.jobs[0]) == 4


def test_task_that_finished_under_several_attempts_counts_once(fleet: Fleet) -> None:
    """One of them is of an earlier epoch and not recorded; the other is listed twice at once."""
    machine, attempt = add_attempt(fleet, attempt_number(1))
    earlier = exited(attempt_number(1, epoch=EPOCH - 1), "done")
    done = exited(attempt.number, "done")
    fleet.on_heartbeat(heartbeat(1, tasks=[earlier]), 101.0, answered=True)
    assert fleet.finished_tasks == {0: {0}}
    fleet.on_heartbeat(heartbeat(2, tasks=[earlier, done, done]), 102.0, answered=True)
    assert fleet.finished_tasks == {0: {0}}
    fleet.cluster_state.on_key("d/1", [[JOB_ID, [0, 0]]], 1)
    fleet.finished_tasks.clear()
    fleet.on_heartbeat(heartbeat(1, tasks=[done]), 103.0, answered=True)  # a late copy
    fleet.on_heartbeat(heartbeat(3, tasks=[earlier, done]), 104.0, answered=True)
    assert not fleet.finished_tasks
    assert fleet.cluster_state.jobs[0].finished_count == 1
    assert fleet.cluster_state.usage.machine(machine.index).attempts == 0


def test_stable_replica_proves_its_service_again_in_each_epoch() -> None:
    """An election clears the evidence; a proven service counted as suspect afterwards.

    Only one replica at a time of a suspect service is tried, with a growing delay.
    """
    fleet = build_fleet()
    job = fleet.cluster_state.jobs[0]
    job.is_service = True
    _, attempt = add_attempt(fleet, attempt_number(1))
    for sequence_number, at in ((1, 101.0), (2, 110.0)):
        listing = heartbeat(sequence_number, tasks=[running(attempt.number)])
        fleet.on_heartbeat(listing, at, answered=True)
    assert attempt.proven_stable
    fleet.step_down()
    fleet.begin_leadership(EPOCH + 2, 111.0)
    listing = heartbeat(3, token=EPOCH + 2, tasks=[running(attempt.number)])
    fleet.on_heartbeat(listing, 112.0, answered=True)
    for serial in range(2, 6):
        failing, failed = add_attempt(fleet, attempt_number(serial), 1, 1, f"host-{serial:06d}")
        error = task_report(failed.number, protocol.TaskState.EXITED, "error", task=1)
        listing = heartbeat(1, EPOCH + 2, [error], machine_name=failing.name)
        fleet.on_heartbeat(listing, 113.0, answered=True)
    assert not fleet.job_failures.is_suspect(job)


def test_exited_attempt_that_is_listed_no_more_keeps_its_mark_within_the_epoch(
    fleet: Fleet,
) -> None:
    machine, attempt = add_attempt(fleet, attempt_number(1))
    done = exited(attempt.number, "done")
    fleet.on_heartbeat(heartbeat(1, tasks=[done]), 101.0, answered=True)
    fleet.on_heartbeat(heartbeat(2), 102.0, answered=True)
    assert attempt.state is OperationState.CONFIRMED
    assert fleet.finished_tasks == {0: {0}}
    assert fleet.startable_count(attempt.job) == 3
    fleet.cluster_state.on_key("d/1", [[JOB_ID, [0, 0]]], 1)
    assert not fleet.attempts_on(machine)


def test_exited_attempt_that_is_never_listed_in_the_next_epoch_runs_again(fleet: Fleet) -> None:
    """A worker forgets an attempt on command only, which follows a record, or with its lease."""
    machine, attempt = add_attempt(fleet, attempt_number(1))
    done = exited(attempt.number, "done")
    fleet.on_heartbeat(heartbeat(1, tasks=[done]), 101.0, answered=True)
    fleet.step_down()
    fleet.begin_leadership(EPOCH + 2, 110.0)
    fleet.on_heartbeat(heartbeat(2, token=EPOCH), 111.0, answered=True)
    assert fleet.attempts_on(machine)  # an old report is no evidence
    fleet.on_heartbeat(heartbeat(3, token=EPOCH + 2), 112.0, answered=True)
    assert attempt.state is OperationState.SUPERSEDED
    assert not fleet.attempts_on(machine)
    assert fleet.startable_count(attempt.job) == 4
