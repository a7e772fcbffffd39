"""When a zone counts as cut off."""

from __future__ import annotations

import pytest

from petrelthread.fleet import Health, Machine, ZoneMonitor


@pytest.fixture
def monitor() -> ZoneMonitor:
    return ZoneMonitor(heartbeat_interval_s=1.5)


def machines(count: int, heard_at: float, zone: int = 1) -> list[Machine]:
    out = []
    for index in range(count):
        machine = Machine(index, f"host-{index}", heard_at)
        machine.zone, machine.incarnation = zone, 1
        machine.transition(Health.UP)
        out.append(machine)
    return out


def test_zone_is_cut_off_only_if_its_controllers_are_silent_too(monitor: ZoneMonitor) -> None:
    quiet = machines(8, heard_at=100.0)
    assert monitor.update(quiet, {1: True}, 0.0, 110.0) == (set(), set())
    assert monitor.update(quiet, {1: False}, 0.0, 103.0) == (set(), set())
    assert monitor.update(quiet, {1: False}, 0.0, 104.0) == ({1}, set())
    assert monitor.update(quiet, {1: False}, 0.0, 104.5) == (set(), set())


def test_return_of_its_unresponsive_machines_does_not_restore_a_zone(monitor: ZoneMonitor) -> None:
    # Else machines would be rented in a zone that is cut off, once none is left to be silent.
    quiet = machines(8, heard_at=100.0)
    monitor.update(quiet, {1: False}, 0.0, 104.0)
    for machine in quiet:
        machine.transition(Health.TERMINATING)
        machine.transition(Health.TERMINATED)
    assert monitor.update(quiet, {1: False}, 0.0, 111.0) == (set(), set())
    assert monitor.update([], {1: False}, 0.0, 112.0) == (set(), set())
    assert monitor.update([], {1: True}, 0.0, 113.0) == (set(), {1})


def test_heartbeat_restores_a_zone_and_new_leader_waits_longer(monitor: ZoneMonitor) -> None:
    quiet = machines(8, heard_at=100.0)
    assert monitor.update(quiet, {1: False}, 99.0, 108.0) == (set(), set())
    assert monitor.update(quiet, {1: False}, 99.0, 109.0) == ({1}, set())
    quiet[3].last_seen_at = 110.0
    assert monitor.update(quiet, {1: False}, 99.0, 110.5) == (set(), {1})


def test_zone_without_controllers_needs_several_machines_and_is_retried(
    monitor: ZoneMonitor,
) -> None:
    assert monitor.update(machines(3, 100.0), {}, 0.0, 110.0) == (set(), set())
    quiet = machines(4, 100.0)
    assert monitor.update(quiet, {}, 0.0, 110.0) == ({1}, set())
    assert monitor.update(quiet[:1], {}, 0.0, 141.0) == (set(), {1})
