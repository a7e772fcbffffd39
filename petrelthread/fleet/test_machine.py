"""Machine: health transitions, change marking, and image cache."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from petrelthread.fleet import Health, Machine
from petrelthread.fleet.machine import SCHEDULING_FIELDS

OTHER_VALUES: dict[str, Any] = {
    "acknowledged_epoch": 5,
    "cordoned": True,
    "health": Health.UP,
    "machine_type": 2,
    "partition_reason": "suspected",
    "quarantine_reason": "faulty",
    "scale_out_key": "c/5-1",
    "spot": True,
    "zone": 1,
}


def test_scheduling_fields_are_fields_of_a_machine() -> None:
    assert {field.name for field in dataclasses.fields(Machine)} >= SCHEDULING_FIELDS


@pytest.mark.parametrize("name", sorted(SCHEDULING_FIELDS))
def test_change_of_scheduling_field_marks_machine_as_changed(name: str) -> None:
    changed: set[int] = set()
    machine = Machine(7, "host-7", 0.0, changed)
    assert changed == {7}
    changed.clear()
    setattr(machine, name, getattr(machine, name))
    assert not changed
    setattr(machine, name, OTHER_VALUES[name])
    assert changed == {7}


def test_change_of_other_field_does_not_mark_machine_as_changed() -> None:
    changed: set[int] = set()
    machine = Machine(7, "host-7", 0.0, changed)
    changed.clear()
    machine.last_seen_at, machine.failed_probes = 5.0, 1
    assert not changed


def test_unknown_field_is_rejected() -> None:
    with pytest.raises(AttributeError):
        Machine(7, "host-7", 0.0).unknown = 1  # type: ignore[attr-defined]


def test_illegal_health_transition_is_rejected() -> None:
    machine = Machine(7, "host-7", 0.0)
    machine.transition(Health.TERMINATING)
    machine.transition(Health.TERMINATED)
    with pytest.raises(AssertionError):
        machine.transition(Health.UP)


def test_least_recently_used_image_is_evicted() -> None:
    machine = Machine(7, "host-7", 0.0)
    for image in (1, 2, 1, 3):
        machine.use_image(image, size_gb=4.0, cache_gb=10.0)
    assert list(machine.images) == [1, 3]
