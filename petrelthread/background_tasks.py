"""Background asyncio tasks, which no coroutine awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps references to tasks until they end; the event loop has only weak references."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_all(self) -> None:
        """Cancel all tasks that have not ended."""
        for task in self._tasks:
            task.cancel()
