"""Operators' own settings: kept in the state service, checked before they are stored."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from petrelthread.provisioning import ProvisioningOptions

_RENTAL = ProvisioningOptions()


class Knob(NamedTuple):
    default: float
    least: float
    most: float
    says: str


KNOBS: dict[str, Knob] = {
    "spot_drain_s": Knob(_RENTAL.spot_drain_s, 5, 3600, "rent spot until backlog drains in this"),
    "dear_drain_s": Knob(_RENTAL.dear_drain_s, 5, 3600, "rent ordinary until it drains in this"),
    "patient_drain_s": Knob(
        _RENTAL.patient_drain_s, 5, 36000, "rent ordinary for work without goals until it drains"
    ),
    "due_share": Knob(_RENTAL.due_share, 0.1, 1, "share of the time until due to plan work into"),
    "due_least_s": Knob(_RENTAL.due_least_s, 5, 3600, "plan nothing as due sooner than this"),
    "keep_share": Knob(_RENTAL.keep_share, 0.05, 1, "keep ordinary machines until this share"),
    "dear_fill": Knob(_RENTAL.dear_fill, 0, 1, "share of an ordinary machine that must be needed"),
    "idle_s": Knob(_RENTAL.idle_s, 0, 3600, "return idle surplus spot machines after this"),
    "dear_idle_s": Knob(_RENTAL.dear_idle_s, 0, 3600, "return idle ordinary machines after this"),
    "reserve_share": Knob(_RENTAL.reserve_share, 0, 5, "share of late urgent demand kept ready"),
    "round_gap_s": Knob(0.25, 0.05, 10, "least gap between placement rounds"),
    "round_budget_s": Knob(0.05, 0.005, 1, "time one round of decisions may take"),
}


class OptionError(Exception):
    """The change is refused; the text gives reason and allowed range."""


def check(name: str, value: Any) -> float:
    knob = KNOBS.get(name)
    if knob is None:
        raise OptionError(f"unknown setting {name}; known: {', '.join(KNOBS)}")
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or not knob.least <= value <= knob.most:
        raise OptionError(f"{name}: a number from {knob.least:g} to {knob.most:g}, got {value!r}")
    return float(value)


def with_defaults(stored: dict[str, Any]) -> dict[str, float]:
    """What is in force. Stored values that are not valid (any more) count as not set."""
    values = {name: float(knob.default) for name, knob in KNOBS.items()}
    for name, value in stored.items():
        try:
            values[name] = check(name, value)
        except OptionError:
            continue
    return values


def rental_options(values: dict[str, float]) -> ProvisioningOptions:
    return ProvisioningOptions(**{name: values[name] for name in ProvisioningOptions._fields})
