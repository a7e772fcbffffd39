"""Late copies of direct commands that workers have already executed and answered.

A copy is executed as long as its token and incarnation match, so it must not find a worker that
has forgotten the attempt and still accepts the token (postmortem: docs/incidents/
answered-start-executed-again-postmortem.md).
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from petrelthread.emulator.worker import IMAGE_FETCH_S
from tests.scenario import run_scenario
from tests.simulation import Deployment, Simulation, job_spec

MOVED_JOB, OTHER_JOB, URGENT_JOB = "wk-000001", "wk-000002", "wk-000003"
LONG_S = 300.0
FORGET_WITHIN_S = 30.0  # a lease, two heartbeats, scheduling rounds
ONE_MACHINE_A_ZONE = Deployment(spot=2, on_demand=0, zone_capacity=1)


class ExecutedCommands:
    """Keeps the direct commands that start a task of ``MOVED_JOB``, to send copies of them."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._kept: list[tuple[str, str, Any]] = []
        simulation.network.delivery_rule = self._keep

    def _keep(
        self, source: str, address: str, method: str, target: str, body: Any
    ) -> tuple[float, bool]:
        orders = body["orders"] if target == "/do" else []
        if any(o["verb"] == "launch" and o["leg"].startswith(MOVED_JOB) for o in orders):
            self._kept.append((source, address, body))
        return 0.0, False

    async def send_copies(self, machine_name: str) -> None:
        """Deliver a copy of each command that the machine's worker has executed."""
        copies = [kept for kept in self._kept if kept[1].startswith(machine_name)]
        assert copies
        for source, address, body in copies:
            await self._simulation.network.hosts[address](source, "POST", "/do", body)


async def wait_until_forgotten(simulation: Simulation, machine_name: str, job_id: str) -> None:
    """Wait until the machine's worker has forgotten all attempts of the job."""
    worker = simulation.cloud.machines[machine_name].worker
    async with asyncio.timeout(FORGET_WITHIN_S):
        while any(entry["leg"].startswith(job_id) for entry in worker.heartbeat()["legs"]):
            await asyncio.sleep(0.1)


async def machines_of(simulation: Simulation, task_id: str) -> set[str]:
    """Return the machines that run the task, after the time that an image fetch takes."""
    await asyncio.sleep(2 * IMAGE_FETCH_S)
    return set(simulation.checker.machines_by_task[task_id])


async def move_a_task(simulation: Simulation) -> tuple[str, str]:
    """Let a task start on one machine, be preempted there, and run on another.

    Returns:
        The names of the two machines.
    """
    simulation.run_s = LONG_S
    await simulation.submit(job_spec(MOVED_JOB, 1, priority="low", estimated_run_s=LONG_S))
    await simulation.wait_until_running(1)
    first = simulation.worker_running(f"{MOVED_JOB}/0")
    other_zone = "b" if first.machine.zone == "a" else "a"
    await simulation.submit(job_spec(OTHER_JOB, 1, zone=other_zone, estimated_run_s=LONG_S))
    await simulation.wait_until_running(2)
    await simulation.submit(
        job_spec(URGENT_JOB, 2, team="blue", priority="high", zone=first.machine.zone)
    )
    machines = simulation.checker.machines_by_task[f"{MOVED_JOB}/0"]
    while not machines - {first.name}:
        await asyncio.sleep(0.1)
    return first.name, next(iter(machines - {first.name}))


@pytest.mark.parametrize("leader_ends", [False, True], ids=["leader stays", "leader ends"])
@pytest.mark.parametrize("forgotten", [False, True], ids=["at once", "forgotten"])
def test_copy_of_an_executed_start_does_not_start_a_moved_task_again(
    forgotten: bool, leader_ends: bool
) -> None:
    """Guards against ``ran_twice``: the copy meets a worker that has forgotten the attempt."""

    async def scenario(simulation: Simulation) -> None:
        executed = ExecutedCommands(simulation)
        leader = await simulation.wait_for_leader()
        first, second = await move_a_task(simulation)
        if forgotten:
            await wait_until_forgotten(simulation, first, MOVED_JOB)
        if leader_ends:
            simulation.crash(leader)
        await executed.send_copies(first)
        assert await machines_of(simulation, f"{MOVED_JOB}/0") == {second}
        if leader_ends:
            simulation.boot(leader)
        simulation.run_s = 0.0  # all tasks end

    run_scenario(scenario, deployment=ONE_MACHINE_A_ZONE)


@pytest.mark.parametrize("leader_ends", [False, True], ids=["leader stays", "leader ends"])
def test_copy_of_an_executed_start_does_not_start_a_cancelled_task_again(leader_ends: bool) -> None:
    """Guards against ``ran_cancelled``: the copy arrives after ``cancel_s``."""

    async def scenario(simulation: Simulation) -> None:
        executed = ExecutedCommands(simulation)
        leader = await simulation.wait_for_leader()
        first, _ = await move_a_task(simulation)
        await simulation.cancel(MOVED_JOB)
        await wait_until_forgotten(simulation, first, MOVED_JOB)
        await asyncio.sleep(simulation.workers.cancel_s + 1.0)
        if leader_ends:
            simulation.crash(leader)
        await executed.send_copies(first)
        assert not await machines_of(simulation, f"{MOVED_JOB}/0")
        if leader_ends:
            simulation.boot(leader)
        simulation.run_s = 0.0  # all tasks end

    run_scenario(scenario, deployment=ONE_MACHINE_A_ZONE)


@pytest.mark.parametrize("seed", range(6))
def test_copies_of_half_of_all_commands_violate_no_invariant(seed: int) -> None:
    """Copies arrive up to two minutes late, while jobs are preempted and cancelled."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_time_spread_s = 12.0
        draw = simulation.random
        simulation.network.duplicate_rule = lambda source, address, method, target: (
            draw.uniform(0.5, 120.0) if target == "/do" and draw.random() < 0.5 else None
        )
        for number in range(24):
            job_id = f"wk-{number:06d}"
            team, priority = draw.choice(("red", "blue")), draw.choice(("low", "standard", "high"))
            await simulation.submit(job_spec(job_id, 4, team=team, priority=priority))
            await asyncio.sleep(draw.uniform(0.0, 6.0))
            if number % 3 == 0:
                await simulation.cancel(job_id)
            if number % 8 == 7:
                leader = await simulation.wait_for_leader()
                simulation.crash(leader)
                await asyncio.sleep(draw.uniform(0.1, 3.0))
                simulation.boot(leader)
        await simulation.wait_until_jobs_final(300.0)

    run_scenario(scenario, seed, ONE_MACHINE_A_ZONE)
