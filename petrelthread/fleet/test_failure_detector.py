"""Detection of unresponsive machines, and quarantine."""

from __future__ import annotations

from petrelthread.fleet import FailureDetector, Fleet, Health, Machine
from tests.fleet_builder import EPOCH, add_attempt, attempt_number, heartbeat, running

OLD_ATTEMPT = attempt_number(epoch=EPOCH - 1)


def is_unresponsive_at(failure_detector: FailureDetector, machine: Machine, at: float) -> bool:
    failure_detector.check(at, timeout_s=14.0)
    return machine.health is Health.UNRESPONSIVE


def test_machines_are_not_quarantined_if_most_are_partitioned(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    for n in range(4):
        machine = fleet.get_or_add(f"host-{n}", 100.0)
        machine.transition(Health.UP)
        machine.last_seen_at = 110.0
        machine.lease_losses, machine.partition_reason = 2, "its lease expired"
    failure_detector.check(111.0, 5.0)
    assert not any(machine.quarantine_reason for machine in fleet.machines.values())


def test_machine_with_attempts_and_failed_reads_is_unresponsive_before_timeout(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    machine, _ = add_attempt(fleet, OLD_ATTEMPT)
    machine.transition(Health.UP)
    failure_detector.on_read(machine, answered=False)
    assert not is_unresponsive_at(failure_detector, machine, 103.0)  # one failed read is not enough
    # A delayed heartbeat from before the election is no evidence that the worker is alive.
    fleet.on_heartbeat(heartbeat(7, EPOCH - 1), 104.0, answered=True)
    failure_detector.on_read(machine, answered=False)
    assert is_unresponsive_at(failure_detector, machine, 105.0)


def test_failed_reads_are_ignored_without_attempts_or_after_epoch_is_acknowledged(
    fleet: Fleet, failure_detector: FailureDetector
) -> None:
    machine, attempt = add_attempt(fleet, OLD_ATTEMPT)
    machine.transition(Health.UP)
    for _ in range(3):
        failure_detector.on_read(machine, answered=False)
    fleet.cluster_state.release(attempt)
    assert not is_unresponsive_at(failure_detector, machine, 105.0)
    fleet.on_heartbeat(heartbeat(8, tasks=[running(OLD_ATTEMPT)]), 106.0, answered=True)
    assert not is_unresponsive_at(failure_detector, machine, 107.0)
