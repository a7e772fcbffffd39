"""Which starts may still be carried out, when the token has to rise, and who is not answered."""

from __future__ import annotations

import logging

import pytest

from petrelthread import protocol
from petrelthread.fleet import CommandPlanner, Fleet, FleetCallbacks
from petrelthread.fleet.unacknowledged_starts import (
    STALE_AFTER_LEASES,
    RaiseReason,
    StartKey,
    key_of,
)
from petrelthread.protocol import JobStatus
from petrelthread.state import Attempt, OperationState, transition

from .test_fleet import EPOCH, HOLD_OVER_S, LEASE_S, fleet_at, report, started

AT = 100.0


class Ground:
    """One machine that has heard its leader, and one start that was sent to it at ``AT``."""

    def __init__(self) -> None:
        self.read_at = AT
        callbacks = FleetCallbacks(state_current_as_of=lambda: self.read_at)
        self.fleet: Fleet = fleet_at(AT, callbacks)
        self.uncertain = self.fleet.unacknowledged_starts
        self.fleet.on_heartbeat(report(1, EPOCH), AT, answered=True)
        self.machine, self.attempt = started(self.fleet, (EPOCH << 20) + 1)
        self.fleet.on_start_sent(self.attempt, self.machine, AT)

    def give_up(self) -> None:
        self.uncertain.on_unanswered(self.attempt)

    def cancel(self) -> None:
        self.fleet.cluster_state.set_final_status(self.attempt.job.id, JobStatus.CANCELLED)

    def holds(self) -> bool:
        return self.uncertain.holds(self.machine.index, key_of(self.attempt))


def test_a_start_is_possible_from_the_moment_it_is_sent_until_it_is_answered() -> None:
    ground = Ground()
    assert ground.holds() and not ground.uncertain.count()
    ground.uncertain.on_answered(ground.attempt)
    assert not ground.holds() and not ground.uncertain.has_any_on(ground.machine.index)


@pytest.mark.parametrize("evidence", ["token", "session", "lost", "lease"])
def test_what_makes_a_start_void(evidence: str) -> None:
    ground = Ground()
    ground.give_up()
    fleet, machine = ground.fleet, ground.machine
    fleet.on_heartbeat(report(2, EPOCH), AT + 1.0, answered=True)
    ground.uncertain.expire_leases(AT + LEASE_S)
    assert ground.holds()
    if evidence == "token":
        fleet.on_heartbeat(report(3, EPOCH + 1), AT + 2.0, answered=True)
    elif evidence == "session":
        fleet.on_heartbeat(report(3, EPOCH, session=2), AT + 2.0, answered=True)
    elif evidence == "lost":
        fleet.mark_lost(machine, "returned")
    else:
        ground.uncertain.expire_leases(AT + LEASE_S * 1.002 + 0.6)
    assert not ground.holds()


def test_an_answer_with_its_token_keeps_a_start_possible_for_another_lease() -> None:
    ground = Ground()
    ground.give_up()
    ground.uncertain.on_lease_renewed(ground.machine.index, EPOCH, AT + 8.0)
    ground.uncertain.expire_leases(AT + 8.0 + LEASE_S)
    assert ground.holds()
    # An answer with a higher token makes it void where it arrives, and prolongs nothing else.
    ground.uncertain.on_lease_renewed(ground.machine.index, EPOCH + 1, AT + 15.0)
    ground.uncertain.expire_leases(AT + 8.0 + LEASE_S + 0.6)
    assert not ground.holds()


def test_a_machine_not_heard_in_this_epoch_may_be_answered_by_the_older_leader() -> None:
    ground = Ground()
    ground.machine.acknowledged_epoch = EPOCH - 1
    ground.fleet.on_start_sent(ground.attempt, ground.machine, AT + 1.0)
    ground.uncertain.expire_leases(AT + HOLD_OVER_S + LEASE_S)
    assert ground.holds()
    ground.uncertain.expire_leases(AT + HOLD_OVER_S + LEASE_S + 0.6)
    assert not ground.holds()


@pytest.mark.parametrize("how", ["cancelled", "stopped"])
def test_the_token_rises_at_once_for_a_start_that_nobody_wants_any_more(how: str) -> None:
    ground = Ground()
    if how == "cancelled":
        ground.cancel()
    else:
        ground.attempt.stop_requested_at = AT + 0.5
    assert ground.uncertain.raise_reason(EPOCH, AT + 1.0) is None  # its answer may still come
    ground.give_up()
    assert ground.uncertain.raise_reason(EPOCH, AT + 2.0) is RaiseReason.UNWANTED
    assert ground.uncertain.raise_reason(EPOCH + 1, AT + 2.0) is None  # it has risen already
    ground.uncertain.on_raise_attempted(AT + 2.0)
    gap_s = ground.uncertain.raise_interval_s
    assert 1.0 <= gap_s <= LEASE_S / 2
    assert ground.uncertain.raise_reason(EPOCH, AT + 1.9 + gap_s) is None
    assert ground.uncertain.raise_reason(EPOCH, AT + 2.1 + gap_s) is RaiseReason.UNWANTED


def test_the_token_rises_for_wanted_starts_once_they_are_old() -> None:
    """Each raise makes every worker report once more, and these starts do no harm meanwhile."""
    ground = Ground()
    ground.give_up()
    old_s = STALE_AFTER_LEASES * LEASE_S
    assert ground.uncertain.raise_reason(EPOCH, AT + old_s - 0.1) is None
    assert ground.uncertain.raise_reason(EPOCH, AT + old_s + 0.1) is RaiseReason.OLD


def test_a_start_that_its_machine_lists_does_nothing_more_and_is_not_forgotten() -> None:
    """Cancelled while it runs: it is stopped, and stays listed until the command is void."""
    ground = Ground()
    ground.give_up()
    running = report(2, EPOCH, legs=((0, ground.attempt.number, "running"),))
    ground.fleet.on_heartbeat(running, AT + 1.0, answered=True)
    ground.cancel()
    assert ground.uncertain.raise_reason(EPOCH, AT + 2.0) is None
    assert ground.uncertain.may_answer(ground.machine.index, EPOCH, AT + HOLD_OVER_S + 1.0)
    stopped = report(3, EPOCH)
    stopped.tasks.append(
        protocol.TaskReport("wk-000001/0", ground.attempt.number, "ended", "stopped")
    )
    ground.fleet.on_heartbeat(stopped, AT + 2.0, answered=True)
    assert not CommandPlanner(ground.fleet).for_heartbeat(ground.machine, stopped, AT + 2.0)
    later = report(4, EPOCH + 1)
    later.tasks.extend(stopped.tasks)
    ground.fleet.on_heartbeat(later, AT + 3.0, answered=True)
    orders = CommandPlanner(ground.fleet).for_heartbeat(ground.machine, later, AT + 3.0)
    assert [type(command) for command in orders] == [protocol.ForgetCommand]


def test_a_cancelled_start_holds_its_room_until_it_is_void() -> None:
    """Its machine does not list it, which proves nothing while the command may come."""
    ground = Ground()
    ground.give_up()
    transition(ground.attempt, OperationState.UNKNOWN)
    ground.cancel()
    for tick, token, held in ((2, EPOCH, True), (3, EPOCH + 1, False)):
        shown = report(tick, token)
        ground.fleet.on_heartbeat(shown, AT + tick, answered=True)
        assert not CommandPlanner(ground.fleet).for_heartbeat(ground.machine, shown, AT + tick)
        assert bool(ground.fleet.attempts_on(ground.machine)) is held


def test_no_answer_renews_a_lease_under_which_a_cancelled_start_could_outlast_the_limit() -> None:
    ground = Ground()
    ground.read_at = AT + 3.0  # the job was known to be open then
    assert ground.uncertain.may_answer(ground.machine.index, EPOCH, AT + 4.0)
    ground.cancel()
    ground.read_at = AT + 15.0  # what is read later does not count for it
    last = AT + 3.0 + HOLD_OVER_S
    assert ground.uncertain.may_answer(ground.machine.index, EPOCH, last - 0.1)
    assert not ground.uncertain.may_answer(ground.machine.index, EPOCH, last)
    assert ground.uncertain.may_answer(ground.machine.index, EPOCH + 1, last)


def test_a_start_beyond_the_bound_is_counted_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    ground = Ground()
    ground.give_up()
    ground.cancel()
    bound_s = HOLD_OVER_S + LEASE_S * 1.002 + 3.0
    with caplog.at_level(logging.ERROR):
        for after_s in (bound_s - 0.1, bound_s + 0.1, bound_s + 5.0):
            # Against the rule that ``may_answer`` keeps.
            ground.uncertain.on_lease_renewed(ground.machine.index, EPOCH, AT + after_s)
            ground.uncertain.expire_leases(AT + after_s)
    assert ground.uncertain.past_bound_count == 1
    assert caplog.text.count("is possible") == 1


def test_an_attempt_is_named_by_job_task_and_number() -> None:
    ground = Ground()
    attempt: Attempt = ground.attempt
    assert key_of(attempt) == StartKey(0, 0, attempt.number)
