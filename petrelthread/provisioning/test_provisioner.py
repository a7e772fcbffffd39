"""Whole controllers that scale out and in, across leader changes and slow boots."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from tests.virtual import play
from tests.world import NODES, SMALL, World, job


def test_scaled_in_and_late_machines_are_no_capacity_for_next_leader() -> None:
    """From stale records they would come back as booting capacity, and replace scale-outs."""

    async def scenario() -> None:
        world = World()
        await world.submit(job("wk-000001", 4, guess_s=60.0))
        await world.running(4)
        first = await world.led()
        lost = next(iter(world.cloud.machines.values())).worker
        world.net.cut |= {frozenset((lost.name, n)) for n in NODES}
        while not lost.dead:
            await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        recorded = [v["m"] for k, (v, _, _) in world.store.keys.items() if k.startswith("pt/c/")]
        assert recorded
        assert all(lost.name not in names for names in recorded)
        world.crash(first)
        await asyncio.sleep(8.0)
        new = world.nodes[await world.led()]
        booting = [m for m in new.fleet.machines.values() if m.name == lost.name]
        assert not booting

    play(scenario())


def test_new_leader_does_not_scale_out_in_place_of_idle_machines() -> None:
    """Idle machines have no tasks on record and look late to boot until they report."""

    async def scenario() -> None:
        world = World()
        await world.submit(job("wk-000001", 6, guess_s=60.0))
        await world.until_over(60.0)
        await asyncio.sleep(3.0)
        rented = world.cloud.rented
        assert rented == len(world.cloud.machines) > 0
        for machine in world.cloud.machines.values():  # their next reports come late
            machine.worker.frozen = True
        world.crash(await world.led())
        await world.submit(job("wk-000002", 6, guess_s=60.0))
        await world.led()
        await asyncio.sleep(2.5)
        assert world.cloud.rented == rented
        for machine in world.cloud.machines.values():
            machine.worker.frozen = False
        await world.until_over(60.0)

    play(scenario())


@pytest.mark.parametrize("startup_s", [7.0, 10.0])
def test_capacity_is_kept_for_class_that_must_start_before_booting_machine_is_late(
    startup_s: float,
) -> None:
    """Jobs of the class have to start within 9 s, which is shorter than a usual or a slow boot."""

    async def scenario() -> None:
        slow = ({**SMALL.machine_types[0], "startup_s": startup_s},)
        world = World(deployment=replace(SMALL, machine_types=slow))
        world.run_s = 30.0
        await world.submit(job("wk-000001", 2))
        await asyncio.sleep(startup_s + 5.0)
        kinds = [(m.description.spot, m.description.zone) for m in world.cloud.machines.values()]
        assert {(False, "a"), (False, "b")} <= set(kinds)
        await world.submit(job("wk-000002", 1, jobclass="rush"))
        await asyncio.sleep(75.0)
        # Its first job accepts spot machines: no on-demand capacity is kept any more.
        assert all(m.description.spot for m in world.cloud.machines.values())

    play(scenario())
