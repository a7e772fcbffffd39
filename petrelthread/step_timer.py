"""Logs steps of the event loop that take long, by name.

While one step runs, nothing else does: leases are not renewed and requests are not answered. The
log line tells which step delayed them.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

log = logging.getLogger(__name__)

SLOW_STEP_S = 0.25  # steps up to this long are not logged


@contextmanager
def timed_step(
    name: str, *details: object, clock: Callable[[], float] = time.monotonic
) -> Iterator[None]:
    """Log a warning if the statements in the context take long.

    Args:
        name: format string of the step's name.
        details: values for the format string.
        clock: returns the time in seconds.
    """
    started_at = clock()
    try:
        yield
    finally:
        duration_s = clock() - started_at
        if duration_s > SLOW_STEP_S:
            step = name % details
            log.warning("slow step of the event loop: %s took %.2f s", step, duration_s)
