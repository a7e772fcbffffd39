"""Tasks are held until they end."""

from __future__ import annotations

import asyncio
import gc

from petrelthread.background_tasks import BackgroundTasks


def test_a_task_that_nobody_else_refers_to_runs_to_its_end() -> None:
    async def scenario() -> None:
        tasks, finished = BackgroundTasks(), []

        async def wait_for_nobody() -> None:
            await asyncio.sleep(0.01)
            finished.append(True)

        tasks.start(wait_for_nobody())
        await asyncio.sleep(0.0)
        gc.collect()
        await asyncio.sleep(0.05)
        assert finished
        tasks.cancel_all()  # nothing is left

    asyncio.run(scenario())


def test_all_running_tasks_are_cancelled() -> None:
    async def scenario() -> None:
        tasks, cancelled = BackgroundTasks(), []

        async def wait_for_ever() -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.append(True)
                raise

        tasks.start(wait_for_ever())
        tasks.start(wait_for_ever())
        await asyncio.sleep(0.0)
        tasks.cancel_all()
        await asyncio.sleep(0.01)
        assert cancelled == [True, True]

    asyncio.run(scenario())
