"""Detection of unreachable zones."""

from __future__ import annotations

import pytest

from petrelthread.fleet import Health, Machine, ZoneMonitor


@pytest.fixture
def monitor() -> ZoneMonitor:
    return ZoneMonitor(heartbeat_interval_s=1.5)


def machines(count: int, last_seen_at: float, zone: int = 1) -> list[Machine]:
    built = []
    for index in range(count):
        machine = Machine(index, f"host-{index}", last_seen_at)
        machine.zone, machine.incarnation = zone, 1
        machine.transition(Health.UP)
        built.append(machine)
    return built


def test_zone_is_unreachable_only_if_its_controllers_are_too(monitor: ZoneMonitor) -> None:
    stale = machines(8, last_seen_at=100.0)
    assert monitor.update(stale, {1: True}, 0.0, 110.0) == (set(), set())
    assert monitor.update(stale, {1: False}, 0.0, 103.0) == (set(), set())
    assert monitor.update(stale, {1: False}, 0.0, 104.0) == ({1}, set())
    assert monitor.update(stale, {1: False}, 0.0, 104.5) == (set(), set())


def test_termination_of_unresponsive_machines_does_not_restore_zone(monitor: ZoneMonitor) -> None:
    # Otherwise machines would be rented in a zone that is still unreachable, once it has none left.
    stale = machines(8, last_seen_at=100.0)
    monitor.update(stale, {1: False}, 0.0, 104.0)
    for machine in stale:
        machine.transition(Health.TERMINATING)
        machine.transition(Health.TERMINATED)
    assert monitor.update(stale, {1: False}, 0.0, 111.0) == (set(), set())
    assert monitor.update([], {1: False}, 0.0, 112.0) == (set(), set())
    assert monitor.update([], {1: True}, 0.0, 113.0) == (set(), {1})


def test_heartbeat_restores_zone_and_new_leader_has_longer_timeout(monitor: ZoneMonitor) -> None:
    stale = machines(8, last_seen_at=100.0)
    assert monitor.update(stale, {1: False}, 99.0, 108.0) == (set(), set())
    assert monitor.update(stale, {1: False}, 99.0, 109.0) == ({1}, set())
    stale[3].last_seen_at = 110.0
    assert monitor.update(stale, {1: False}, 99.0, 110.5) == (set(), {1})


def test_zone_without_controllers_needs_several_machines_and_is_retried(
    monitor: ZoneMonitor,
) -> None:
    assert monitor.update(machines(3, 100.0), {}, 0.0, 110.0) == (set(), set())
    stale = machines(4, 100.0)
    assert monitor.update(stale, {}, 0.0, 110.0) == ({1}, set())
    assert monitor.update(stale[:1], {}, 0.0, 141.0) == (set(), {1})
