"""Failovers: what a new leader waits for, and what a former leader may still do."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.scenario import now, other_controllers, run_scenario, try_to_cancel_at
from tests.simulation import NODES, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


def test_leader_with_a_renewed_lease_commands_nothing_before_it_reads_the_state() -> None:
    """An outage gives the lease its full duration again, although the leader's state is stale."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 100.0
        await simulation.submit(job_spec("wk-000001", 4, estimated_run_s=100.0))
        await simulation.wait_until_running(4)
        leader = await simulation.wait_for_leader()
        election = simulation.nodes[leader].election
        simulation.state_service.set_outage(True)
        await asyncio.sleep(13.0)  # longer than the timeout of a watch
        assert election.role is Role.LEASE_GRACE

        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            is_lost = source == leader and target.startswith(("/watch", "/keys"))
            return (0.0, is_lost)

        simulation.network.delivery_rule = delivery
        simulation.state_service.set_outage(False)
        assert await try_to_cancel_at(simulation, "wk-000001", other_controllers(leader))
        for _ in range(20):
            await asyncio.sleep(0.1)
            known = simulation.nodes[leader].cluster_state.jobs_by_id["wk-000001"].final_status
            assert known or not (election.is_leader and election.fence())
        simulation.network.delivery_rule = None
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


@pytest.mark.parametrize("inside_an_outage", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_complete_through_ten_leader_changes(inside_an_outage: bool, seed: int) -> None:
    """Ten crashes or resignations within two minutes.

    Each job has two or three tasks that end far apart, so that its records outlive several leaders.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s, simulation.run_time_spread_s = 4.0, 45.0
        for n in range(10):
            team = ("red", "blue", "guest")[n % 3]
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 2 + n % 2, team=team, cores=1.0, estimated_run_s=20.0)
            )
        await simulation.wait_until_running(10)
        for n in range(10):
            await asyncio.sleep(simulation.random.uniform(2.0, 9.0))
            outage = inside_an_outage and n % 3 == 1
            simulation.state_service.set_outage(outage)
            name = simulation.leader or simulation.random.choice(NODES)
            if n % 4 == 3 and not outage:
                await simulation.nodes[name].election.resign("a test asks for it", 4.0)
            else:
                simulation.crash(name)
                await asyncio.sleep(simulation.random.choice([0.05, 0.5, 4.0]))
                simulation.boot(name)
            await simulation.poll()
        simulation.state_service.set_outage(False)
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_jobs_final(150.0)

    run_scenario(scenario, seed)


def test_isolated_leader_is_a_follower_after_its_partition_ends() -> None:
    """The leader is partitioned from all other processes until another one is elected."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 25.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        await simulation.wait_until_running(4)
        old = await simulation.wait_for_leader()
        others = {"state", "cloud", "user", *NODES} | set(simulation.cloud.machines)
        cuts = {frozenset((old, other)) for other in others if other != old}
        simulation.network.partitions |= cuts
        await asyncio.sleep(12.0)
        new = next(n for n in NODES if n != old and simulation.nodes[n].election.is_leader)
        assert simulation.nodes[new].election.epoch > simulation.nodes[old].election.epoch
        simulation.network.partitions -= cuts
        await asyncio.sleep(2.0)
        assert simulation.nodes[old].election.role is Role.FOLLOWER
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


def test_leader_refused_by_the_state_service_is_replaced() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 10))
        await simulation.wait_until_running(2)
        old = await simulation.wait_for_leader()
        simulation.state_service.refused_controllers.add(old)
        await asyncio.sleep(8.0)
        assert simulation.leader not in (None, old)
        status, _ = await simulation.ask(old, "GET", "/ready")
        assert status == 503
        await simulation.wait_until_jobs_final(60.0)
        simulation.state_service.refused_controllers.clear()

    run_scenario(scenario)


def test_leader_partitioned_from_all_workers_is_replaced() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 20.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        simulation.network.partitions |= {
            frozenset((old, name)) for name in simulation.cloud.machines
        }
        await asyncio.sleep(12.0)
        assert simulation.leader not in (None, old)
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


@pytest.mark.parametrize("pause", [0.3, 3.0, 12.0])
def test_jobs_complete_after_all_controllers_restart(pause: float) -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 12))
        await simulation.submit(job_spec("wk-000002", 4, team="blue"))
        await simulation.wait_until_running(4)
        for name in NODES:
            simulation.crash(name)
        await asyncio.sleep(pause)
        for name in NODES:
            simulation.boot(name)
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


@pytest.mark.parametrize("cloud_too", [False, True])
def test_leader_that_reaches_only_workers_steps_down(cloud_too: bool) -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 4, estimated_run_s=60.0))
        await simulation.submit(job_spec("wk-000002", 4, team="blue", estimated_run_s=60.0))
        await simulation.wait_until_running(8)
        old = await simulation.wait_for_leader()
        since = now()
        others = {"state", "cloud", *NODES} - {old}
        simulation.network.partitions |= {frozenset((old, other)) for other in others}
        # No other controller reaches the workers, and with cloud_too none can return machines.
        machines = set(simulation.cloud.machines)
        simulation.network.partitions |= {
            frozenset((m, n)) for m in machines for n in NODES if n != old
        }
        if cloud_too:
            simulation.network.partitions |= {frozenset(("cloud", n)) for n in NODES}
        await asyncio.sleep(1.2)
        before = now()
        status, _ = await simulation.ask(old, "GET", "/v2/runs/wk-000001")
        assert status == 503
        status, _ = await simulation.ask(old, "POST", "/v2/runs", job_spec("wk-000009", 1))
        assert status == 503
        assert now() - before < 2.5
        assert await simulation.cancel("wk-000002") == "aborted"
        starts = simulation.checker.start_count
        while now() < since + 23.0 + 9.0:
            if cloud_too and now() < since + 23.0:
                # The old leader still renews the workers' leases, so no task may start.
                assert simulation.checker.start_count == starts
            assert simulation.nodes[old].election.role is not Role.LEADING or now() < since + 4.0
            await asyncio.sleep(0.5)
        assert simulation.nodes[old].election.role is Role.FOLLOWER
        simulation.network.partitions.clear()
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_late_duplicates_of_requests_have_no_effect_after_quick_restarts(seed: int) -> None:
    rng = random.Random(seed)
    nonces: dict[int, set[str]] = {}

    def duplicate(source: str, addr: str, method: str, target: str) -> float | None:
        wanted = method != "GET" and (addr.startswith(("state", "cloud")) or target == "/do")
        return rng.uniform(0.02, 6.0) if wanted and rng.random() < 0.6 else None

    async def scenario(simulation: Simulation) -> None:
        simulation.network.duplicate_rule = duplicate
        for n in range(3):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=20.0)
            )
        for _ in range(6):
            name = rng.choice(NODES)
            simulation.crash(name)
            await asyncio.sleep(rng.uniform(0.02, 0.4))
            simulation.boot(name)
            await asyncio.sleep(rng.choice([0.05, 0.2, 0.6, 4.0]))
        leader = await simulation.wait_for_leader()
        simulation.crash(leader)
        await asyncio.sleep(0.1)
        simulation.boot(leader)  # the next crash comes in the middle of its election
        await asyncio.sleep(0.35)
        simulation.crash(leader)
        simulation.boot(leader)
        await simulation.wait_until_jobs_final(200.0)
        for key, value in simulation.state_service.puts:
            if key == "pt/lead":
                nonces.setdefault(value["epoch"], set()).add(value["nonce"])
        assert all(len(epoch_nonces) == 1 for epoch_nonces in nonces.values()), nonces
        assert all(len(bodies) == 1 for bodies in simulation.cloud.request_bodies_by_key.values())
        rounds: dict[str, set[str]] = {}
        for key, value in simulation.state_service.puts:
            if key.startswith("pt/r/"):
                rounds.setdefault(key, set()).add(repr(value))
        assert all(len(written) == 1 for written in rounds.values())

    run_scenario(scenario, seed)
    assert nonces


def test_new_leader_is_elected_within_8_s_of_a_crash() -> None:
    """The old leader is down for 90 s."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 10.0
        for n in range(1, 5):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        simulation.crash(old)
        crashed_at = now()
        await simulation.wait_for_leader()
        assert now() < crashed_at + 8.0  # lease, election and reload
        await asyncio.sleep(crashed_at + 90.0 - now())
        simulation.boot(old)
        await simulation.wait_until_jobs_final(100.0)

    run_scenario(scenario)


def test_new_leader_reads_workers_that_wait_for_a_paused_controller() -> None:
    """Such workers find the new leader only after their timeout of 4 s and 1 s more.

    Until they did, no task was placed on them. The new leader reads them itself instead.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 4.0
        await simulation.submit(job_spec("wk-000001", 60, estimated_run_s=4.0))
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        pausing = asyncio.ensure_future(simulation.pause(old, 30.0))
        while simulation.leader in (None, old):
            await asyncio.sleep(0.1)
        elected = now()
        node = simulation.nodes[str(simulation.leader)]
        await asyncio.sleep(1.8)
        usable = sum(node.fleet.is_schedulable(m) for m in node.fleet.machines.values())
        assert usable >= 3, usable
        assert now() - elected < 2.0
        await pausing
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario)


MAX_RESTART_S = 8.0  # from the election until all tasks of a lost machine have restarted


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_tasks_of_a_machine_lost_with_the_leader_restart_within_8_s(seed: int) -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        lost_worker = simulation.worker_running(task_ids[0])
        lost_task_ids = [
            task_id for task_id in task_ids if simulation.worker_running(task_id) is lost_worker
        ]
        simulation.network.partitions.update(
            frozenset((lost_worker.name, node)) for node in simulation.nodes
        )
        simulation.crash(old)
        while simulation.leader is None:
            await asyncio.sleep(0.05)
        elected = now()
        while not all(
            any(
                name != lost_worker.name
                for name in simulation.checker.machines_by_task.get(task_id, ())
            )
            for task_id in lost_task_ids
        ):
            await asyncio.sleep(0.05)
            assert now() - elected < MAX_RESTART_S
        simulation.boot(old)
        await simulation.wait_until_jobs_final(300.0)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_new_leader_keeps_tasks_that_heartbeats_list_when_reads_fail(seed: int) -> None:
    """Neither reads nor direct commands reach the workers, but their heartbeats arrive."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 30.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=30.0))
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()

        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            return None if target in ("/show", "/do") else (0.0, False)

        simulation.network.delivery_rule = delivery
        simulation.crash(old)
        await asyncio.sleep(12.0)
        simulation.network.delivery_rule = None
        simulation.boot(old)
        await simulation.wait_until_jobs_final(300.0)

    simulation = run_scenario(scenario, seed)
    assert simulation.checker.start_count == 6


def test_heartbeat_timeout_is_a_worker_lease_while_requests_are_shed() -> None:
    async def main() -> None:
        simulation = Simulation(1)
        node = simulation.nodes[await simulation.wait_for_leader()]
        usual = node.scheduling_loop.unresponsive_after_s(now())
        assert usual < simulation.workers.lease_s
        node.load_shedder.last_shed_at = now()
        assert node.scheduling_loop.unresponsive_after_s(now()) == simulation.workers.lease_s
        assert node.scheduling_loop.unresponsive_after_s(now() + usual + 1.0) == usual

    run_in_virtual_time(main())
