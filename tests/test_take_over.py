"""What a new leader waits for, and what it does not wait for."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.test_faults import run
from tests.virtual import play
from tests.world import World, job

RESTARTED_S = 8.0  # from the election to the first start of what was on a dead machine


def now() -> float:
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_work_of_a_machine_that_died_with_the_leader_starts_soon(seed: int) -> None:
    async def scenario(world: World) -> None:
        world.run_s = 60.0
        await world.submit(job("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await world.running(6)
        old = await world.led()
        lost = world.where(task_ids[0])
        gone = [task_id for task_id in task_ids if world.where(task_id) is lost]
        world.net.cut.update(frozenset((lost.name, node)) for node in world.nodes)
        world.crash(old)
        while world.leader is None:
            await asyncio.sleep(0.05)
        elected = now()
        while not all(
            any(name != lost.name for name in world.checker.machines_by_task.get(task_id, ()))
            for task_id in gone
        ):
            await asyncio.sleep(0.05)
            assert now() - elected < RESTARTED_S
        world.boot(old)
        await world.until_over(300.0)

    run(scenario, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_machines_that_report_to_the_new_leader_keep_their_work(seed: int) -> None:
    """Direct commands do not reach them, so none can be read; their reports come."""

    async def scenario(world: World) -> None:
        world.run_s = 30.0
        await world.submit(job("wk-000001", 6, estimated_run_s=30.0))
        await world.running(6)
        old = await world.led()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            return None if target in ("/show", "/do") else (0.0, False)

        world.net.fate = fate
        world.crash(old)
        await asyncio.sleep(12.0)
        world.net.fate = None
        world.boot(old)
        await world.until_over(300.0)

    world = run(scenario, seed)
    assert world.checker.start_count == 6


def test_silence_proves_less_while_reports_are_turned_away() -> None:
    async def main() -> None:
        world = World(1)
        node = world.nodes[await world.led()]
        usual = node.scheduling_loop.unresponsive_after_s(now())
        assert usual < world.workers.lease_s
        node.load_shedder.last_shed_at = now()
        assert node.scheduling_loop.unresponsive_after_s(now()) == world.workers.lease_s
        assert node.scheduling_loop.unresponsive_after_s(now() + usual + 1.0) == usual

    play(main())
