"""Machines that a new leader knows."""

from __future__ import annotations

from petrelthread.fleet import FailureDetector, Fleet, Health
from petrelthread.fleet.worker_lease import longest_lease_s
from tests.fleet_builder import (
    EPOCH,
    LEASE_GRACE_S,
    LEASE_S,
    add_attempt,
    attempt_number,
    heartbeat,
)


def test_failover_drops_machines_without_record_and_attempts(fleet: Fleet) -> None:
    with_attempt, _ = add_attempt(fleet, attempt_number())
    rented = fleet.get_or_add("host-000002", 100.0)
    unrecorded = fleet.get_or_add("host-000003", 100.0)
    fleet.begin_leadership(EPOCH + 2, 300.0, {"host-000002"})
    assert set(fleet.machines.values()) == {with_attempt, rented}
    assert rented.registered_at == 300.0  # it may have booted during the failover
    assert fleet.find(unrecorded.name) is None


def test_ignored_starts_of_an_earlier_epoch_do_not_exclude_the_machine(fleet: Fleet) -> None:
    """Only a start of the present epoch could reset them, and none is placed on such a machine."""
    machine, _ = add_attempt(fleet, attempt_number())
    machine.ignored_starts, machine.ignored_starts_since = 3, 101.0
    fleet.on_heartbeat(heartbeat(1), 104.0, answered=True)
    assert machine.partition_reason
    fleet.step_down()
    fleet.begin_leadership(EPOCH + 2, 110.0)
    fleet.on_heartbeat(heartbeat(2, token=EPOCH + 2), 111.0, answered=True)
    assert fleet.is_schedulable(machine)
    FailureDetector(fleet).check(112.0, timeout_s=6.5)
    assert not machine.quarantine_reason


def test_attempts_on_a_machine_returned_in_an_earlier_epoch_end(fleet: Fleet) -> None:
    """A claim that was applied late can name such a machine; its tasks would run for ever."""
    machine, attempt = add_attempt(fleet, attempt_number())
    machine.transition(Health.TERMINATING)
    machine.transition(Health.TERMINATED)
    fleet.step_down()
    fleet.begin_leadership(EPOCH + 2, 110.0)
    lease_over = 110.0 + LEASE_GRACE_S + longest_lease_s(LEASE_S) + 1.0
    FailureDetector(fleet).check(lease_over, timeout_s=6.5)
    assert attempt.job.pending_count == attempt.job.task_count
