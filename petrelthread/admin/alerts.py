"""Alerts: conditions that need an operator's attention, logged when they begin and end."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import NamedTuple

log = logging.getLogger(__name__)

RAISE_AFTER_S = 2.0  # shorter conditions are not logged, so that they do not flood the log


class Alert(NamedTuple):
    """An active condition: when it began, and whether it has been logged."""

    since: float
    logged: bool


class AlertTracker:
    """Tracks the active conditions by kind, and logs those that last."""

    def __init__(self) -> None:
        self.active: dict[str, Alert] = {}

    def update(self, conditions: Mapping[str, str], now: float) -> None:
        """Log conditions that have lasted ``RAISE_AFTER_S``, and the end of logged conditions.

        Args:
            conditions: all active conditions: kind to the text to log.
            now: event loop time in seconds.
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
        """Return how many seconds the condition has lasted; 0 if it is not active."""
        alert = self.active.get(kind)
        return now - alert.since if alert else 0.0
