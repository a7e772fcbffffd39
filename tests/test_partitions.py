"""Partitions of machines, asymmetric or in both directions, and machines that hang."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.emulator.worker import Worker
from tests.scenario import now, other_controllers, run_scenario
from tests.simulation import NODES, Simulation, job_spec


@pytest.mark.parametrize("change", ["crash", "alone"])
@pytest.mark.parametrize("after_s", [0.5, 2.0, 4.0])
def test_tasks_of_a_new_incarnation_are_live_until_its_own_lease_expires(
    change: str, after_s: float
) -> None:
    """Commands reach the machines, but their heartbeats reach no controller.

    The lease of a new incarnation begins with it, also if it is never renewed. Its tasks must not
    count as lost when the lease of the previous incarnation expires.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        for n in range(2):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 3, team="guest", cores=1.0, estimated_run_s=60.0)
            )
        await simulation.wait_until_running(6)
        await asyncio.sleep(6.0)
        names = set(simulation.cloud.machines)
        workers = [m.worker for m in simulation.cloud.machines.values()]
        simulation.network.not_sending |= names
        await asyncio.sleep(2.0)
        leader = await simulation.wait_for_leader()
        cuts = {
            frozenset((leader, other)) for other in ("state", "cloud", *other_controllers(leader))
        }
        if change == "crash":
            simulation.crash(leader)
        else:
            simulation.network.partitions |= cuts
        while not any(worker.incarnation > 1 for worker in workers):
            await asyncio.sleep(0.1)
        await asyncio.sleep(after_s)
        for n in range(2, 5):
            spec = job_spec(f"wk-{n:06d}", 2, team="guest", cores=1.0, estimated_run_s=60.0)
            await simulation.submit(spec, nodes=other_controllers(leader))
            await asyncio.sleep(1.0)
        for _ in range(40):
            await asyncio.sleep(0.5)
            assert not simulation.checker.violations, simulation.checker.violations
        if change == "crash":
            simulation.boot(leader)
        simulation.network.partitions.clear()
        simulation.network.not_sending.clear()
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)


def recorded_start_count(simulation: Simulation, machine: str) -> int:
    return sum(
        len(tasks)
        for key, value in simulation.state_service.puts
        if key.startswith("pt/r/")
        for name, _, jobs in value
        if name == machine
        for _, tasks in jobs
    )


def test_machine_that_receives_nothing_gets_no_work_and_is_returned() -> None:
    """Such a machine looked idle each time its lease expired, and was given task after task."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 8.0
        await simulation.submit(job_spec("wk-000001", 30, estimated_run_s=30.0))
        await simulation.wait_until_running(6)
        unreachable = next(iter(simulation.cloud.machines))
        worker: Worker = simulation.cloud.machines[unreachable].worker
        simulation.network.not_receiving.add(unreachable)
        await asyncio.sleep(13.0)  # its lease has expired, and a heartbeat has shown it
        starts_before = recorded_start_count(simulation, unreachable)
        while not worker.terminated:
            await asyncio.sleep(0.5)
            assert now() < 160.0, "the machine was not returned"
        assert recorded_start_count(simulation, unreachable) <= starts_before + 2
        await simulation.wait_until_jobs_final(150.0)

    run_scenario(scenario)


def test_machine_is_used_again_after_a_short_asymmetric_partition() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 4.0
        await simulation.submit(job_spec("wk-000001", 60, estimated_run_s=30.0))
        await simulation.wait_until_running(6)
        unreachable = next(iter(simulation.cloud.machines))
        worker: Worker = simulation.cloud.machines[unreachable].worker
        simulation.network.not_receiving.add(unreachable)
        await asyncio.sleep(5.0)
        simulation.network.not_receiving.clear()
        before = recorded_start_count(simulation, unreachable)
        await asyncio.sleep(25.0)
        assert not worker.terminated
        assert recorded_start_count(simulation, unreachable) > before + 4
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)


def test_new_leader_returns_a_machine_that_receives_nothing() -> None:
    """Its heartbeats keep showing an old token, so it has not acknowledged the new epoch."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 30.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await simulation.wait_until_running(6)
        worker = simulation.worker_running(task_ids[0])
        await asyncio.sleep(3.0)
        simulation.network.not_receiving.add(worker.name)
        simulation.crash(await simulation.wait_for_leader())
        await asyncio.sleep(30.0)
        assert worker.terminated
        await simulation.wait_until_jobs_final(150.0)

    run_scenario(scenario)


def test_partitioned_machine_delays_only_its_own_tasks() -> None:
    """Its tasks start elsewhere only after its return is confirmed or its lease has expired."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 12.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await simulation.wait_until_running(6)
        partitioned_worker = simulation.worker_running(task_ids[0])
        simulation.network.partitions |= {frozenset((partitioned_worker.name, n)) for n in NODES}
        await simulation.submit(job_spec("wk-000002", 2, team="blue"))
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


def test_jobs_complete_after_a_machine_hangs_for_5_s() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 12.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await simulation.wait_until_running(6)
        worker = simulation.worker_running(task_ids[0])
        worker.hanging = True
        await asyncio.sleep(5.0)
        worker.hanging = False
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


USER_TIMEOUT_S = 2.0  # how long users wait for the answer to a poll, according to PROTOCOL
TRANSIT_S = 0.5  # of a user's request and its answer together


@pytest.mark.parametrize("phase_s", [0.1 * n for n in range(10)])
def test_poll_at_a_controller_without_the_state_service_is_answered_in_time(phase_s: float) -> None:
    """It waited for the timeout of the read in progress, and then for that of its own read."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 30.0
        await simulation.submit(job_spec("wk-000001", 4, estimated_run_s=60.0))
        await simulation.wait_until_running(4)
        leader = await simulation.wait_for_leader()
        simulation.network.partitions |= {
            frozenset((leader, other)) for other in ("state", "cloud", *other_controllers(leader))
        }
        await asyncio.sleep(1.2 + phase_s)
        asked_at = now()
        status, _ = await simulation.ask(leader, "GET", "/v2/runs/wk-000001")
        assert status == 503
        assert now() - asked_at < USER_TIMEOUT_S - TRANSIT_S
        simulation.network.partitions.clear()
        await simulation.wait_until_jobs_final(100.0)

    run_scenario(scenario)
