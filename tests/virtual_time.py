"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import contextvars
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

# The simulated process that code runs in, if that process can be paused; empty for all others.
PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("process", default="")
DeferredCallback = tuple[
    list[asyncio.Handle], Callable[..., Any], tuple[Any, ...], contextvars.Context
]

MAX_DURATION_S = 1000.0
WALL_CLOCK_START_S = 1_700_000_000.0


class _Selector(selectors.DefaultSelector):
    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> Any:
        events = super().select(0)
        if not events:
            if timeout is None:
                raise RuntimeError("deadlock: no callback is ready and no timer is scheduled")
            self.loop.now += max(timeout, 0.0)
            if self.loop.now > MAX_DURATION_S:
                raise RuntimeError("the scenario exceeds MAX_DURATION_S")
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, in which single simulated processes can be paused."""

    def __init__(self) -> None:
        self.now = 100.0
        self.paused: set[str] = set()  # processes that run nothing while clocks advance
        self.deferred: dict[str, list[DeferredCallback]] = {}
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def wall_clock(self) -> float:
        """What `time.time` returns inside a scenario."""
        return WALL_CLOCK_START_S + self.now

    # Callbacks of a paused process are deferred and run in order when it resumes.

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        context = context or contextvars.copy_context()
        handle_slot: list[asyncio.Handle] = []
        pausable = self._defer_while_paused(callback, context, handle_slot)
        handle_slot.append(super().call_soon(pausable, *args, context=context))
        return handle_slot[0]

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        context = context or contextvars.copy_context()
        handle_slot: list[asyncio.Handle] = []
        pausable = self._defer_while_paused(callback, context, handle_slot)
        handle = super().call_at(when, pausable, *args, context=context)
        handle_slot.append(handle)
        return handle

    def _defer_while_paused(
        self, callback: Any, context: contextvars.Context, handle_slot: list[asyncio.Handle]
    ) -> Any:
        process = context.get(PROCESS)
        if not process:
            return callback

        def run(*args: Any) -> None:
            if process in self.paused:
                self.deferred.setdefault(process, []).append((handle_slot, callback, args, context))
            else:
                callback(*args)

        return run

    def resume(self, process: str) -> None:
        self.paused.discard(process)
        for handle_slot, callback, args, context in self.deferred.pop(process, []):
            if handle_slot and not handle_slot[0].cancelled():
                super().call_soon(
                    self._skip_if_cancelled(handle_slot, callback), *args, context=context
                )

    @staticmethod
    def _skip_if_cancelled(handle_slot: list[asyncio.Handle], callback: Any) -> Any:
        def run(*args: Any) -> None:
            if not handle_slot[0].cancelled():
                callback(*args)

        return run


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time, and return its result."""
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
