"""Detects that the process was paused while its clocks ran on.

A paused process neither receives nor answers. What it finds in its socket buffers afterwards is as
old as the pause, and what it missed was perhaps never sent: neither proves that a machine is alive
or unresponsive, or that this controller still leads.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)

MIN_PAUSE_S = 2.0  # several times the interval at which an idle controller checks


class PauseDetector:
    """Takes a long time between two checks for a process pause.

    To be checked before anything that was received is processed and before anything is sent.
    """

    def __init__(self, on_resumed: Callable[[float, float], None]) -> None:
        """Report pauses to ``on_resumed``: the pause in seconds, and the time at which it ended."""
        self._on_resumed = on_resumed
        self._checked_at: float | None = None
        self.resumed_at = float("-inf")  # end of the newest pause
        self.last_pause_s = 0.0

    def check(self, now: float) -> None:
        """Compare ``now``, by the event loop's clock, with the previous check."""
        before, self._checked_at = self._checked_at, now
        if before is None or now - before <= MIN_PAUSE_S:
            return
        self.resumed_at, self.last_pause_s = now, now - before
        log.warning("process pause of %.1f s; cached state is at least as old", self.last_pause_s)
        self._on_resumed(self.last_pause_s, now)
