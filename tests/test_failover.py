"""Changes of the leader: what a new leader waits for, and what an old one may still do."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.scenario import cancel_at, now, other_controllers, run
from tests.simulation import NODES, Simulation, job
from tests.virtual import play


def test_a_renewed_lease_commands_nothing_before_the_state_is_read() -> None:
    """After an outage the lease had its time back, and the leader led again with old knowledge."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 100.0
        await simulation.submit(job("wk-000001", 4, estimated_run_s=100.0))
        await simulation.wait_until_running(4)
        leader = await simulation.wait_for_leader()
        election = simulation.nodes[leader].election
        simulation.state_service.set_outage(True)
        await asyncio.sleep(13.0)  # longer than a watch stays open
        assert election.role is Role.LEASE_GRACE

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            lost = source == leader and target.startswith(("/watch", "/keys"))
            return (0.0, lost)

        simulation.net.delivery_rule = fate
        simulation.state_service.set_outage(False)
        assert await cancel_at(simulation, "wk-000001", other_controllers(leader))
        for _ in range(20):
            await asyncio.sleep(0.1)
            knows = simulation.nodes[leader].cluster_state.jobs_by_id["wk-000001"].final_status
            assert knows or not (election.is_leader and election.fence())
        simulation.net.delivery_rule = None
        await simulation.wait_until_over(60.0)

    run(scenario)


@pytest.mark.parametrize("inside_an_outage", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_ten_leaders_in_two_minutes(inside_an_outage: bool, seed: int) -> None:
    """Jobs of two or three tasks that end far apart, so that records outlive several leaders."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s, simulation.spread_s = 4.0, 45.0
        for n in range(10):
            crew = ("red", "blue", "guest")[n % 3]
            await simulation.submit(
                job(f"wk-{n:06d}", 2 + n % 2, team=crew, cores=1.0, estimated_run_s=20.0)
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
        await simulation.wait_until_over(150.0)

    run(scenario, seed)


def test_an_old_leader_that_resumes_is_fenced() -> None:
    """Cut from everything for a while, it must find that it may not act any more."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 25.0
        await simulation.submit(job("wk-000001", 6, estimated_run_s=60.0))
        await simulation.wait_until_running(4)
        old = await simulation.wait_for_leader()
        others = {"state", "cloud", "user", *NODES} | set(simulation.cloud.machines)
        cuts = {frozenset((old, other)) for other in others if other != old}
        simulation.net.partitions |= cuts
        await asyncio.sleep(12.0)
        new = next(n for n in NODES if n != old and simulation.nodes[n].election.is_leader)
        assert simulation.nodes[new].election.epoch > simulation.nodes[old].election.epoch
        simulation.net.partitions -= cuts
        await asyncio.sleep(2.0)
        assert simulation.nodes[old].election.role is Role.FOLLOWER
        await simulation.wait_until_over(120.0)

    run(scenario)


def test_a_leader_refused_by_the_state_service_alone_is_replaced() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000001", 10))
        await simulation.wait_until_running(2)
        old = await simulation.wait_for_leader()
        simulation.state_service.refused.add(old)
        await asyncio.sleep(8.0)
        assert simulation.leader not in (None, old)
        status, _ = await simulation.ask(old, "GET", "/ready")
        assert status == 503
        await simulation.wait_until_over(60.0)
        simulation.state_service.refused.clear()

    run(scenario)


def test_a_leader_that_no_worker_reaches_resigns() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 20.0
        await simulation.submit(job("wk-000001", 6, estimated_run_s=60.0))
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        simulation.net.partitions |= {frozenset((old, name)) for name in simulation.cloud.machines}
        await asyncio.sleep(12.0)
        assert simulation.leader not in (None, old)
        await simulation.wait_until_over(120.0)

    run(scenario)


@pytest.mark.parametrize("pause", [0.3, 3.0, 12.0])
def test_all_controllers_restart(pause: float) -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000001", 12))
        await simulation.submit(job("wk-000002", 4, team="blue"))
        await simulation.wait_until_running(4)
        for name in NODES:
            simulation.crash(name)
        await asyncio.sleep(pause)
        for name in NODES:
            simulation.boot(name)
        await simulation.wait_until_over(120.0)

    run(scenario)


@pytest.mark.parametrize("cloud_too", [False, True])
def test_a_leader_that_reaches_only_its_workers_is_fenced(cloud_too: bool) -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job("wk-000001", 4, estimated_run_s=60.0))
        await simulation.submit(job("wk-000002", 4, team="blue", estimated_run_s=60.0))
        await simulation.wait_until_running(8)
        old = await simulation.wait_for_leader()
        since = now()
        others = {"state", "cloud", *NODES} - {old}
        simulation.net.partitions |= {frozenset((old, other)) for other in others}
        # Nobody else hears the workers, and perhaps the machines cannot be returned either.
        machines = set(simulation.cloud.machines)
        simulation.net.partitions |= {
            frozenset((m, n)) for m in machines for n in NODES if n != old
        }
        if cloud_too:
            simulation.net.partitions |= {frozenset(("cloud", n)) for n in NODES}
        await asyncio.sleep(1.2)
        before = now()
        status, _ = await simulation.ask(old, "GET", "/v2/runs/wk-000001")
        assert status == 503
        status, _ = await simulation.ask(old, "POST", "/v2/runs", job("wk-000009", 1))
        assert status == 503
        assert now() - before < 2.5
        assert await simulation.cancel("wk-000002") == "aborted"
        starts = simulation.checker.start_count
        while now() < since + 23.0 + 9.0:
            if cloud_too and now() < since + 23.0:
                # It renews their leases: nothing may start.
                assert simulation.checker.start_count == starts
            assert simulation.nodes[old].election.role is not Role.LEADING or now() < since + 4.0
            await asyncio.sleep(0.5)
        assert simulation.nodes[old].election.role is Role.FOLLOWER
        simulation.net.partitions.clear()
        await simulation.wait_until_over(200.0)

    run(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_quick_restarts_with_late_copies_of_requests_from_before(seed: int) -> None:
    chance = random.Random(seed)
    nonces: dict[int, set[str]] = {}

    def copy(source: str, addr: str, method: str, target: str) -> float | None:
        wanted = method != "GET" and (addr.startswith(("state", "cloud")) or target == "/do")
        return chance.uniform(0.02, 6.0) if wanted and chance.random() < 0.6 else None

    async def scenario(simulation: Simulation) -> None:
        simulation.net.duplicate_rule = copy
        for n in range(3):
            await simulation.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=20.0)
            )
        for _ in range(6):
            name = chance.choice(NODES)
            simulation.crash(name)
            await asyncio.sleep(chance.uniform(0.02, 0.4))
            simulation.boot(name)
            await asyncio.sleep(chance.choice([0.05, 0.2, 0.6, 4.0]))
        leader = await simulation.wait_for_leader()
        simulation.crash(leader)
        await asyncio.sleep(0.1)
        simulation.boot(leader)  # it is in the middle of its election when it goes again
        await asyncio.sleep(0.35)
        simulation.crash(leader)
        simulation.boot(leader)
        await simulation.wait_until_over(200.0)
        for key, value in simulation.state_service.puts:
            if key == "pt/lead":
                nonces.setdefault(value["epoch"], set()).add(value["nonce"])
        assert all(len(held) == 1 for held in nonces.values()), nonces
        assert all(len(asked) == 1 for asked in simulation.cloud.requests.values())
        rounds: dict[str, set[str]] = {}
        for key, value in simulation.state_service.puts:
            if key.startswith("pt/r/"):
                rounds.setdefault(key, set()).add(repr(value))
        assert all(len(written) == 1 for written in rounds.values())

    run(scenario, seed)
    assert nonces


def test_the_leader_is_down_for_90_s() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 10.0
        for n in range(1, 5):
            await simulation.submit(
                job(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        simulation.crash(old)
        at = now()
        await simulation.wait_for_leader()
        assert now() < at + 8.0  # lease, election and reload
        await asyncio.sleep(at + 90.0 - now())
        simulation.boot(old)
        await simulation.wait_until_over(100.0)

    run(scenario)


def test_a_new_leader_reads_workers_whose_controller_hangs() -> None:
    """They wait 4 s for its answer and 1 s more; until they came, nothing was placed on them."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 4.0
        await simulation.submit(job("wk-000001", 60, estimated_run_s=4.0))
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        still = asyncio.ensure_future(simulation.pause(old, 30.0))
        while simulation.leader in (None, old):
            await asyncio.sleep(0.1)
        elected = now()
        node = simulation.nodes[str(simulation.leader)]
        await asyncio.sleep(1.8)
        usable = sum(node.fleet.is_schedulable(m) for m in node.fleet.machines.values())
        assert usable >= 3, usable
        assert now() - elected < 2.0
        await still
        await simulation.wait_until_over(200.0)

    run(scenario)


RESTARTED_S = 8.0  # from the election to the first start of what was on a dead machine


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_work_of_a_machine_that_died_with_the_leader_starts_soon(seed: int) -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()
        lost = simulation.worker_running(task_ids[0])
        gone = [task_id for task_id in task_ids if simulation.worker_running(task_id) is lost]
        simulation.net.partitions.update(frozenset((lost.name, node)) for node in simulation.nodes)
        simulation.crash(old)
        while simulation.leader is None:
            await asyncio.sleep(0.05)
        elected = now()
        while not all(
            any(name != lost.name for name in simulation.checker.machines_by_task.get(task_id, ()))
            for task_id in gone
        ):
            await asyncio.sleep(0.05)
            assert now() - elected < RESTARTED_S
        simulation.boot(old)
        await simulation.wait_until_over(300.0)

    run(scenario, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_machines_that_report_to_the_new_leader_keep_their_work(seed: int) -> None:
    """Direct commands do not reach them, so none can be read; their reports come."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 30.0
        await simulation.submit(job("wk-000001", 6, estimated_run_s=30.0))
        await simulation.wait_until_running(6)
        old = await simulation.wait_for_leader()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            return None if target in ("/show", "/do") else (0.0, False)

        simulation.net.delivery_rule = fate
        simulation.crash(old)
        await asyncio.sleep(12.0)
        simulation.net.delivery_rule = None
        simulation.boot(old)
        await simulation.wait_until_over(300.0)

    simulation = run(scenario, seed)
    assert simulation.checker.start_count == 6


def test_silence_proves_less_while_heartbeats_are_shed() -> None:
    async def main() -> None:
        simulation = Simulation(1)
        node = simulation.nodes[await simulation.wait_for_leader()]
        usual = node.scheduling_loop.unresponsive_after_s(now())
        assert usual < simulation.workers.lease_s
        node.load_shedder.last_shed_at = now()
        assert node.scheduling_loop.unresponsive_after_s(now()) == simulation.workers.lease_s
        assert node.scheduling_loop.unresponsive_after_s(now() + usual + 1.0) == usual

    play(main())
