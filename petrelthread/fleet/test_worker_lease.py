"""When a worker's lease has certainly expired."""

from __future__ import annotations

import pytest

from petrelthread.fleet import FailureDetector, Fleet, Machine
from petrelthread.state import OperationState
from tests.fleet_builder import (
    ELECTED_AT,
    EPOCH,
    HEARTBEAT_INTERVAL_S,
    LEASE_GRACE_S,
    LEASE_S,
    add_attempt,
    attempt_number,
    heartbeat,
    running,
)

OLD_ATTEMPT = attempt_number(epoch=EPOCH - 1)


@pytest.mark.parametrize("at", [100.1, 105.0, 119.0])
def test_heartbeat_with_older_token_does_not_end_grace_period_of_former_leader(
    fleet: Fleet, failure_detector: FailureDetector, at: float
) -> None:
    # It may be a delayed copy, while the former leader, cut off from the state service alone,
    # renews the worker's lease.
    machine, attempt = add_attempt(fleet, OLD_ATTEMPT)
    fleet.on_heartbeat(heartbeat(7, EPOCH - 1), at, answered=True)
    assert fleet.lease_expires_at(machine) >= ELECTED_AT + LEASE_GRACE_S + LEASE_S
    failure_detector.check(at + LEASE_S + 1.0, 5.0)
    assert attempt.state is not OperationState.SUPERSEDED
    assert not fleet.is_schedulable(machine)
    # Once it shows the present token, no former leader can renew it.
    fleet.on_heartbeat(heartbeat(8, tasks=[running(OLD_ATTEMPT)]), at, answered=True)
    assert fleet.lease_expires_at(machine) == pytest.approx(at + LEASE_S, abs=1.0)
    assert fleet.is_schedulable(machine)


def test_worker_that_took_token_from_command_cannot_be_renewed_by_former_leader(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    machine, attempt = add_attempt(fleet, OLD_ATTEMPT)
    fleet.on_heartbeat(heartbeat(3), 101.0, answered=False)
    assert fleet.is_schedulable(machine)
    assert fleet.lease_expires_at(machine) == pytest.approx(101.0 + LEASE_S, abs=1.0)
    assert fleet.lease_expires_at(machine) > 101.0 + LEASE_S
    # It does not list the attempt, and refuses older tokens.
    assert attempt.state is OperationState.SUPERSEDED
    failure_detector.check(108.0, 5.0)
    assert machine.health.value == "up"  # it may still be looking for this leader
    failure_detector.check(110.5, 5.0)
    assert machine.health.value == "silent"
    # The end of a lease that no answer of this leader could renew is no sign of a partition.
    fleet.on_heartbeat(heartbeat(1, incarnation=2), 112.5, answered=True)
    assert not machine.partition_reason


def keep_answering(fleet: Fleet, incarnation: int, begin: float, end: float) -> Machine:
    """Answer all heartbeats of one incarnation."""
    at, sequence_number = begin, 1
    while at < end:
        machine = fleet.on_heartbeat(
            heartbeat(sequence_number, incarnation=incarnation), at, answered=True
        )
        at, sequence_number = at + HEARTBEAT_INTERVAL_S, sequence_number + 1
    assert machine is not None
    return machine


def test_machine_that_loses_leases_though_answered_is_excluded_then_quarantined(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    # Idle, it has no starts to ignore: the end of its lease is all that shows it.
    keep_answering(fleet, 1, 100.0, 112.0)
    machine = keep_answering(fleet, 2, 112.0, 113.0)
    assert not fleet.is_schedulable(machine)
    failure_detector.check(113.0, 5.0)
    assert not machine.quarantine_reason  # once may be an accident
    keep_answering(fleet, 2, 113.0, 130.0)
    assert fleet.is_schedulable(machine)
    keep_answering(fleet, 3, 130.0, 141.0)
    keep_answering(fleet, 4, 141.0, 142.0)
    failure_detector.check(142.0, 5.0)
    assert machine.quarantine_reason  # twice in a row
