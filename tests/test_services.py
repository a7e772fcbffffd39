"""Standing services: replicas that run until their job is cancelled, and return when lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from petrelthread.admin.explain import explain_waiting
from petrelthread.fleet import Health
from tests.scenario import run
from tests.simulation import NODES, SMALL, Simulation, job


def now() -> float:
    return asyncio.get_running_loop().time()


def service(job_id: str, replicas: int, **attributes: Any) -> dict[str, Any]:
    """The submission of a small service; ``attributes`` of the typed job replace others."""
    defaults = {
        "kind": "service",
        "priority": "prod",
        "estimated_run_s": 0.0,
        "spot_allowed": False,
        "cores": 1.0,
        "ram_gb": 1.0,
        "deadline_s": None,
    }
    return job(job_id, replicas, **(defaults | attributes))


def missing(simulation: Simulation) -> list[str]:
    """The plain model: each replica of an accepted service that is not cancelled runs once."""
    return [
        f"{job_id}/{n}"
        for job_id, spec in simulation.jobs.items()
        if spec["shape"] == "service" and job_id not in simulation.checker.cancelled_at
        for n in range(spec["legs"])
        if len(simulation.checker.machines_by_task.get(f"{job_id}/{n}", ())) != 1
    ]


async def served(simulation: Simulation, within_s: float) -> float:
    """Until every replica runs. How long that took."""
    begun = now()
    while missing(simulation):
        await asyncio.sleep(0.1)
        assert now() < begun + within_s, missing(simulation)
    return now() - begun


async def end(simulation: Simulation) -> None:
    """Called off, they are gone, and not before."""
    await simulation.poll()
    for job_id, spec in simulation.jobs.items():
        if spec["shape"] == "service" and job_id not in simulation.checker.cancelled_at:
            assert simulation.checker.statuses[job_id] not in ("done", "aborted")
            await simulation.cancel(job_id)
    await asyncio.sleep(12.0)
    left = [
        task_id for task_id, machines in simulation.checker.machines_by_task.items() if machines
    ]
    assert not [
        task_id for task_id in left if task_id.rpartition("/")[0] in simulation.checker.cancelled_at
    ]
    await simulation.wait_until_over(60.0)


def test_replicas_run_until_they_are_called_off() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 3))
        await simulation.submit(job("wk-000002", 8, team="blue"))
        await served(simulation, 20.0)
        await asyncio.sleep(60.0)
        assert not missing(simulation)
        status, answer = await simulation.ask("n1", "GET", "/v2/runs/wk-000001")
        assert (status, answer["status"], answer["done"], answer["running"]) == (
            200,
            "running",
            0,
            3,
        )
        assert (
            sum(task_id.startswith("wk-000001") for task_id in simulation.checker.started_at) == 3
        )
        await end(simulation)

    simulation = run(scenario)
    assert simulation.checker.start_count == 3 + 8


def test_a_service_beyond_its_teams_limit_can_never_run() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.wait_for_leader()
        await asyncio.sleep(1.0)
        status, _ = await simulation.ask("n0", "POST", "/v2/runs", service("wk-000009", 13))
        assert status == 422
        await simulation.submit(service("wk-000001", 12))
        no_checkpoints = service(
            "wk-000002", 1, team="blue", checkpoint_interval_s=None, grace_period_s=None
        )
        await simulation.submit(no_checkpoints)
        await served(simulation, 30.0)
        await end(simulation)

    run(scenario)


LOSSES: dict[str, Callable[[Simulation, Any, str], None]] = {
    "machine ends": lambda simulation, worker, task_id: worker.kill(),
    "machine cut": lambda simulation, worker, task_id: simulation.net.partitions.update(
        frozenset((worker.name, node)) for node in NODES
    ),
    "machine hangs": lambda simulation, worker, task_id: setattr(worker, "frozen", True),
    "replica fails": lambda simulation, worker, task_id: worker.end_task(
        task_id, worker.tasks[task_id], "error"
    ),
    "replica ends": lambda simulation, worker, task_id: worker.end_task(
        task_id, worker.tasks[task_id], "done"
    ),
}


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("change", ["", "leader ends", "all end", "outage"])
def test_a_lost_replica_returns(loss: str, change: str) -> None:
    """As a new attempt, never beside the old one, whoever leads meanwhile."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 4))
        await simulation.submit(job("wk-000002", 30, team="blue", estimated_run_s=5.0))
        await served(simulation, 20.0)
        await asyncio.sleep(10.0)
        task_id = "wk-000001/0"
        while not all(f"wk-000002/{n}" in simulation.checker.completed_tasks for n in range(30)):
            await asyncio.sleep(0.5)
        before = simulation.checker.start_count
        LOSSES[loss](simulation, simulation.worker_running(task_id), task_id)
        if change in ("leader ends", "all end"):
            names = [await simulation.wait_for_leader()] if change == "leader ends" else list(NODES)
            for name in names:
                simulation.crash(name)
            await asyncio.sleep(1.0)
            for name in names:
                simulation.boot(name)
        elif change == "outage":
            simulation.state_service.set_outage(True)
            await asyncio.sleep(8.0)
            simulation.state_service.set_outage(False)
        lost_at = now()
        # Cut or hanging it is still on its machine for a while.
        while simulation.checker.start_count == before:
            await asyncio.sleep(0.1)
            assert now() < lost_at + 40.0
        await served(simulation, 30.0)
        simulation.checker.faults_ended_at = now()
        await asyncio.sleep(20.0)
        assert not missing(simulation)
        await end(simulation)

    run(scenario)


def test_a_replica_of_a_busy_deployment_returns_before_other_work() -> None:
    """Its room is made at once: work of lower rank stops for it."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 40.0
        await simulation.submit(service("wk-000001", 4, cores=2.0))
        await served(simulation, 20.0)
        for n in (2, 3):
            crew = "blue" if n == 2 else "guest"
            await simulation.submit(job(f"wk-{n:06d}", 40, team=crew, estimated_run_s=40.0))
        await asyncio.sleep(20.0)
        on_demand = [m for m in simulation.cloud.machines.values() if not m.description.spot]
        assert len(on_demand) == 3  # all there are; what the replicas leave free runs other work
        simulation.boot_delay_s = 60.0
        simulation.worker_running("wk-000001/0").kill()
        assert await served(simulation, 30.0) < 14.0
        simulation.boot_delay_s = 0.0
        for n in (2, 3):
            await simulation.cancel(f"wk-{n:06d}")
        await end(simulation)

    run(scenario, deployment=replace(SMALL, on_demand=3))


def test_replicas_are_spread_over_machines_and_zones() -> None:
    """One loss takes few: by the machine rule alone all went where their image was cached."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000002", 4, team="blue"))
        await simulation.submit(service("wk-000001", 4, spread_zones=True))
        await served(simulation, 30.0)
        zones: dict[str, int] = {}
        for n in range(4):
            zone = simulation.worker_running(f"wk-000001/{n}").machine.zone
            zones[zone] = zones.get(zone, 0) + 1
        assert max(zones.values()) <= 2
        await simulation.submit(service("wk-000003", 1, team="blue"))
        await served(simulation, 30.0)
        await simulation.submit(service("wk-000004", 3, team="guest"))  # the same image
        await served(simulation, 30.0)
        assert len({simulation.worker_running(f"wk-000004/{n}").name for n in range(3)}) > 1
        await end(simulation)

    run(scenario)


def test_a_faulty_machine_costs_its_replicas_once() -> None:
    """A replica never completes: one that ran for a while shows that its job is not broken."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 6))
        await served(simulation, 30.0)
        await asyncio.sleep(12.0)
        sick = simulation.worker_running("wk-000001/0")
        sick.faulty = True
        for task_id, entry in list(sick.tasks.items()):
            if task_id.startswith("wk-000001"):
                sick.end_task(task_id, entry, "error")
        await asyncio.sleep(0.3)
        assert await served(simulation, 30.0) < 15.0
        await asyncio.sleep(10.0)
        machines = {simulation.worker_running(f"wk-000001/{n}") for n in range(6)}
        assert len(machines) > 2
        for worker in machines:  # all at once, so that none is left to speak for the job
            for task_id, entry in list(worker.tasks.items()):
                worker.end_task(task_id, entry, "error")
        await asyncio.sleep(0.3)
        assert await served(simulation, 30.0) < 6.0
        await end(simulation)

    run(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_services_under_several_faults(seed: int) -> None:
    """Drawn from all the kinds that test_ops knows, with arrays beside."""
    from tests.test_concurrent_faults import inject_fault

    async def scenario(simulation: Simulation) -> None:
        chance = random.Random(seed)
        for n in range(3):
            crew = ("red", "blue", "guest")[n]
            await simulation.submit(service(f"wk-{n:06d}", 3, team=crew, spread_zones=n == 1))
            await simulation.submit(job(f"wk-{n + 10:06d}", 12, team=crew))
        await served(simulation, 40.0)
        ends = []
        for _ in range(7):
            ends.append(asyncio.ensure_future(inject_fault(simulation, chance)))
            await asyncio.sleep(chance.uniform(0.0, 8.0))
            await simulation.poll()
        await simulation.cancel("wk-000002")
        await asyncio.gather(*ends)
        for worker in [m.worker for m in simulation.cloud.machines.values()]:
            worker.faulty = False
        simulation.checker.faults_ended_at = now()
        await served(simulation, 90.0)
        await asyncio.sleep(15.0)
        await served(simulation, 30.0)
        await end(simulation)

    run(scenario, seed)


def test_operators_see_why_a_replica_does_not_run() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 4))
        await served(simulation, 20.0)
        await asyncio.sleep(5.0)
        leader = await simulation.wait_for_leader()
        node = simulation.nodes[leader]
        assert explain_waiting(node, node.cluster_state.jobs_by_id["wk-000001"], now()).startswith(
            "4 of 4 replicas running"
        )
        _, seen = await simulation.ask_admin(leader, "status")
        assert seen["backlog"]["batch"]["replicas"] == 4 == seen["backlog"]["batch"]["serving"]
        lost = simulation.worker_running("wk-000001/0")
        simulation.net.partitions |= {frozenset((lost.name, n)) for n in NODES}
        simulation.net.partitions.add(
            frozenset((leader, "cloud"))
        )  # so that its return can't be confirmed
        machine = node.fleet.find(lost.name)
        assert machine is not None
        while machine.health not in (Health.UNRESPONSIVE, Health.TERMINATING):
            await asyncio.sleep(0.1)
        said = explain_waiting(node, node.cluster_state.jobs_by_id["wk-000001"], now())
        assert f"may be on {lost.name}" in said, said
        assert "confirmed" in said, said
        simulation.net.partitions.clear()
        await asyncio.sleep(15.0)
        await served(simulation, 20.0)
        await end(simulation)

    run(scenario)


def test_a_leader_without_heartbeats_returns_no_machine_with_replicas() -> None:
    """They were well, and its siblings heard them: it is the leader that has to go."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 30.0
        for n in range(3):
            crew = ("red", "blue", "guest")[n]
            await simulation.submit(service(f"wk-{n:06d}", 4, team=crew))
            await simulation.submit(job(f"wk-{n + 10:06d}", 4, team=crew, estimated_run_s=30.0))
        await served(simulation, 30.0)
        await asyncio.sleep(5.0)
        starts = {
            task_id: at
            for task_id, at in simulation.checker.started_at.items()
            if task_id < "wk-000010"
        }
        machines = {simulation.worker_running(task_id).name for task_id in starts}
        leader = await simulation.wait_for_leader()
        simulation.net.partitions |= {
            frozenset((leader, name)) for name in simulation.cloud.machines
        }
        await asyncio.sleep(15.0)
        assert simulation.leader not in (None, leader)
        assert machines <= simulation.cloud.machines.keys()
        simulation.net.partitions.clear()
        await served(simulation, 20.0)
        await end(simulation)

    run(scenario)
