"""Cancellations during faults, through other controllers, and at the end of a job."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from petrelthread.emulator.worker import Worker
from petrelthread.leadership import Role
from tests.scenario import (
    now,
    other_controllers,
    query_and_resubmit_on_all_controllers,
    run_scenario,
    try_to_cancel_at,
)
from tests.simulation import NODES, Simulation, job_spec


@pytest.mark.parametrize("unread", ["refused", "watch lost", "watch slow"])
@pytest.mark.parametrize("before_s", [0.5, 2.0, 8.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_cancellation_unread_by_the_leader_takes_effect_during_a_long_outage(
    unread: str, before_s: float, seed: int
) -> None:
    """The leader has not read the cancellation and still receives heartbeats.

    A lease renewal does not show what others wrote. A leader that relied on renewals alone kept
    renewing the workers' leases while its watch failed, and tasks of cancelled jobs ran for longer
    than ``cancel_s``.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 200.0
        for n in (1, 2):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=200.0)
            )
        await simulation.wait_until_running(8)
        leader = await simulation.wait_for_leader()

        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if source == leader and target.startswith("/watch"):
                return (30.0, False) if unread == "watch slow" else (0.0, True)
            return 0.0, False

        if unread == "refused":
            simulation.state_service.refused_controllers.add(leader)
        else:
            simulation.network.delivery_rule = delivery
        # The open watch still returns one more change; the leader reads none after that.
        simulation.run_s_by_job["wk-000003"] = 1.0
        await simulation.submit(
            job_spec("wk-000003", 1, team="guest"), nodes=other_controllers(leader)
        )
        await asyncio.sleep(0.1)
        confirmed = 0
        until = now() + before_s
        while now() < until:
            if not confirmed and await try_to_cancel_at(
                simulation, "wk-000001", other_controllers(leader)
            ):
                confirmed += 1
            await asyncio.sleep(0.1)
        assert confirmed
        simulation.state_service.set_outage(True)
        if simulation.network.delivery_rule is not None:
            simulation.network.delivery_rule = None
        await asyncio.sleep(12.0)
        simulation.state_service.refused_controllers.clear()
        for _ in range(60):
            await asyncio.sleep(1.0)
            simulation.checker.check_cancellations()
            assert not simulation.checker.violations, simulation.checker.violations
        simulation.state_service.set_outage(False)
        await asyncio.sleep(5.0)
        await try_to_cancel_at(simulation, "wk-000002", list(NODES))
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario, seed)


def test_controller_in_lease_grace_stops_cancelled_tasks() -> None:
    """A final status never changes, so a leader in lease grace may stop the job's tasks."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 100.0
        await simulation.submit(job_spec("wk-000001", 4, estimated_run_s=100.0))
        await simulation.wait_until_running(4)
        leader = await simulation.wait_for_leader()
        unreachable = set(simulation.cloud.machines)
        simulation.network.not_receiving |= unreachable  # so that the first stop commands are lost
        assert await try_to_cancel_at(simulation, "wk-000001", list(NODES))
        await asyncio.sleep(0.5)
        simulation.state_service.set_outage(True)
        await asyncio.sleep(4.0)
        assert simulation.nodes[leader].election.role is Role.LEASE_GRACE
        simulation.network.not_receiving -= unreachable
        await asyncio.sleep(4.0)
        assert not any(simulation.checker.machines_by_task.values())
        simulation.state_service.set_outage(False)
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


def test_leader_that_has_not_read_a_cancellation_starts_no_task_of_the_job() -> None:
    """No task may start after the confirmation, however far behind the leader's watch is."""

    async def scenario(simulation: Simulation) -> None:
        leader = await simulation.wait_for_leader()
        for n in (1, 2):
            await simulation.submit(job_spec(f"wk-{n:06d}", 2, estimated_run_s=5.0))
        await asyncio.sleep(1.0)
        simulation.network.delivery_rule = lambda source, addr, method, target, body: (
            (0.0, source == leader and target.startswith("/watch"))
        )
        await asyncio.sleep(0.2)
        await simulation.submit(
            job_spec("wk-000003", 1), nodes=other_controllers(leader)
        )  # makes the open watch return
        assert await try_to_cancel_at(simulation, "wk-000001", other_controllers(leader))
        await asyncio.sleep(8.0)  # longer than its machines take to boot
        simulation.network.delivery_rule = None
        await simulation.wait_until_jobs_final(60.0)
        assert not [
            task_id for task_id in simulation.checker.started_at if task_id.startswith("wk-000001/")
        ]

    run_scenario(scenario)


def make_unreachable(simulation: Simulation, fault: str, names: set[str]) -> list[Worker]:
    """Make machines partitioned, hanging or unable to receive; return their workers."""
    workers = [simulation.cloud.machines[name].worker for name in names]
    if fault == "cut":
        simulation.network.partitions |= {
            frozenset((name, node)) for name in names for node in NODES
        }
    elif fault == "not receiving":
        simulation.network.not_receiving |= names
    else:
        for worker in workers:
            worker.hanging = True
    return workers


def end_unreachability(simulation: Simulation, workers: list[Worker]) -> None:
    for worker in workers:
        worker.hanging = False
    simulation.network.not_receiving.clear()
    simulation.network.partitions.clear()
    simulation.checker.faults_ended_at = now()


async def disturb_leader(simulation: Simulation, change: str) -> None:
    """Pause the leader, have the state service refuse it, or restart it."""
    leader = await simulation.wait_for_leader()
    if change == "paused":
        await simulation.pause(leader, 8.0)
    elif change == "refused":
        simulation.state_service.refused_controllers.add(leader)
        await asyncio.sleep(8.0)
        simulation.state_service.refused_controllers.clear()
    else:
        simulation.crash(leader)
        await asyncio.sleep(0.1 if change == "quick" else 5.0)
        simulation.boot(leader)


@pytest.mark.parametrize("fault", ["cut", "hangs", "not receiving"])
@pytest.mark.parametrize("change", ["crash", "quick", "refused", "paused"])
def test_cancelled_tasks_on_unreachable_machines_use_quota_until_they_end(
    fault: str, change: str
) -> None:
    """Each leader counts cancelled tasks in their team's quota until they have certainly ended."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        for n in range(6):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=60.0)
            )
        task_ids = await simulation.wait_until_running(12)  # both quotas of 12 cores are used
        first = {task_id.rpartition("/")[0] for task_id in task_ids}
        names = {simulation.worker_running(task_id).name for task_id in task_ids[:5]}
        workers = make_unreachable(simulation, fault, names)
        await asyncio.gather(*(simulation.cancel(job_id) for job_id in sorted(first)[:2]))
        await disturb_leader(simulation, change)
        for _ in range(16):
            await asyncio.sleep(0.5)
            simulation.checker.check_cancellations()
        end_unreachability(simulation, workers)
        for _ in range(40):
            await asyncio.sleep(1.0)
            await simulation.poll()
            simulation.checker.check_cancellations()
        for job_id in simulation.jobs:
            await simulation.cancel(job_id)
        await simulation.wait_until_jobs_final(100.0)

    run_scenario(scenario)


@pytest.mark.parametrize("change", ["crash", "quick", "resigns", "rolls", "refused"])
@pytest.mark.parametrize("seed", [1, 2])
def test_cancellations_during_a_failover_stop_all_tasks(change: str, seed: int) -> None:
    """Users cancel before, during and after the failover, through any running controller."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 50.0
        for n in range(10):
            team = ("red", "blue", "guest")[n % 3]
            await simulation.submit(job_spec(f"wk-{n:06d}", 2, team=team, estimated_run_s=50.0))
        await simulation.wait_until_running(8)

        async def users() -> None:
            for n in range(8):
                await asyncio.sleep(simulation.random.uniform(0.0, 0.9))
                await simulation.cancel(f"wk-{n:06d}")
                await query_and_resubmit_on_all_controllers(simulation, f"wk-{n:06d}")

        cancelling = asyncio.ensure_future(users())
        await asyncio.sleep(0.5)
        leader = await simulation.wait_for_leader()
        if change == "resigns":
            await simulation.nodes[leader].election.resign("a test asks for it", 15.0)
        elif change == "refused":
            simulation.state_service.refused_controllers.add(leader)
            await asyncio.sleep(6.0)
            simulation.state_service.refused_controllers.clear()
        else:
            for name in [leader] if change != "rolls" else [*other_controllers(leader), leader]:
                simulation.crash(name)
                await asyncio.sleep(3.0 if change == "crash" else 0.2)
                simulation.boot(name)
                await asyncio.sleep(0.4)
        await cancelling
        await asyncio.sleep(12.0)
        running = simulation.checker.machines_by_task
        running_jobs = {
            task_id.rpartition("/")[0] for task_id, machines in running.items() if machines
        }
        assert not running_jobs & set(simulation.checker.cancelled_at)
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_jobs_final(150.0)

    run_scenario(scenario, seed)


def test_cancellations_are_confirmed_within_2_s_while_many_small_jobs_run() -> None:
    """Of 240 jobs, all are accepted, none is lost, and a quarter is cancelled."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.wait_for_leader()
        simulation.run_s = 2.0
        latencies_s: list[float] = []

        async def user(number: int) -> None:
            job_id = f"wk-{number:06d}"
            await simulation.submit(
                job_spec(job_id, 1, team="guest", cores=0.5, estimated_run_s=2.0)
            )
            if number % 4 == 0:
                await asyncio.sleep(simulation.random.uniform(0.0, 2.0))
                requested_at = now()
                await simulation.cancel(job_id)
                latencies_s.append(now() - requested_at)

        users = []
        for n in range(240):
            users.append(asyncio.ensure_future(user(n)))
            await asyncio.sleep(0.25)
        await asyncio.gather(*users)
        assert max(latencies_s) < 2.0
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_job_gets_one_final_status_when_a_cancellation_races_with_its_last_task(seed: int) -> None:
    """The status is done or aborted for all users, and done only if all tasks completed.

    Cancellations, queries and repeated submissions arrive around the end of the last task.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 3.0
        await simulation.wait_for_leader()

        async def user(number: int) -> None:
            job_id = f"wk-{number:06d}"
            spec = job_spec(job_id, 1 + number % 2, team=("red", "blue", "guest")[number % 3])
            await simulation.submit(spec)
            last = f"{job_id}/{spec['legs'] - 1}"
            while last not in simulation.checker.completed_tasks:
                await asyncio.sleep(0.02)
            await asyncio.sleep(simulation.random.uniform(0.0, 0.6))
            await asyncio.gather(
                *(
                    simulation.try_to_cancel(job_id, node)
                    for node in simulation.random.sample(NODES, 2)
                ),
                query_and_resubmit_on_all_controllers(simulation, job_id),
            )
            await query_and_resubmit_on_all_controllers(simulation, job_id)

        await asyncio.gather(*(user(n) for n in range(12)))
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("after", [0.0, 0.3, 5.5, 6.2, 7.5])
def test_job_cancelled_while_its_tasks_start_stays_cancelled(after: float) -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 4))
        await simulation.submit(job_spec("wk-000002", 2, team="blue"))
        await asyncio.sleep(after)
        assert await simulation.cancel("wk-000001") == "aborted"
        assert await simulation.cancel("wk-000001") == "aborted"
        await simulation.wait_until_jobs_final(150.0)

    simulation = run_scenario(scenario)
    assert simulation.checker.statuses["wk-000001"] == "aborted"
