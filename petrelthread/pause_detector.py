"""Notices that this process stood still while its clocks ran on.

What lay in its socket buffers meanwhile is as old as the standstill, and what it had not heard it
could not hear: neither proves that a machine is alive or silent, or that it still leads.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)

MIN_PAUSE_S = 2.0  # the housekeeping looks four times as often


class PauseDetector:
    """Looked at before anything is answered, sent or believed."""

    def __init__(self, on_resumed: Callable[[float, float], None]) -> None:
        """``on_still``: told how long it stood still, and the time now."""
        self._on_resumed = on_resumed
        self._checked_at: float | None = None
        self.resumed_at = float("-inf")  # without a standstill since then
        self.last_pause_s = 0.0  # how long the last one was

    def check(self, now: float) -> None:
        before, self._checked_at = self._checked_at, now
        if before is not None and now - before > MIN_PAUSE_S:
            self.resumed_at, self.last_pause_s = now, now - before
            log.warning(
                "this node stood still for %.1f s; what it knows is as old", self.last_pause_s
            )
            self._on_resumed(self.last_pause_s, now)
