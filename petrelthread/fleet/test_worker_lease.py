"""Expiry of workers' leases as the leader computes it."""

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
    # The heartbeat may be a delayed copy, while a former leader that reaches the workers, but not
    # the state service, still renews the worker's lease.
    machine, attempt = add_attempt(fleet, OLD_ATTEMPT)
    fleet.on_heartbeat(heartbeat(7, EPOCH - 1), at, answered=True)
    assert fleet.lease_expires_at(machine) >= ELECTED_AT + LEASE_GRACE_S + LEASE_S
    failure_detector.check(at + LEASE_S + 1.0, 5.0)
    assert attempt.state is not OperationState.SUPERSEDED
    assert not fleet.is_schedulable(machine)
    # Once the worker shows the present token, no former leader can renew its lease.
    fleet.on_heartbeat(heartbeat(8, tasks=[running(OLD_ATTEMPT)]), at, answered=True)
    assert fleet.lease_expires_at(machine) == pytest.approx(at + LEASE_S, abs=1.0)
    assert fleet.is_schedulable(machine)


def test_former_leader_cannot_renew_worker_that_adopted_token_from_command(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    machine, attempt = add_attempt(fleet, OLD_ATTEMPT)
    fleet.on_heartbeat(heartbeat(3), 101.0, answered=False)
    assert fleet.is_schedulable(machine)
    assert fleet.lease_expires_at(machine) == pytest.approx(101.0 + LEASE_S, abs=1.0)
    assert fleet.lease_expires_at(machine) > 101.0 + LEASE_S
    # The worker does not list the attempt, and rejects older tokens.
    assert attempt.state is OperationState.SUPERSEDED
    failure_detector.check(108.0, 5.0)
    assert machine.health.value == "up"  # the worker may still be looking for this leader
    failure_detector.check(110.5, 5.0)
    assert machine.health.value == "silent"
    # The expiry of a lease that this leader could not renew is no evidence of a partition.
    fleet.on_heartbeat(heartbeat(1, incarnation=2), 112.5, answered=True)
    assert not machine.partition_reason


def keep_answering(fleet: Fleet, incarnation: int, begin: float, end: float) -> Machine:
    """Answer heartbeats of one incarnation at the regular interval."""
    at, sequence_number = begin, 1
    while at < end:
        machine = fleet.on_heartbeat(
            heartbeat(sequence_number, incarnation=incarnation), at, answered=True
        )
        at, sequence_number = at + HEARTBEAT_INTERVAL_S, sequence_number + 1
    assert machine is not None
    return machine


def test_machine_losing_leases_though_answered_is_unschedulable_then_quarantined(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    # An idle machine has no starts to ignore, so lease expiry is the only evidence.
    keep_answering(fleet, 1, 100.0, 112.0)
    machine = keep_answering(fleet, 2, 112.0, 113.0)
    assert not fleet.is_schedulable(machine)
    failure_detector.check(113.0, 5.0)
    assert not machine.quarantine_reason  # one expiry is not enough
    keep_answering(fleet, 2, 113.0, 130.0)
    assert fleet.is_schedulable(machine)
    keep_answering(fleet, 3, 130.0, 141.0)
    keep_answering(fleet, 4, 141.0, 142.0)
    failure_detector.check(142.0, 5.0)
    assert machine.quarantine_reason  # two consecutive expiries
