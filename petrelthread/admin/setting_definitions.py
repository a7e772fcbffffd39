"""Settings that operators change at run time: validated, then stored in the state service."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from petrelthread.provisioning import ProvisioningOptions

_DEFAULTS = ProvisioningOptions()


class SettingDefinition(NamedTuple):
    """Default, permitted range and description of one setting."""

    default: float
    minimum: float
    maximum: float
    description: str


SETTING_DEFINITIONS: dict[str, SettingDefinition] = {
    "spot_drain_s": SettingDefinition(
        _DEFAULTS.spot_drain_s, 5, 3600, "rent spot until backlog drains in this"
    ),
    "dear_drain_s": SettingDefinition(
        _DEFAULTS.on_demand_drain_s, 5, 3600, "rent ordinary until it drains in this"
    ),
    "patient_drain_s": SettingDefinition(
        _DEFAULTS.best_effort_drain_s,
        5,
        36000,
        "rent ordinary for work without goals until it drains",
    ),
    "due_share": SettingDefinition(
        _DEFAULTS.due_share, 0.1, 1, "share of the time until due to plan work into"
    ),
    "due_least_s": SettingDefinition(
        _DEFAULTS.min_due_s, 5, 3600, "plan nothing as due sooner than this"
    ),
    "keep_share": SettingDefinition(
        _DEFAULTS.keep_time_factor, 0.05, 1, "keep ordinary machines until this share"
    ),
    "dear_fill": SettingDefinition(
        _DEFAULTS.on_demand_fill, 0, 1, "share of an ordinary machine that must be needed"
    ),
    "idle_s": SettingDefinition(
        _DEFAULTS.spot_idle_s, 0, 3600, "return idle surplus spot machines after this"
    ),
    "dear_idle_s": SettingDefinition(
        _DEFAULTS.on_demand_idle_s, 0, 3600, "return idle ordinary machines after this"
    ),
    "reserve_share": SettingDefinition(
        _DEFAULTS.reserve_share, 0, 5, "share of late urgent demand kept ready"
    ),
    "round_gap_s": SettingDefinition(0.25, 0.05, 10, "least gap between placement rounds"),
    "round_budget_s": SettingDefinition(0.05, 0.005, 1, "time one round of decisions may take"),
}


class InvalidSettingError(Exception):
    """A change is refused; the text, sent to the operator, gives reason and allowed range."""


def validate_setting(name: str, value: Any) -> float:
    """Return the value as a number.

    Raises:
        InvalidSettingError: the setting is unknown, or the value is not a number in its range.
    """
    definition = SETTING_DEFINITIONS.get(name)
    if definition is None:
        raise InvalidSettingError(
            f"unknown setting {name}; known: {', '.join(SETTING_DEFINITIONS)}"
        )
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if (
        not is_number
        or not math.isfinite(value)
        or not definition.minimum <= value <= definition.maximum
    ):
        raise InvalidSettingError(
            f"{name}: a number from {definition.minimum:g} to {definition.maximum:g}, got {value!r}"
        )
    return float(value)


def with_defaults(stored: dict[str, Any]) -> dict[str, float]:
    """Return the values in force; stored values that are not (or no longer) valid are ignored."""
    values = {name: float(definition.default) for name, definition in SETTING_DEFINITIONS.items()}
    for name, value in stored.items():
        try:
            values[name] = validate_setting(name, value)
        except InvalidSettingError:
            continue
    return values


def provisioning_options(values: dict[str, float]) -> ProvisioningOptions:
    """Return the provisioner's options; some settings keep older names ("dear" is on-demand)."""
    return ProvisioningOptions(
        spot_drain_s=values["spot_drain_s"],
        on_demand_drain_s=values["dear_drain_s"],
        best_effort_drain_s=values["patient_drain_s"],
        due_share=values["due_share"],
        min_due_s=values["due_least_s"],
        keep_time_factor=values["keep_share"],
        on_demand_fill=values["dear_fill"],
        spot_idle_s=values["idle_s"],
        on_demand_idle_s=values["dear_idle_s"],
        reserve_share=values["reserve_share"],
    )
