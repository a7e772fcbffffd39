"""Starts that may still take effect: raises of the token, and answering of heartbeats."""

from __future__ import annotations

import logging

import pytest

from petrelthread import protocol
from petrelthread.fleet import CommandPlanner, FleetCallbacks
from petrelthread.fleet.start_key import StartKey, start_key_of
from petrelthread.fleet.token_raise_policy import STALE_AFTER_LEASES, RaiseReason
from petrelthread.protocol import JobStatus
from petrelthread.state import Attempt, OperationState, transition
from tests.fleet_builder import (
    ELECTED_AT,
    EPOCH,
    LEASE_GRACE_S,
    LEASE_S,
    add_attempt,
    attempt_number,
    build_fleet,
    exited,
    heartbeat,
    running,
)

AT = ELECTED_AT


class SentStart:
    """A machine that has acknowledged the epoch, and a start that was sent to it at ``AT``."""

    def __init__(self) -> None:
        self.state_read_at = AT
        callbacks = FleetCallbacks(state_current_as_of=lambda: self.state_read_at)
        self.fleet = build_fleet(callbacks)
        self.starts = self.fleet.unacknowledged_starts
        self.raises = self.fleet.token_raise_policy
        self.fleet.on_heartbeat(heartbeat(1), AT, answered=True)
        self.machine, self.attempt = add_attempt(self.fleet, attempt_number(1))
        self.fleet.on_start_sent(self.attempt, self.machine, AT)

    def time_out(self) -> None:
        self.starts.on_no_response(self.attempt)

    def cancel(self) -> None:
        self.fleet.cluster_state.set_final_status(self.attempt.job.id, JobStatus.CANCELLED)

    def is_tracked(self) -> bool:
        return self.starts.contains(self.machine.index, start_key_of(self.attempt))


@pytest.fixture
def sent() -> SentStart:
    return SentStart()


def test_start_is_tracked_until_its_response(sent: SentStart) -> None:
    assert sent.is_tracked()
    assert not sent.starts.count()
    sent.starts.on_acknowledged(sent.attempt)
    assert not sent.is_tracked()
    assert not sent.starts.has_any_on(sent.machine.index)


@pytest.mark.parametrize("evidence", ["token", "incarnation", "lost", "lease"])
def test_evidence_invalidates_start(sent: SentStart, evidence: str) -> None:
    sent.time_out()
    fleet, machine = sent.fleet, sent.machine
    fleet.on_heartbeat(heartbeat(2), AT + 1.0, answered=True)
    sent.starts.expire_leases(AT + LEASE_S)
    assert sent.is_tracked()
    if evidence == "token":
        fleet.on_heartbeat(heartbeat(3, EPOCH + 1), AT + 2.0, answered=True)
    elif evidence == "incarnation":
        fleet.on_heartbeat(heartbeat(3, incarnation=2), AT + 2.0, answered=True)
    elif evidence == "lost":
        fleet.mark_lost(machine, "returned")
    else:
        sent.starts.expire_leases(AT + LEASE_S * 1.002 + 0.6)
    assert not sent.is_tracked()


def test_response_with_same_token_keeps_start_executable_for_another_lease(sent: SentStart) -> None:
    sent.time_out()
    sent.starts.on_lease_renewed(sent.machine.index, EPOCH, AT + 8.0)
    sent.starts.expire_leases(AT + 8.0 + LEASE_S)
    assert sent.is_tracked()
    # A response with a higher token invalidates it on arrival, and does not extend its validity.
    sent.starts.on_lease_renewed(sent.machine.index, EPOCH + 1, AT + 15.0)
    sent.starts.expire_leases(AT + 8.0 + LEASE_S + 0.6)
    assert not sent.is_tracked()


def test_start_to_worker_of_former_epoch_is_tracked_past_former_grace_period(
    sent: SentStart,
) -> None:
    sent.machine.acknowledged_epoch = EPOCH - 1
    sent.fleet.on_start_sent(sent.attempt, sent.machine, AT + 1.0)
    sent.starts.expire_leases(AT + LEASE_GRACE_S + LEASE_S)
    assert sent.is_tracked()
    sent.starts.expire_leases(AT + LEASE_GRACE_S + LEASE_S + 0.6)
    assert not sent.is_tracked()


@pytest.mark.parametrize("how", ["cancelled", "stopped"])
def test_token_is_raised_for_unwanted_start_once_unanswered(sent: SentStart, how: str) -> None:
    if how == "cancelled":
        sent.cancel()
    else:
        sent.attempt.stop_requested_at = AT + 0.5
    assert sent.raises.reason(EPOCH, AT + 1.0) is None  # its response may still come
    sent.time_out()
    assert sent.raises.reason(EPOCH, AT + 2.0) is RaiseReason.UNWANTED
    assert sent.raises.reason(EPOCH + 1, AT + 2.0) is None  # the token is higher already
    sent.raises.on_raise_attempted(AT + 2.0)
    interval_s = sent.raises.interval_s
    assert 1.0 <= interval_s <= LEASE_S / 2
    assert sent.raises.reason(EPOCH, AT + 1.9 + interval_s) is None
    assert sent.raises.reason(EPOCH, AT + 2.1 + interval_s) is RaiseReason.UNWANTED


def test_token_is_raised_for_wanted_start_once_it_is_stale(sent: SentStart) -> None:
    """Each raise costs a heartbeat of every worker, and wanted starts do no harm until then."""
    sent.time_out()
    stale_age_s = STALE_AFTER_LEASES * LEASE_S
    assert sent.raises.reason(EPOCH, AT + stale_age_s - 0.1) is None
    assert sent.raises.reason(EPOCH, AT + stale_age_s + 0.1) is RaiseReason.STALE


def test_listed_attempt_needs_no_raise_and_no_forget_before_command_is_invalid(
    sent: SentStart,
) -> None:
    """A task cancelled while it runs is stopped, and listed until the command is invalid."""
    sent.time_out()
    sent.fleet.on_heartbeat(
        heartbeat(2, tasks=[running(sent.attempt.number)]), AT + 1.0, answered=True
    )
    sent.cancel()
    assert sent.raises.reason(EPOCH, AT + 2.0) is None
    assert sent.starts.may_answer(sent.machine.index, EPOCH, AT + LEASE_GRACE_S + 1.0)
    stopped = heartbeat(3, tasks=[exited(sent.attempt.number, "stopped")])
    sent.fleet.on_heartbeat(stopped, AT + 2.0, answered=True)
    assert not CommandPlanner(sent.fleet).for_heartbeat(
        sent.machine, stopped, AT + 2.0, may_start=True
    )
    later = heartbeat(4, EPOCH + 1, tasks=stopped.tasks)
    sent.fleet.on_heartbeat(later, AT + 3.0, answered=True)
    commands = CommandPlanner(sent.fleet).for_heartbeat(
        sent.machine, later, AT + 3.0, may_start=True
    )
    assert [type(command) for command in commands] == [protocol.ForgetCommand]


def test_cancelled_start_keeps_its_resources_until_it_is_invalid(sent: SentStart) -> None:
    """Its absence from heartbeats is no evidence while the command may still arrive."""
    sent.time_out()
    transition(sent.attempt, OperationState.UNKNOWN)
    sent.cancel()
    for sequence_number, token, tracked in ((2, EPOCH, True), (3, EPOCH + 1, False)):
        without_task = heartbeat(sequence_number, token)
        sent.fleet.on_heartbeat(without_task, AT + sequence_number, answered=True)
        assert not CommandPlanner(sent.fleet).for_heartbeat(
            sent.machine, without_task, AT + sequence_number, may_start=True
        )
        assert bool(sent.fleet.attempts_on(sent.machine)) is tracked


def test_heartbeat_is_not_answered_if_cancelled_start_could_outlast_deadline(
    sent: SentStart,
) -> None:
    sent.state_read_at = AT + 3.0  # the job had no final status then
    assert sent.starts.may_answer(sent.machine.index, EPOCH, AT + 4.0)
    sent.cancel()
    sent.state_read_at = AT + 15.0  # a read after the cancellation does not count
    grace_end = AT + 3.0 + LEASE_GRACE_S
    assert sent.starts.may_answer(sent.machine.index, EPOCH, grace_end - 0.1)
    assert not sent.starts.may_answer(sent.machine.index, EPOCH, grace_end)
    assert sent.starts.may_answer(sent.machine.index, EPOCH + 1, grace_end)


def test_start_past_cancellation_deadline_is_counted_and_logged_once(
    sent: SentStart, caplog: pytest.LogCaptureFixture
) -> None:
    sent.time_out()
    sent.cancel()
    deadline_s = LEASE_GRACE_S + LEASE_S * 1.002 + 3.0
    with caplog.at_level(logging.ERROR):
        for after_s in (deadline_s - 0.1, deadline_s + 0.1, deadline_s + 5.0):
            # ``may_answer`` would not permit this renewal.
            sent.starts.on_lease_renewed(sent.machine.index, EPOCH, AT + after_s)
            sent.starts.expire_leases(AT + after_s)
    assert sent.starts.past_deadline_count == 1
    assert caplog.text.count("can still be executed") == 1


def test_start_key_contains_job_task_and_attempt_number(sent: SentStart) -> None:
    attempt: Attempt = sent.attempt
    assert start_key_of(attempt) == StartKey(0, 0, attempt.number)
