"""What a report proves, and what it does not."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from petrelthread import protocol
from petrelthread.fleet import (
    CommandPlanner,
    FailureDetector,
    Fleet,
    FleetCallbacks,
    Health,
    Machine,
)
from petrelthread.fleet.callbacks import NO_CALLBACKS
from petrelthread.state import Attempt, ClusterState, InternedNames, JobRecord, OperationState
from tests.world import job

LEASE_S, REPORT_S, HOLD_OVER_S, EPOCH = 10.0, 1.0, 20.0, 5


def fleet_at(elected_at: float, callbacks: FleetCallbacks = NO_CALLBACKS) -> Fleet:
    cluster_state = ClusterState(InternedNames(["red"], ["a"]))
    cluster_state.add_job(
        "wk-000001",
        JobRecord.from_spec(msgspec.convert(job("wk-000001", 4), protocol.JobSpec), 0.0),
    )
    fleet = Fleet(cluster_state, LEASE_S, REPORT_S, HOLD_OVER_S, callbacks)
    fleet.fail_over(EPOCH, elected_at)
    return fleet


def report(
    tick: int, token: int, session: int = 1, legs: tuple[Any, ...] = ()
) -> protocol.WorkerHeartbeat:
    told = [
        protocol.TaskReport(f"wk-000001/{task}", number, status) for task, number, status in legs
    ]
    return protocol.WorkerHeartbeat(
        "host-000001", session, tick, "host:9", "small", "a", True, token, None, told
    )


def started(fleet: Fleet, number: int, task: int = 0, session: int = 1) -> tuple[Machine, Attempt]:
    machine = fleet.get_or_add("host-000001", fleet.elected_at)
    cluster_state = fleet.cluster_state
    return machine, cluster_state.add_attempt(
        number, cluster_state.jobs[0], task, machine.index, session
    )


@pytest.mark.parametrize("at", [100.1, 105.0, 119.0])
def test_a_report_with_an_older_token_does_not_end_the_hold_over(at: float) -> None:
    # It may be a late copy. The older leader, cut off from the state service alone, may renew the
    # worker's lease until its hold-over ends; ten seconds after the copy its tasks still ran.
    fleet = fleet_at(100.0)
    machine, attempt = started(fleet, (EPOCH - 1) << 20)
    fleet.on_heartbeat(report(7, EPOCH - 1), at, answered=True)
    assert fleet.lease_expires_at(machine) >= 100.0 + HOLD_OVER_S + LEASE_S
    FailureDetector(fleet).check(at + LEASE_S + 1.0, 5.0)
    assert attempt.state is not OperationState.SUPERSEDED
    assert not fleet.is_schedulable(machine)
    # Once it shows our token, nobody older can renew it.
    fleet.on_heartbeat(
        report(8, EPOCH, legs=((0, (EPOCH - 1) << 20, "running"),)), at, answered=True
    )
    assert fleet.lease_expires_at(machine) == pytest.approx(at + LEASE_S, abs=1.0)
    assert fleet.is_schedulable(machine)


def test_a_copy_is_no_fresh_hearing_and_undoes_nothing() -> None:
    fleet = fleet_at(100.0)
    fleet.on_heartbeat(report(1, EPOCH), 101.0, answered=True)
    machine, attempt = started(fleet, (EPOCH << 20) + 1)
    shown = report(3, EPOCH, legs=((0, attempt.number, "running"),))
    fleet.on_heartbeat(shown, 103.0, answered=True)
    assert attempt.state is OperationState.CONFIRMED
    before = fleet.lease_expires_at(machine)
    for at in (104.0, 108.0, 112.0):
        assert fleet.on_heartbeat(report(1, EPOCH), at, answered=True) is None
        assert fleet.on_heartbeat(report(9, EPOCH, session=0), at, answered=True) is None
    assert attempt.state is OperationState.CONFIRMED
    assert (machine.last_seen_at, fleet.lease_expires_at(machine)) == (103.0, before)
    FailureDetector(fleet).check(112.0, 5.0)
    assert machine.health is Health.UNRESPONSIVE


def test_a_machine_that_is_gone_stays_gone() -> None:
    fleet = fleet_at(100.0)
    fleet.on_heartbeat(report(1, EPOCH), 101.0, answered=True)
    machine = fleet.get_or_add("host-000001", 101.0)
    machine.transition(Health.TERMINATING)
    machine.transition(Health.TERMINATED)
    assert fleet.on_heartbeat(report(2, EPOCH), 102.0, answered=True) is None
    assert machine.health is Health.TERMINATED


def test_a_copy_from_before_the_election_does_not_revive_a_returned_machine() -> None:
    fleet = fleet_at(100.0)  # it knows nothing of the machine, which is long gone
    for tick in (1, 2, 3, 4):
        fleet.on_heartbeat(report(tick, EPOCH - 1), 100.0 + 3.0 * tick, answered=True)
    machine = fleet.get_or_add("host-000001", 112.0)
    assert not fleet.is_schedulable(machine)
    FailureDetector(fleet).check(118.0, 5.0)
    assert machine.health is Health.UNRESPONSIVE  # and so it goes back, whatever copies still come


def test_a_finished_task_counts_once_whatever_is_repeated() -> None:
    fleet = fleet_at(100.0)
    machine, attempt = started(fleet, (EPOCH << 20) + 1)
    done = protocol.TaskReport("wk-000001/0", attempt.number, "ended", "done")
    for tick in (1, 2, 2, 1, 3):
        again = report(tick, EPOCH)
        again.tasks.append(done)
        fleet.on_heartbeat(again, 101.0 + tick, answered=True)
    assert fleet.finished_tasks == {0: {0}}
    fleet.cluster_state.on_key("d/1", [["wk-000001", [0, 0]]], 1)
    fleet.finished_tasks.clear()
    again = report(4, EPOCH)
    again.tasks.append(done)
    fleet.on_heartbeat(again, 106.0, answered=True)
    assert not fleet.finished_tasks and fleet.cluster_state.jobs[0].done_count == 1
    assert not fleet.attempts_on(machine)


def test_no_forget_while_a_direct_command_may_still_start_it() -> None:
    fleet = fleet_at(100.0)
    machine, attempt = started(fleet, (EPOCH << 20) + 1)
    fleet.on_start_sent(attempt, machine, 100.0)
    fleet.unacknowledged_starts.on_unanswered(attempt)
    stopped = report(1, EPOCH)
    stopped.tasks.append(protocol.TaskReport("wk-000001/0", attempt.number, "ended", "stopped"))
    fleet.on_heartbeat(stopped, 101.0, answered=True)
    assert not CommandPlanner(fleet).for_heartbeat(machine, stopped, 101.0)
    later = report(2, EPOCH, session=2)  # a new session: the late command does not match any more
    fleet.on_heartbeat(later, 102.0, answered=True)
    assert not fleet.unacknowledged_starts.count()


def test_a_machine_that_ignores_starts_gets_no_more_of_them() -> None:
    fleet = fleet_at(100.0)
    fleet.on_heartbeat(report(1, EPOCH), 100.0, answered=True)
    machine, attempt = started(fleet, (EPOCH << 20) + 1)
    for tick in range(2, 7):
        now = 100.0 + tick
        same = report(tick, EPOCH)
        fleet.on_heartbeat(same, now, answered=True)
        CommandPlanner(fleet).for_heartbeat(machine, same, now)
    assert not fleet.is_schedulable(machine)
    assert attempt.state is not OperationState.SUPERSEDED  # a late command may still start it
    shown = report(9, EPOCH, legs=((0, attempt.number, "running"),))
    fleet.on_heartbeat(shown, 107.0, answered=True)
    assert fleet.is_schedulable(machine)


def keep_answering(fleet: Fleet, session: int, begin: float, end: float) -> Machine:
    at, tick = begin, 1
    while at < end:
        machine = fleet.on_heartbeat(report(tick, EPOCH, session), at, answered=True)
        at, tick = at + REPORT_S, tick + 1
    assert machine is not None
    return machine


def test_a_machine_whose_leases_end_though_it_is_answered_hears_nothing() -> None:
    # Idle, it has no starts to ignore: the end of its lease is all that shows it.
    fleet = fleet_at(100.0)
    keep_answering(fleet, 1, 100.0, 112.0)
    machine = keep_answering(fleet, 2, 112.0, 113.0)
    assert not fleet.is_schedulable(machine)
    FailureDetector(fleet).check(113.0, 5.0)
    assert (
        not machine.quarantine_reason
    )  # once may be an accident: it is used again if that was all
    keep_answering(fleet, 2, 113.0, 130.0)
    assert fleet.is_schedulable(machine)
    keep_answering(fleet, 3, 130.0, 141.0)
    keep_answering(fleet, 4, 141.0, 142.0)
    FailureDetector(fleet).check(142.0, 5.0)
    assert machine.quarantine_reason  # twice in a row: back to the cloud


def test_most_machines_deaf_at_once_is_rather_our_own_trouble() -> None:
    fleet = fleet_at(100.0)
    for n in range(4):
        machine = fleet.get_or_add(f"host-{n}", 100.0)
        machine.transition(Health.UP)
        machine.last_seen_at, machine.lease_losses, machine.partition_reason = (
            110.0,
            2,
            "its lease ended",
        )
    FailureDetector(fleet).check(111.0, 5.0)
    assert not any(machine.quarantine_reason for machine in fleet.machines.values())


def test_what_checkpoints_kept_is_not_run_again() -> None:
    # A task of 300 s that was stopped after 200 s was planned, and learned from, as if it were new.
    learned: list[float] = []
    fleet = fleet_at(100.0, FleetCallbacks(on_run_time=lambda job, ran_s: learned.append(ran_s)))
    job = fleet.cluster_state.jobs[0]
    job.checkpoint_interval_s, job.grace_period_s = 30.0, 3.0
    assert job.lost_work_s(200.0, stopped=True) == 3.0
    assert job.lost_work_s(200.0, stopped=False) == 20.0
    _, first = started(fleet, (EPOCH << 20) + 1)
    running = report(1, EPOCH, legs=((0, first.number, "running"),))
    fleet.on_heartbeat(running, 101.0, answered=True)
    stopped = report(2, EPOCH)
    stopped.tasks.append(protocol.TaskReport("wk-000001/0", first.number, "ended", "stopped", True))
    fleet.on_heartbeat(stopped, 201.0, answered=True)
    assert job.checkpointed_s == {0: pytest.approx(100.0)}
    _, second = started(fleet, (EPOCH << 20) + 2)
    for tick, at in ((3, 210.0), (4, 275.0)):
        running = report(tick, EPOCH, legs=((0, second.number, "running"),))
        fleet.on_heartbeat(running, at, answered=True)
    fleet.on_heartbeat(report(4, EPOCH, session=2), 280.0, answered=True)  # lost with its session
    assert job.checkpointed_s == {0: pytest.approx(160.0)}
    _, third = started(fleet, (EPOCH << 20) + 3, session=2)
    last = report(5, EPOCH, 2, legs=((0, third.number, "running"),))
    fleet.on_heartbeat(last, 300.0, answered=True)
    done = report(6, EPOCH, 2)
    done.tasks.append(protocol.TaskReport("wk-000001/0", third.number, "ended", "done"))
    fleet.on_heartbeat(done, 340.0, answered=True)
    assert learned == [pytest.approx(200.0)]
    assert not job.checkpointed_s
    job.checkpoint_interval_s = 0.0
    assert job.lost_work_s(200.0, stopped=True) == 200.0


def test_a_worker_that_took_our_token_from_a_command_has_heard_us() -> None:
    # An older leader may have renewed its lease until just then, and nobody can any more.
    fleet = fleet_at(100.0)
    machine, attempt = started(fleet, (EPOCH - 1) << 20)
    fleet.on_heartbeat(report(3, EPOCH), 101.0, answered=False)
    assert fleet.is_schedulable(machine)
    assert fleet.lease_expires_at(machine) == pytest.approx(101.0 + LEASE_S, abs=1.0)
    assert fleet.lease_expires_at(machine) > 101.0 + LEASE_S
    assert (
        attempt.state is OperationState.SUPERSEDED
    )  # it does not list it and refuses older tokens
    FailureDetector(fleet).check(108.0, 5.0)
    assert machine.health.value == "up"  # it may be looking for us still
    FailureDetector(fleet).check(110.5, 5.0)
    assert machine.health.value == "silent"
    # The end of a lease that no answer of ours could have renewed is no sign of deafness.
    fleet.on_heartbeat(report(1, EPOCH, session=2), 112.5, answered=True)
    assert not machine.partition_reason


def test_a_leader_that_led_before_forgets_machines_that_are_on_no_record() -> None:
    fleet = fleet_at(100.0)
    with_work, _ = started(fleet, EPOCH << 20)
    rented, gone = fleet.get_or_add("host-000002", 100.0), fleet.get_or_add("host-000003", 100.0)
    fleet.fail_over(EPOCH + 2, 300.0, {"host-000002"})
    assert set(fleet.machines.values()) == {with_work, rented}
    assert rented.registered_at == 300.0  # whether it came up meanwhile is not known
    assert fleet.find(gone.name) is None


def test_a_task_found_running_without_a_record_is_kept_and_counted() -> None:
    """It was added and, not being among what the report had shown of our attempts, released again
    at once: free to be started elsewhere while it ran."""
    fleet = fleet_at(100.0)
    fleet.on_heartbeat(report(1, EPOCH), 100.5, answered=True)
    running = report(2, EPOCH, legs=((0, (EPOCH - 1) << 20, "running"),))
    machine = fleet.on_heartbeat(running, 101.0, answered=True)
    assert machine is not None
    job_found = fleet.cluster_state.jobs[0]
    assert job_found.live_attempts[0].machine == machine.index
    assert 0 not in list(job_found.pending_tasks())
    assert fleet.cluster_state.usage.machine(machine.index).attempts == 1
    assert CommandPlanner(fleet).for_heartbeat(machine, running, 101.0) == []


def silent_after(fleet: Fleet, machine: Machine, at: float) -> bool:
    FailureDetector(fleet).check(at, timeout_s=14.0)
    return machine.health is Health.UNRESPONSIVE


def test_a_machine_that_a_new_leader_can_neither_hear_nor_read_is_not_waited_for() -> None:
    fleet = fleet_at(100.0)
    machine, _ = started(fleet, (EPOCH - 1) << 20)
    machine.transition(Health.UP)
    FailureDetector(fleet).on_read(machine, answered=False)
    assert not silent_after(fleet, machine, 103.0)  # one lost message proves little
    # A report of before the election, held up until now, is no sign that it is alive.
    fleet.on_heartbeat(report(7, EPOCH - 1), 104.0, answered=True)
    FailureDetector(fleet).on_read(machine, answered=False)
    assert silent_after(fleet, machine, 105.0)


def test_a_machine_that_was_heard_or_has_no_work_is_waited_for() -> None:
    fleet = fleet_at(100.0)
    machine, attempt = started(fleet, (EPOCH - 1) << 20)
    machine.transition(Health.UP)
    for _ in range(3):
        FailureDetector(fleet).on_read(machine, answered=False)
    fleet.cluster_state.release(attempt)
    assert not silent_after(fleet, machine, 105.0)  # nothing waits for it
    running = ((0, (EPOCH - 1) << 20, "running"),)
    fleet.on_heartbeat(report(8, EPOCH, legs=running), 106.0, answered=True)
    assert not silent_after(fleet, machine, 107.0)


def test_a_finished_task_whose_end_is_not_on_record_is_not_started_again() -> None:
    """It counted as pending: the last check before the claim left its start out, as an error."""
    fleet = fleet_at(100.0)
    found = fleet.cluster_state.jobs[0]
    fleet.finished_tasks[found.index] = {1, 2}
    assert found.pending_count == 4
    assert fleet.startable_count(found) == 2


def test_a_report_proves_nothing_about_starts_of_a_newer_leader() -> None:
    """A deposed leader took an answer to its own commands in, late, after the watch had shown it
    what its successor started: those were superseded as if they were an older leader's. Elected
    again, it started them a second time."""
    fleet = fleet_at(100.0)
    fleet.on_heartbeat(report(1, EPOCH), 100.5, answered=True)
    _, attempt = started(fleet, (EPOCH + 1) << 20)
    fleet.on_heartbeat(report(2, EPOCH), 101.0, answered=False)
    assert attempt.state is not OperationState.SUPERSEDED
    assert fleet.cluster_state.jobs[0].live_attempts[0] is attempt
