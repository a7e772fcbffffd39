"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import contextvars
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

# Which process code runs in, as far as that one may stand still.
PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("process", default="")
HeldCallback = tuple[list[asyncio.Handle], Callable[..., Any], tuple[Any, ...], contextvars.Context]

MAX_DURATION_S = 1000.0
WALL_CLOCK_START_S = 1_700_000_000.0


class _Selector(selectors.DefaultSelector):
    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> Any:
        events = super().select(0)
        if not events:
            if timeout is None:
                raise RuntimeError("everything waits for something that will never come")
            self.loop.now += max(timeout, 0.0)
            if self.loop.now > MAX_DURATION_S:
                raise RuntimeError("the scenario does not end")
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Its clock jumps to the next timer; single processes may be paused."""

    def __init__(self) -> None:
        self.now = 100.0
        self.paused: set[str] = set()  # processes that stand still while clocks run on
        self.held: dict[str, list[HeldCallback]] = {}
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def wall_clock(self) -> float:
        """What `time.time` returns inside a scenario."""
        return WALL_CLOCK_START_S + self.now

    # What a process that stands still would have run waits, in order, until it goes on.

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        context = context or contextvars.copy_context()
        box: list[asyncio.Handle] = []
        guarded = self._unless_still(callback, context, box)
        box.append(super().call_soon(guarded, *args, context=context))
        return box[0]

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        context = context or contextvars.copy_context()
        box: list[asyncio.Handle] = []
        guarded = self._unless_still(callback, context, box)
        handle = super().call_at(when, guarded, *args, context=context)
        box.append(handle)
        return handle

    def _unless_still(
        self, callback: Any, context: contextvars.Context, box: list[asyncio.Handle]
    ) -> Any:
        process = context.get(PROCESS)
        if not process:
            return callback

        def run(*args: Any) -> None:
            if process in self.paused:
                self.held.setdefault(process, []).append((box, callback, args, context))
            else:
                callback(*args)

        return run

    def resume(self, process: str) -> None:
        self.paused.discard(process)
        for box, callback, args, context in self.held.pop(process, []):
            if box and not box[0].cancelled():
                super().call_soon(self._resumed(box, callback), *args, context=context)

    @staticmethod
    def _resumed(box: list[asyncio.Handle], callback: Any) -> Any:
        def run(*args: Any) -> None:
            if not box[0].cancelled():
                callback(*args)

        return run


def play(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a scenario to its end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        with mock.patch.object(time, "time", loop.wall_clock):
            return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
