"""Counts function calls: a measure of work that, unlike time, is the same in each run."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

from petrelthread.scheduling.scheduler import DEFAULT_ROUND_BUDGET_S

MIN_CALL_S = 0.25e-6  # of a call, without what the function does
MAX_CALLS_PER_STEP = DEFAULT_ROUND_BUDGET_S / MIN_CALL_S


class TooManyCallsError(Exception):
    """The function made more calls than allowed."""


def count_calls(function: Callable[[], object], limit: float = MAX_CALLS_PER_STEP) -> int:
    """Count the calls that a function makes, of functions in Python and in C.

    Raises:
        TooManyCallsError: beyond the limit; the function is not run to its end.
    """
    calls = 0

    def on_event(_frame: FrameType, event: str, _argument: Any) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")
        if calls > limit:
            sys.setprofile(None)
            raise TooManyCallsError(f"more than {limit:.0f} calls")

    sys.setprofile(on_event)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls
