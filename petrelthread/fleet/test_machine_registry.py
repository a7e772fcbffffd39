"""Machines that a new leader knows."""

from __future__ import annotations

from petrelthread.fleet import Fleet
from tests.fleet_builder import EPOCH, add_attempt, attempt_number


def test_failover_drops_machines_without_record_and_attempts(fleet: Fleet) -> None:
    with_attempt, _ = add_attempt(fleet, attempt_number())
    rented = fleet.get_or_add("host-000002", 100.0)
    unrecorded = fleet.get_or_add("host-000003", 100.0)
    fleet.begin_leadership(EPOCH + 2, 300.0, {"host-000002"})
    assert set(fleet.machines.values()) == {with_attempt, rented}
    assert rented.registered_at == 300.0  # it may have booted during the failover
    assert fleet.find(unrecorded.name) is None
