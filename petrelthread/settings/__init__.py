"""The settings file provided by the platform: read once at start, checked, immutable."""

from petrelthread.settings.address import split_addr
from petrelthread.settings.loading import SettingsError, load, parse
from petrelthread.settings.model import (
    CANCELLATION_MARGIN_S,
    CLOCK_DRIFT_FACTOR,
    UNLIMITED,
    Objective,
    Settings,
    Sibling,
    State,
    Team,
    Workers,
)

__all__ = [
    "CANCELLATION_MARGIN_S",
    "CLOCK_DRIFT_FACTOR",
    "UNLIMITED",
    "Objective",
    "Settings",
    "SettingsError",
    "Sibling",
    "State",
    "Team",
    "Workers",
    "load",
    "parse",
    "split_addr",
]
