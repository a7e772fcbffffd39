"""Whole controllers that scale out and in, across leader changes and slow boots."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from tests.simulation import NODES, SMALL, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


def test_scaled_in_machine_does_not_count_as_capacity_for_next_leader() -> None:
    """A stale record would count the machine as booting capacity and suppress scale-outs."""

    async def scenario() -> None:
        simulation = Simulation()
        await simulation.submit(job_spec("wk-000001", 4, estimated_run_s=60.0))
        await simulation.wait_until_running(4)
        first = await simulation.wait_for_leader()
        unreachable = next(iter(simulation.cloud.machines.values())).worker
        simulation.network.partitions |= {frozenset((unreachable.name, n)) for n in NODES}
        while not unreachable.terminated:
            await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        recorded = [
            v["m"]
            for k, (v, _, _) in simulation.state_service.keys.items()
            if k.startswith("pt/c/")
        ]
        assert recorded
        assert all(unreachable.name not in names for names in recorded)
        simulation.crash(first)
        await asyncio.sleep(8.0)
        new = simulation.nodes[await simulation.wait_for_leader()]
        booting = [m for m in new.fleet.machines.values() if m.name == unreachable.name]
        assert not booting

    run_in_virtual_time(scenario())


def test_new_leader_does_not_replace_idle_machines() -> None:
    """Idle machines have no recorded tasks and look late to boot until their first heartbeat."""

    async def scenario() -> None:
        simulation = Simulation()
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        await simulation.wait_until_jobs_final(60.0)
        await asyncio.sleep(3.0)
        rented = simulation.cloud.rented_count
        assert rented == len(simulation.cloud.machines) > 0
        for machine in simulation.cloud.machines.values():  # their next heartbeats are late
            machine.worker.hanging = True
        simulation.crash(await simulation.wait_for_leader())
        await simulation.submit(job_spec("wk-000002", 6, estimated_run_s=60.0))
        await simulation.wait_for_leader()
        await asyncio.sleep(2.5)
        assert simulation.cloud.rented_count == rented
        for machine in simulation.cloud.machines.values():
            machine.worker.hanging = False
        await simulation.wait_until_jobs_final(60.0)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("startup_s", [7.0, 10.0])
def test_capacity_is_kept_for_class_that_must_start_before_booting_machine_is_late(
    startup_s: float,
) -> None:
    """Jobs of the class must start within 9 s; the boot takes 7 s, or 10 s if slow."""

    async def scenario() -> None:
        slow = ({**SMALL.machine_types[0], "startup_s": startup_s},)
        simulation = Simulation(deployment=replace(SMALL, machine_types=slow))
        simulation.run_s = 30.0
        await simulation.submit(job_spec("wk-000001", 2))
        await asyncio.sleep(startup_s + 5.0)
        kinds = [
            (m.description.spot, m.description.zone) for m in simulation.cloud.machines.values()
        ]
        assert {(False, "a"), (False, "b")} <= set(kinds)
        await simulation.submit(job_spec("wk-000002", 1, job_class="rush"))
        await asyncio.sleep(75.0)
        # Its first job accepts spot machines: no more on-demand capacity is kept.
        assert all(m.description.spot for m in simulation.cloud.machines.values())

    run_in_virtual_time(scenario())
