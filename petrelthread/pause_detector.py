"""Notices that this process stood still while its clocks ran on.

What lay in its socket buffers meanwhile is as old as the standstill, and what it had not heard it
could not hear: neither proves that a machine is alive or silent, or that it still leads.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)

STILL_S = 2.0  # the housekeeping looks four times as often


class PauseDetector:
    """Looked at before anything is answered, sent or believed."""

    def __init__(self, on_still: Callable[[float, float], None]) -> None:
        """``on_still``: told how long it stood still, and the time now."""
        self._on_still = on_still
        self._looked_at: float | None = None
        self.since = float("-inf")  # without a standstill since then
        self.stood_s = 0.0  # how long the last one was

    def look(self, now: float) -> None:
        before, self._looked_at = self._looked_at, now
        if before is not None and now - before > STILL_S:
            self.since, self.stood_s = now, now - before
            log.warning("this node stood still for %.1f s; what it knows is as old", self.stood_s)
            self._on_still(self.stood_s, now)
