"""Alerts: conditions that operators should know of, logged when they begin and when they end."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import NamedTuple

log = logging.getLogger(__name__)

RAISE_AFTER_S = 2.0  # that a condition has to last, so that short ones do not flood the log


class Alert(NamedTuple):
    """A condition that holds."""

    since: float
    logged: bool


class AlertTracker:
    """Knows since when each condition holds, by its kind."""

    def __init__(self) -> None:
        self.active: dict[str, Alert] = {}

    def update(self, conditions: Mapping[str, str], now: float) -> None:
        """Log the conditions that have lasted long enough, and those that were logged and ended.

        Args:
            conditions: all that hold now, by kind, with the text to log.
            now: the event loop's time in seconds.
        """
        for kind, text in conditions.items():
            alert = self.active.setdefault(kind, Alert(now, logged=False))
            if not alert.logged and now - alert.since >= RAISE_AFTER_S:
                self.active[kind] = alert._replace(logged=True)
                log.warning("alert: %s", text)
        for kind in [kind for kind in self.active if kind not in conditions]:
            alert = self.active.pop(kind)
            if alert.logged:
                log.info("alert over after %.0f s: %s", now - alert.since, kind)

    def duration_s(self, kind: str, now: float) -> float:
        """How many seconds the condition has lasted; 0 if it does not hold."""
        alert = self.active.get(kind)
        return now - alert.since if alert else 0.0
