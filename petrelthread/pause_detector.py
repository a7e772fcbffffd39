"""Detects that the process was paused while its clocks continued.

A paused process neither receives nor answers messages. Messages that it finds in its socket buffers
afterwards may be as old as the pause, and missing ones may never have been sent. Neither is
evidence that a machine is alive or unresponsive, or that this controller still leads.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)

MIN_PAUSE_S = 2.0  # several times the interval at which an idle controller checks


class PauseDetector:
    """Treats a long interval between two checks as a process pause.

    ``check`` must be called before processing received messages and before sending any.
    """

    def __init__(self, on_resumed: Callable[[float, float], None]) -> None:
        """``on_resumed`` gets the length of a pause in seconds and the time at which it ended."""
        self._on_resumed = on_resumed
        self._checked_at: float | None = None
        self.resumed_at = float("-inf")  # end of the latest pause
        self.last_pause_s = 0.0

    def check(self, now: float) -> None:
        """Compare ``now``, an event loop time, with the time of the previous check."""
        previous, self._checked_at = self._checked_at, now
        if previous is None or now - previous <= MIN_PAUSE_S:
            return
        self.resumed_at, self.last_pause_s = now, now - previous
        log.warning("process pause of %.1f s; cached state is at least as old", self.last_pause_s)
        self._on_resumed(self.last_pause_s, now)
