"""Jobs that fail everywhere, told from machines on which every job fails."""

from __future__ import annotations

import asyncio

from petrelthread.admin.explain import explain_waiting
from petrelthread.emulator.worker import Worker
from tests.scenario import now, run
from tests.world import World, job


def starts_recorded_of(world: World, job_id: str) -> int:
    """How many starts of its tasks are on record."""
    return sum(
        len(tasks)
        for key, value in world.store.puts
        if key.startswith("pt/r/")
        for _, _, jobs in value
        for name, tasks in jobs
        if name == job_id
    )


def test_failing_jobs_cost_others_neither_machines_nor_time() -> None:
    """Two of them made every machine that ran them look faulty; a new leader judges anew."""

    async def scenario(world: World) -> None:
        world.failing_jobs |= {"wk-000001", "wk-000002"}
        for n in range(1, 7):
            await world.submit(
                job(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], estimated_run_s=20.0)
            )
        await asyncio.sleep(30.0)
        begun = starts_recorded_of(world, "wk-000001")
        world.crash(await world.led())
        await asyncio.sleep(10.0)
        node = world.nodes[await world.led()]
        assert starts_recorded_of(world, "wk-000001") <= begun + 2  # the new leader knows
        tries = [
            task_id for task_id in world.checker.started_at if task_id.startswith("wk-000001/")
        ]
        assert len(tries) < 12  # a full start, then one at a time
        said = explain_waiting(node, node.cluster_state.jobs_by_id["wk-000001"], now())
        assert "fails everywhere" in said, said
        await asyncio.sleep(40.0)
        good = [f"wk-{n:06d}" for n in range(3, 7)]
        await world.poll()
        assert {world.checker.statuses[j] for j in good} == {"done"}
        assert world.cloud.rented <= 14  # none was given back as faulty
        starts = world.checker.start_count
        await asyncio.sleep(60.0)
        assert world.checker.start_count - starts <= 6  # tried at a growing distance
        for broken in sorted(world.failing_jobs):
            assert await world.cancel(broken) == "aborted"
        await world.until_over(60.0)
        await asyncio.sleep(5.0)
        assert not [key for key in world.store.keys if key.startswith("pt/s/")]

    run(scenario)


def test_faulty_machines_are_told_from_failing_jobs() -> None:
    async def scenario(world: World) -> None:
        world.failing_jobs |= {"wk-000001"}
        for n in range(1, 5):
            await world.submit(
                job(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], estimated_run_s=20.0)
            )
        await world.running(4)
        faulty: Worker = next(m.worker for m in world.cloud.machines.values())
        faulty.faulty = True
        await asyncio.sleep(25.0)
        assert faulty.dead  # found out and given back
        await asyncio.sleep(30.0)
        await world.poll()
        assert [world.checker.statuses[f"wk-{n:06d}"] for n in range(2, 5)] == ["done"] * 3
        await world.cancel("wk-000001")
        await world.until_over(60.0)

    run(scenario)


def test_a_job_with_some_failing_tasks_is_served() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 30, estimated_run_s=5.0))
        await world.submit(job("wk-000002", 30, team="blue", estimated_run_s=5.0))
        world.failing_tasks |= {f"wk-000001/{n}" for n in (0, 1, 2, 3, 7)}
        await asyncio.sleep(75.0)
        node = world.nodes[await world.led()]
        assert node.cluster_state.jobs_by_id["wk-000001"].done_count == 25
        assert (
            world.checker.statuses.get("wk-000002")
            or node.cluster_state.jobs_by_id["wk-000002"].final_status == "done"
        )
        assert "all that waits has failed before" in explain_waiting(
            node, node.cluster_state.jobs_by_id["wk-000001"], now()
        )
        world.failing_tasks.clear()
        await world.until_over(100.0)

    run(scenario)


def test_a_faulty_machine_is_returned_and_its_job_completes_elsewhere() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 4))
        task_ids = await world.running(2)
        sick = world.where(task_ids[0])
        sick.faulty = True
        await world.submit(job("wk-000002", 6, team="blue"))
        await world.until_over(150.0)
        assert sick.dead

    run(scenario)
