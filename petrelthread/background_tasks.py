"""Tasks that run on their own, without anybody who awaits them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Holds tasks until they end: the event loop has only weak references to them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task of its own."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_all(self) -> None:
        """Cancel all tasks that still run."""
        for task in self._tasks:
            task.cancel()
