"""Background tasks are referenced until they end and can be cancelled."""

from __future__ import annotations

import asyncio
import gc

from petrelthread.background_tasks import BackgroundTasks


def test_a_task_without_other_references_runs_to_its_end() -> None:
    async def scenario() -> None:
        tasks, finished = BackgroundTasks(), []

        async def finish_later() -> None:
            await asyncio.sleep(0.01)
            finished.append(True)

        tasks.start(finish_later())
        await asyncio.sleep(0.0)
        gc.collect()
        await asyncio.sleep(0.05)
        assert finished
        tasks.cancel_all()  # has no effect, as no task is left

    asyncio.run(scenario())


def test_all_running_tasks_are_cancelled() -> None:
    async def scenario() -> None:
        tasks, cancelled = BackgroundTasks(), []

        async def wait_until_cancelled() -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.append(True)
                raise

        tasks.start(wait_until_cancelled())
        tasks.start(wait_until_cancelled())
        await asyncio.sleep(0.0)
        tasks.cancel_all()
        await asyncio.sleep(0.01)
        assert cancelled == [True, True]

    asyncio.run(scenario())
