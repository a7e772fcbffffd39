"""When a zone counts as cut off."""

from __future__ import annotations

from petrelthread.fleet import Health, Machine, ZoneMonitor


def machines(count: int, heard_at: float, zone: int = 1) -> list[Machine]:
    out = []
    for index in range(count):
        machine = Machine(index, f"host-{index}", heard_at)
        machine.zone, machine.incarnation = zone, 1
        machine.transition(Health.UP)
        out.append(machine)
    return out


def test_a_zone_is_down_only_if_its_controllers_are_unheard_too() -> None:
    watch = ZoneMonitor(1.5)
    quiet = machines(8, heard_at=100.0)
    assert watch.update(quiet, {1: True}, 0.0, 110.0) == (set(), set())
    assert watch.update(quiet, {1: False}, 0.0, 103.0) == (set(), set())
    assert watch.update(quiet, {1: False}, 0.0, 104.0) == ({1}, set())
    assert watch.update(quiet, {1: False}, 0.0, 104.5) == (set(), set())


def test_returning_its_silent_machines_does_not_bring_a_zone_back() -> None:
    # 100 machines were once rented in a zone that was cut off, the moment its last silent
    # machine had gone back to the cloud: none was left that could be silent.
    watch = ZoneMonitor(1.5)
    quiet = machines(8, heard_at=100.0)
    watch.update(quiet, {1: False}, 0.0, 104.0)
    for machine in quiet:
        machine.transition(Health.TERMINATING)
        machine.transition(Health.TERMINATED)
    assert watch.update(quiet, {1: False}, 0.0, 111.0) == (set(), set())
    assert watch.update([], {1: False}, 0.0, 112.0) == (set(), set())
    assert watch.update([], {1: True}, 0.0, 113.0) == (set(), {1})


def test_a_report_brings_it_back_and_a_new_leader_gives_workers_time() -> None:
    watch = ZoneMonitor(1.5)
    quiet = machines(8, heard_at=100.0)
    assert watch.update(quiet, {1: False}, 99.0, 108.0) == (set(), set())
    assert watch.update(quiet, {1: False}, 99.0, 109.0) == ({1}, set())
    quiet[3].last_seen_at = 110.0
    assert watch.update(quiet, {1: False}, 99.0, 110.5) == (set(), {1})


def test_a_zone_without_controllers_needs_several_machines_and_is_tried_again() -> None:
    watch = ZoneMonitor(1.5)
    assert watch.update(machines(3, 100.0), {}, 0.0, 110.0) == (set(), set())
    quiet = machines(4, 100.0)
    assert watch.update(quiet, {}, 0.0, 110.0) == ({1}, set())
    assert watch.update(quiet[:1], {}, 0.0, 141.0) == (set(), {1})
