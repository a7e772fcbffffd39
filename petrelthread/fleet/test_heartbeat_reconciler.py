"""Reconciliation of heartbeats with the state of their machine."""

from __future__ import annotations

from petrelthread.fleet import CommandPlanner, FailureDetector, Fleet, Health
from petrelthread.state import OperationState
from tests.fleet_builder import EPOCH, HOST, add_attempt, attempt_number, heartbeat, running


def test_stale_heartbeat_changes_neither_attempts_nor_liveness(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    fleet.on_heartbeat(heartbeat(1), 101.0, answered=True)
    machine, attempt = add_attempt(fleet, attempt_number(1))
    fleet.on_heartbeat(heartbeat(3, tasks=[running(attempt.number)]), 103.0, answered=True)
    assert attempt.state is OperationState.CONFIRMED
    before = fleet.lease_expires_at(machine)
    for at in (104.0, 108.0, 112.0):
        assert fleet.on_heartbeat(heartbeat(1), at, answered=True) is None
        assert fleet.on_heartbeat(heartbeat(9, incarnation=0), at, answered=True) is None
    assert attempt.state is OperationState.CONFIRMED
    assert (machine.last_seen_at, fleet.lease_expires_at(machine)) == (103.0, before)
    failure_detector.check(112.0, 5.0)
    assert machine.health is Health.UNRESPONSIVE


def test_heartbeat_of_terminated_machine_is_ignored(fleet: Fleet) -> None:
    fleet.on_heartbeat(heartbeat(1), 101.0, answered=True)
    machine = fleet.get_or_add(HOST, 101.0)
    machine.transition(Health.TERMINATING)
    machine.transition(Health.TERMINATED)
    assert fleet.on_heartbeat(heartbeat(2), 102.0, answered=True) is None
    assert machine.health is Health.TERMINATED


def test_heartbeats_with_old_token_do_not_keep_machine_responsive(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    for sequence_number in (1, 2, 3, 4):
        at = 100.0 + 3.0 * sequence_number
        fleet.on_heartbeat(heartbeat(sequence_number, EPOCH - 1), at, answered=True)
    machine = fleet.get_or_add(HOST, 112.0)
    assert not fleet.is_schedulable(machine)
    failure_detector.check(118.0, 5.0)
    assert machine.health is Health.UNRESPONSIVE  # so that it is scaled in


def test_machine_that_ignores_starts_is_not_schedulable_until_it_lists_one(
    fleet: Fleet, command_planner: CommandPlanner
) -> None:
    fleet.on_heartbeat(heartbeat(1), 100.0, answered=True)
    machine, attempt = add_attempt(fleet, attempt_number(1))
    for sequence_number in range(2, 7):
        now = 100.0 + sequence_number
        without_task = heartbeat(sequence_number)
        fleet.on_heartbeat(without_task, now, answered=True)
        command_planner.for_heartbeat(machine, without_task, now, may_start=True)
    assert not fleet.is_schedulable(machine)
    assert attempt.state is not OperationState.SUPERSEDED  # a delayed command may still start it
    fleet.on_heartbeat(heartbeat(9, tasks=[running(attempt.number)]), 107.0, answered=True)
    assert fleet.is_schedulable(machine)
