"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any
from unittest import mock

MOST_S = 1000.0
WALL = 1_700_000_000.0


class _Selector(selectors.DefaultSelector):
    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> Any:
        events = super().select(0)
        if not events:
            if timeout is None:
                raise RuntimeError("everything waits for something that will never come")
            self.loop.now += max(timeout, 0.0)
            if self.loop.now > MOST_S:
                raise RuntimeError("the scenario does not end")
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.now = 100.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def play(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a scenario to its end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        with mock.patch.object(time, "time", lambda: WALL + loop.now):
            return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
