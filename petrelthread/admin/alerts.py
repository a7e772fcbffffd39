"""Alerts: conditions that operators should know of, logged when they begin and when they end."""

from __future__ import annotations

import logging
from typing import NamedTuple

log = logging.getLogger(__name__)

RAISE_AFTER_S = 2.0  # that a condition has to last, so that short ones do not flood the log


class Alert(NamedTuple):
    since: float
    reported: bool


class AlertTracker:
    """Since when each trouble lasts; tells of each when it begins and when it is over."""

    def __init__(self) -> None:
        self.active: dict[str, Alert] = {}

    def update(self, wrong: dict[str, str], now: float) -> None:
        for kind, text in wrong.items():
            trouble = self.active.setdefault(kind, Alert(now, False))
            if not trouble.reported and now - trouble.since >= RAISE_AFTER_S:
                self.active[kind] = Alert(trouble.since, True)
                log.warning("trouble: %s", text)
        for kind in [kind for kind in self.active if kind not in wrong]:
            trouble = self.active.pop(kind)
            if trouble.reported:
                log.info("trouble over after %.0f s: %s", now - trouble.since, kind)

    def duration_s(self, kind: str, now: float) -> float:
        """How many seconds it has lasted."""
        trouble = self.active.get(kind)
        return now - trouble.since if trouble else 0.0
