"""Services: replicas run until their job is cancelled, and each lost replica restarts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from petrelthread.admin.explain import explain_waiting
from petrelthread.fleet import Health
from tests.scenario import run_scenario
from tests.simulation import NODES, SMALL, Simulation, job_spec


def now() -> float:
    return asyncio.get_running_loop().time()


def service(job_id: str, replicas: int, **attributes: Any) -> dict[str, Any]:
    """The submission of a small service; ``attributes`` override the defaults."""
    defaults = {
        "kind": "service",
        "priority": "prod",
        "estimated_run_s": 0.0,
        "spot_allowed": False,
        "cores": 1.0,
        "ram_gb": 1.0,
        "deadline_s": None,
    }
    return job_spec(job_id, replicas, **(defaults | attributes))


def replicas_not_running(simulation: Simulation) -> list[str]:
    """Replicas of accepted, uncancelled services that do not run on exactly one machine."""
    return [
        f"{job_id}/{n}"
        for job_id, spec in simulation.jobs.items()
        if spec["shape"] == "service" and job_id not in simulation.checker.cancelled_at
        for n in range(spec["legs"])
        if len(simulation.checker.machines_by_task.get(f"{job_id}/{n}", ())) != 1
    ]


async def wait_for_all_replicas(simulation: Simulation, within_s: float) -> float:
    """Wait until every replica runs, and return how many seconds that took."""
    began = now()
    while replicas_not_running(simulation):
        await asyncio.sleep(0.1)
        assert now() < began + within_s, replicas_not_running(simulation)
    return now() - began


async def cancel_services(simulation: Simulation) -> None:
    """Require that no service has a final status; cancel all; require that their replicas stop."""
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
    await simulation.wait_until_jobs_final(60.0)


def test_replicas_run_until_their_job_is_cancelled() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 3))
        await simulation.submit(job_spec("wk-000002", 8, team="blue"))
        await wait_for_all_replicas(simulation, 20.0)
        await asyncio.sleep(60.0)
        assert not replicas_not_running(simulation)
        status, response = await simulation.ask("n1", "GET", "/v2/runs/wk-000001")
        assert (status, response["status"], response["done"], response["running"]) == (
            200,
            "running",
            0,
            3,
        )
        assert (
            sum(task_id.startswith("wk-000001") for task_id in simulation.checker.started_at) == 3
        )
        await cancel_services(simulation)

    simulation = run_scenario(scenario)
    assert simulation.checker.start_count == 3 + 8


def test_a_service_is_accepted_up_to_its_teams_limit_and_refused_beyond() -> None:
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
        await wait_for_all_replicas(simulation, 30.0)
        await cancel_services(simulation)

    run_scenario(scenario)


LOSSES: dict[str, Callable[[Simulation, Any, str], None]] = {
    "machine ends": lambda simulation, worker, task_id: worker.kill(),
    "machine cut": lambda simulation, worker, task_id: simulation.network.partitions.update(
        frozenset((worker.name, node)) for node in NODES
    ),
    "machine hangs": lambda simulation, worker, task_id: setattr(worker, "hanging", True),
    "replica fails": lambda simulation, worker, task_id: worker.end_task(
        task_id, worker.tasks[task_id], "error"
    ),
    "replica ends": lambda simulation, worker, task_id: worker.end_task(
        task_id, worker.tasks[task_id], "done"
    ),
}


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("change", ["", "leader ends", "all end", "outage"])
def test_a_lost_replica_restarts_without_a_duplicate(loss: str, change: str) -> None:
    """Controller crashes and a state service outage must not lose or duplicate the new attempt."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 4))
        await simulation.submit(job_spec("wk-000002", 30, team="blue", estimated_run_s=5.0))
        await wait_for_all_replicas(simulation, 20.0)
        await asyncio.sleep(10.0)
        task_id = "wk-000001/0"
        while not all(f"wk-000002/{n}" in simulation.checker.completed_tasks for n in range(30)):
            await asyncio.sleep(0.5)
        start_count_before = simulation.checker.start_count
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
        # On a machine that is partitioned or hangs, the old attempt runs until its lease expires.
        while simulation.checker.start_count == start_count_before:
            await asyncio.sleep(0.1)
            assert now() < lost_at + 40.0
        await wait_for_all_replicas(simulation, 30.0)
        simulation.checker.faults_ended_at = now()
        await asyncio.sleep(20.0)
        assert not replicas_not_running(simulation)
        await cancel_services(simulation)

    run_scenario(scenario)


def test_a_lost_replica_preempts_batch_tasks_when_no_machine_is_free() -> None:
    """All machines are busy and new ones boot late, so only preemption frees capacity in time."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 40.0
        await simulation.submit(service("wk-000001", 4, cores=2.0))
        await wait_for_all_replicas(simulation, 20.0)
        for n in (2, 3):
            team = "blue" if n == 2 else "guest"
            await simulation.submit(job_spec(f"wk-{n:06d}", 40, team=team, estimated_run_s=40.0))
        await asyncio.sleep(20.0)
        on_demand = [m for m in simulation.cloud.machines.values() if not m.description.spot]
        # The cloud has no more; batch tasks use the cores that replicas leave free.
        assert len(on_demand) == 3
        simulation.boot_delay_s = 60.0
        simulation.worker_running("wk-000001/0").kill()
        assert await wait_for_all_replicas(simulation, 30.0) < 14.0
        simulation.boot_delay_s = 0.0
        for n in (2, 3):
            await simulation.cancel(f"wk-{n:06d}")
        await cancel_services(simulation)

    run_scenario(scenario, deployment=replace(SMALL, on_demand=3))


def test_replicas_are_spread_over_machines_and_zones() -> None:
    """The usual machine preference put all replicas on the machines that had their image cached.

    The loss of one machine or zone must stop only some of the replicas.
    """

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000002", 4, team="blue"))
        await simulation.submit(service("wk-000001", 4, spread_zones=True))
        await wait_for_all_replicas(simulation, 30.0)
        zones: dict[str, int] = {}
        for n in range(4):
            zone = simulation.worker_running(f"wk-000001/{n}").machine.zone
            zones[zone] = zones.get(zone, 0) + 1
        assert max(zones.values()) <= 2
        await simulation.submit(service("wk-000003", 1, team="blue"))
        await wait_for_all_replicas(simulation, 30.0)
        await simulation.submit(service("wk-000004", 3, team="guest"))  # the same image
        await wait_for_all_replicas(simulation, 30.0)
        assert len({simulation.worker_running(f"wk-000004/{n}").name for n in range(3)}) > 1
        await cancel_services(simulation)

    run_scenario(scenario)


def test_replicas_that_fail_on_a_faulty_machine_restart_without_job_backoff() -> None:
    """Replicas never complete, so one that has run for a while must show that its job works."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 6))
        await wait_for_all_replicas(simulation, 30.0)
        await asyncio.sleep(12.0)
        faulty_worker = simulation.worker_running("wk-000001/0")
        faulty_worker.faulty = True
        for task_id, entry in list(faulty_worker.tasks.items()):
            if task_id.startswith("wk-000001"):
                faulty_worker.end_task(task_id, entry, "error")
        await asyncio.sleep(0.3)
        assert await wait_for_all_replicas(simulation, 30.0) < 15.0
        await asyncio.sleep(10.0)
        machines = {simulation.worker_running(f"wk-000001/{n}") for n in range(6)}
        assert len(machines) > 2
        for worker in machines:  # all at once, so that no running replica shows that the job works
            for task_id, entry in list(worker.tasks.items()):
                worker.end_task(task_id, entry, "error")
        await asyncio.sleep(0.3)
        assert await wait_for_all_replicas(simulation, 30.0) < 6.0
        await cancel_services(simulation)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_all_replicas_run_again_after_concurrent_faults(seed: int) -> None:
    """Faults are drawn from all kinds of test_concurrent_faults; array jobs run as well."""
    from tests.test_concurrent_faults import inject_fault

    async def scenario(simulation: Simulation) -> None:
        rng = random.Random(seed)
        for n in range(3):
            team = ("red", "blue", "guest")[n]
            await simulation.submit(service(f"wk-{n:06d}", 3, team=team, spread_zones=n == 1))
            await simulation.submit(job_spec(f"wk-{n + 10:06d}", 12, team=team))
        await wait_for_all_replicas(simulation, 40.0)
        faults = []
        for _ in range(7):
            faults.append(asyncio.ensure_future(inject_fault(simulation, rng)))
            await asyncio.sleep(rng.uniform(0.0, 8.0))
            await simulation.poll()
        await simulation.cancel("wk-000002")
        await asyncio.gather(*faults)
        for worker in [m.worker for m in simulation.cloud.machines.values()]:
            worker.faulty = False
        simulation.checker.faults_ended_at = now()
        await wait_for_all_replicas(simulation, 90.0)
        await asyncio.sleep(15.0)
        await wait_for_all_replicas(simulation, 30.0)
        await cancel_services(simulation)

    run_scenario(scenario, seed)


def test_explain_names_the_machine_that_may_still_run_a_replica() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(service("wk-000001", 4))
        await wait_for_all_replicas(simulation, 20.0)
        await asyncio.sleep(5.0)
        leader = await simulation.wait_for_leader()
        node = simulation.nodes[leader]
        assert explain_waiting(node, node.cluster_state.jobs_by_id["wk-000001"], now()).startswith(
            "4 of 4 replicas running"
        )
        _, status = await simulation.ask_admin(leader, "status")
        assert status["backlog"]["batch"]["replicas"] == 4 == status["backlog"]["batch"]["serving"]
        lost = simulation.worker_running("wk-000001/0")
        simulation.network.partitions |= {frozenset((lost.name, n)) for n in NODES}
        # Without the cloud, the leader gets no confirmation that the machine is terminated.
        simulation.network.partitions.add(frozenset((leader, "cloud")))
        machine = node.fleet.find(lost.name)
        assert machine is not None
        while machine.health not in (Health.UNRESPONSIVE, Health.TERMINATING):
            await asyncio.sleep(0.1)
        explanation = explain_waiting(node, node.cluster_state.jobs_by_id["wk-000001"], now())
        assert f"may be on {lost.name}" in explanation, explanation
        assert "confirmed" in explanation, explanation
        simulation.network.partitions.clear()
        await asyncio.sleep(15.0)
        await wait_for_all_replicas(simulation, 20.0)
        await cancel_services(simulation)

    run_scenario(scenario)


def test_a_leader_partitioned_from_all_workers_is_replaced_and_terminates_no_machine() -> None:
    """The machines work and the other controllers get their heartbeats: the leader is at fault."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 30.0
        for n in range(3):
            team = ("red", "blue", "guest")[n]
            await simulation.submit(service(f"wk-{n:06d}", 4, team=team))
            await simulation.submit(
                job_spec(f"wk-{n + 10:06d}", 4, team=team, estimated_run_s=30.0)
            )
        await wait_for_all_replicas(simulation, 30.0)
        await asyncio.sleep(5.0)
        started_at = {
            task_id: at
            for task_id, at in simulation.checker.started_at.items()
            if task_id < "wk-000010"
        }
        machines = {simulation.worker_running(task_id).name for task_id in started_at}
        leader = await simulation.wait_for_leader()
        simulation.network.partitions |= {
            frozenset((leader, name)) for name in simulation.cloud.machines
        }
        await asyncio.sleep(15.0)
        assert simulation.leader not in (None, leader)
        assert machines <= simulation.cloud.machines.keys()
        simulation.network.partitions.clear()
        await wait_for_all_replicas(simulation, 20.0)
        await cancel_services(simulation)

    run_scenario(scenario)
