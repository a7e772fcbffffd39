"""Faults of the paper and of PROTOCOL, in virtual time, judged by their whole course."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.virtual import play
from tests.world import NODES, SMALL, Deployment, World, job

Scenario = Callable[[World], Awaitable[None]]


def run(scenario: Scenario, seed: int = 1, deployment: Deployment = SMALL) -> World:
    async def main() -> World:
        world = World(seed, deployment)
        await scenario(world)
        await world.calm(80.0)  # late messages get their chance
        assert not world.checker.violations, world.checker.violations
        assert world.checker.start_count > 0
        return world

    result: World = play(main())
    return result


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_quiet_day(seed: int) -> None:
    async def scenario(world: World) -> None:
        for n in range(6):
            crew = "red" if n % 2 else "blue"
            await world.submit(job(f"wk-{n:06d}", 3 + n, team=crew))
        await world.until_over(120.0)

    world = run(scenario, seed)
    assert world.checker.start_count == sum(3 + n for n in range(6))  # nothing ran in vain
    assert not world.cloud.machines  # everything went back
    left = [key for key in world.store.keys if key.startswith(("pt/c/", "pt/x/"))]
    assert not left  # every call to the cloud is settled and struck out


@pytest.mark.parametrize("startup_s", [5.0, 0.3])
def test_rental_reply_lost_after_it_was_carried_out(startup_s: float) -> None:
    """Machines up within a second report before anybody has told us of them."""

    async def scenario(world: World) -> None:
        lost = 0

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal lost
            if addr == "cloud:1" and method == "POST" and target == "/hosts" and lost < 2:
                lost += 1
                return 0.0, True
            return 0.0, False

        world.net.fate = fate
        await world.submit(job("wk-000001", 4))
        await world.until_over(60.0)
        assert lost == 2

    machine_types = tuple({**kind, "startup_s": startup_s} for kind in SMALL.machine_types)
    world = run(scenario, deployment=replace(SMALL, machine_types=machine_types))
    assert world.cloud.rented <= 3  # 4 tasks of 2 cores on machines of 4: repeated, not rented anew


def test_leader_replaced_before_the_rental_receipt_is_written() -> None:
    async def scenario(world: World) -> None:
        first = await world.led()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if addr == "cloud:1" and target == "/hosts" and method == "POST" and source == first:
                return 0.0, True
            return 0.0, False

        world.net.fate = fate
        await world.submit(job("wk-000001", 4))
        while not world.cloud.rented:
            await asyncio.sleep(0.05)
        world.crash(first)
        await world.until_over(60.0)
        world.boot(first)

    world = run(scenario)
    assert world.cloud.rented <= 4


def test_old_leader_wakes_up() -> None:
    """Cut from everything for a while, it must find that it may not act any more."""

    async def scenario(world: World) -> None:
        world.run_s = 25.0
        await world.submit(job("wk-000001", 6, estimated_run_s=60.0))
        await world.running(4)
        old = await world.led()
        others = {"state", "cloud", "user", *NODES} | set(world.cloud.machines)
        cuts = {frozenset((old, other)) for other in others if other != old}
        world.net.cut |= cuts
        await asyncio.sleep(12.0)
        new = next(n for n in NODES if n != old and world.nodes[n].election.is_leader)
        assert world.nodes[new].election.epoch > world.nodes[old].election.epoch
        world.net.cut -= cuts
        await asyncio.sleep(2.0)
        assert world.nodes[old].election.role is Role.FOLLOWER
        await world.until_over(120.0)

    run(scenario)


@pytest.mark.parametrize("delay", [6.0, 14.0, 30.0])
def test_late_direct_command(delay: float) -> None:
    """Held by the network and delivered after the leader, and perhaps the attempt, is over."""

    async def scenario(world: World) -> None:
        held = 0

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal held
            if target == "/do":
                held += 1
                return delay, False
            return 0.0, False

        world.net.fate = fate
        await world.submit(job("wk-000001", 6))
        await world.submit(job("wk-000002", 3, team="blue"))
        await world.running(2)
        await world.cancel("wk-000002")
        await asyncio.sleep(3.0)
        world.crash(await world.led())
        await world.until_over(120.0)
        assert held

    run(scenario)


def test_late_transaction() -> None:
    """The leader's claims are held; it loses the lead; they are applied or refused much later."""

    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 8))
        await world.running(2)
        old = await world.led()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if source == old and addr == "state:1" and target != "/watch":
                return 9.0, False
            return 0.0, False

        world.net.fate = fate
        await asyncio.sleep(10.0)
        world.net.fate = None
        await world.until_over(120.0)

    run(scenario)


def test_late_rental_is_used_or_returned() -> None:
    async def scenario(world: World) -> None:
        first = True

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal first
            if addr == "cloud:1" and method == "POST" and target == "/hosts" and first:
                first = False
                return 45.0, False
            return 0.0, False

        world.net.fate = fate
        await world.submit(job("wk-000001", 4))
        await world.until_over(60.0)
        await asyncio.sleep(60.0)

    world = run(scenario)
    assert not world.cloud.machines


def test_answers_of_check_ins_are_lost() -> None:
    """Every third answer vanishes: launches and forgets are repeated, nothing runs twice."""

    async def scenario(world: World) -> None:
        count = 0

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            nonlocal count
            if target in ("/checkin", "/do"):
                count += 1
                return 0.0, count % 3 == 0
            return 0.0, False

        world.net.fate = fate
        await world.submit(job("wk-000001", 12))
        await world.until_over(200.0)

    run(scenario)


def test_state_outage_longer_than_a_worker_lease_kills_no_work() -> None:
    async def scenario(world: World) -> None:
        world.run_s = 30.0
        await world.submit(job("wk-000001", 6, estimated_run_s=60.0))
        await world.running(6)
        world.store.set_outage(True)
        status, _ = await world.ask("n0", "GET", "/v2/runs/wk-000001")
        assert status == 503
        await asyncio.sleep(18.0)
        world.store.set_outage(False)
        await world.until_over(60.0)
        killed = sum(m.worker.killed_by_lease for m in world.cloud.machines.values())
        assert not killed

    world = run(scenario)
    assert world.checker.start_count == 6


def test_leader_refused_by_the_state_service_alone() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 10))
        await world.running(2)
        old = await world.led()
        world.store.refused.add(old)
        await asyncio.sleep(8.0)
        assert world.leader not in (None, old)
        status, _ = await world.ask(old, "GET", "/ready")
        assert status == 503
        await world.until_over(60.0)
        world.store.refused.clear()

    run(scenario)


def test_leader_whom_no_worker_reaches_resigns() -> None:
    async def scenario(world: World) -> None:
        world.run_s = 20.0
        await world.submit(job("wk-000001", 6, estimated_run_s=60.0))
        await world.running(6)
        old = await world.led()
        world.net.cut |= {frozenset((old, name)) for name in world.cloud.machines}
        await asyncio.sleep(12.0)
        assert world.leader not in (None, old)
        await world.until_over(120.0)

    run(scenario)


@pytest.mark.parametrize("pause", [0.3, 3.0, 12.0])
def test_all_controllers_restart(pause: float) -> None:
    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 12))
        await world.submit(job("wk-000002", 4, team="blue"))
        await world.running(4)
        for name in NODES:
            world.crash(name)
        await asyncio.sleep(pause)
        for name in NODES:
            world.boot(name)
        await world.until_over(120.0)

    run(scenario)


@pytest.mark.parametrize("after", [0.0, 0.3, 5.5, 6.2, 7.5])
def test_cancellation_races_a_start(after: float) -> None:
    async def scenario(world: World) -> None:
        world.run_s = 60.0
        await world.submit(job("wk-000001", 4))
        await world.submit(job("wk-000002", 2, team="blue"))
        await asyncio.sleep(after)
        assert await world.cancel("wk-000001") == "aborted"
        assert await world.cancel("wk-000001") == "aborted"
        await world.until_over(150.0)

    world = run(scenario)
    assert world.checker.statuses["wk-000001"] == "aborted"


def test_silent_machine_holds_only_its_own_tasks() -> None:
    """Its tasks start elsewhere only after a confirmed return or the end of its lease."""

    async def scenario(world: World) -> None:
        world.run_s = 12.0
        await world.submit(job("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await world.running(6)
        lost = world.where(task_ids[0])
        world.net.cut |= {frozenset((lost.name, n)) for n in NODES}
        await world.submit(job("wk-000002", 2, team="blue"))
        await world.until_over(120.0)

    run(scenario)


def test_hanging_machine_resumes() -> None:
    async def scenario(world: World) -> None:
        world.run_s = 12.0
        await world.submit(job("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await world.running(6)
        worker = world.where(task_ids[0])
        worker.frozen = True
        await asyncio.sleep(5.0)
        worker.frozen = False
        await world.until_over(120.0)

    run(scenario)


def test_faulty_machine_goes_back_and_its_job_completes_elsewhere() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 4))
        task_ids = await world.running(2)
        sick = world.where(task_ids[0])
        sick.faulty = True
        await world.submit(job("wk-000002", 6, team="blue"))
        await world.until_over(150.0)
        assert sick.dead

    run(scenario)


def test_limits_zones_and_kinds() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 20))
        await world.submit(job("wk-000002", 4, team="blue", zone="b", spot_allowed=False))
        await world.submit(job("wk-000003", 2, team="blue", single_zone=True))
        await world.until_over(200.0)

    run(scenario)


def test_final_states_outlive_their_records() -> None:
    """A repeated submission and a late poll get the final state, also from new processes."""

    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 2))
        await world.submit(job("wk-000002", 2, team="blue"))
        await world.cancel("wk-000002")
        await world.until_over(60.0)
        for name in NODES:
            world.crash(name)
            world.boot(name)
        await asyncio.sleep(3.0)
        for job_id, final in (("wk-000001", "done"), ("wk-000002", "aborted")):
            status, answer = await world.ask("n1", "POST", "/v2/runs", world.jobs[job_id])
            assert (status, answer["status"]) == (200, final)
        assert (await world.ask("n2", "GET", "/v2/runs/wk-999999"))[0] == 404

    run(scenario)


def test_no_effect_without_its_record() -> None:
    """Every task and every cloud call that reached the world stands in a record written before."""

    async def scenario(world: World) -> None:
        await world.submit(job("wk-000001", 6))
        await world.until_over(60.0)

    world = run(scenario)
    recorded = {
        f"{job_id}/{task}"
        for key, value in world.store.puts
        if key.startswith("pt/r/")
        for _, _, jobs in value
        for job_id, tasks in jobs
        for task in tasks
    }
    assert recorded == set(world.checker.started_at)
    charters = {key[len("pt/c/") :] for key, _ in world.store.puts if key.startswith("pt/c/")}
    assert set(world.cloud.granted) <= charters


def test_tasks_made_durable_by_another_leader_count_once() -> None:
    """A leader kept what it had not written, lost the lead, came back, and counted it twice."""

    async def scenario(world: World) -> None:
        world.run_s = 15.0
        await world.submit(job("wk-000001", 4, estimated_run_s=60.0))
        await world.running(2)
        node = world.nodes[await world.led()]
        found = node.cluster_state.jobs_by_id["wk-000001"]
        node.cluster_state.on_key("d/1", [["wk-000001", [0, 1]]], 1)
        world.checker.completed_tasks |= {"wk-000001/0", "wk-000001/1"}
        node.fleet.finished_tasks[found.index] = {0, 1}
        node.scheduler.wake.set()
        await asyncio.sleep(1.0)
        assert found.final_status is None
        await world.until_over(90.0)

    run(scenario)
