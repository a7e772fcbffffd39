"""Transactions whose answer is lost, which are carried out at once, late, or twice."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.scenario import cancel_at, lost_transaction_answers, now, query_all_controllers, run
from tests.virtual import play
from tests.world import NODES, World, job


@pytest.mark.parametrize("trouble", ["none", "lost", "late", "slow", "leader ends", "rolls"])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_controller_answers_older_than_another_has(trouble: str, seed: int) -> None:
    """Right after a job was accepted, ended or cancelled no node may answer anything older."""

    async def scenario(world: World) -> None:
        await world.led()
        if trouble in ("lost", "late"):
            world.net.fate = lost_transaction_answers(world, 0.3, trouble == "late")
        elif trouble == "slow":
            world.net.fate = lambda source, addr, method, target, body: (
                (world.random.uniform(0.0, 0.8), False) if addr == "state:1" else (0.0, False)
            )

        async def user(number: int) -> None:
            job_id = f"wk-{number:06d}"
            await asyncio.sleep(number * 1.5)
            spec = job(job_id, 1 + number % 3, team=("red", "blue", "guest")[number % 3])
            await world.submit(spec)
            await query_all_controllers(world, job_id)
            if number % 3 == 0:
                await asyncio.sleep(world.random.choice([0.0, 2.0, 6.0]))
                await world.cancel(job_id)
                await query_all_controllers(world, job_id)
            for _ in range(40):
                await asyncio.sleep(0.5)
                await query_all_controllers(world, job_id)
                if world.checker.statuses.get(job_id) in ("done", "aborted"):
                    await query_all_controllers(world, job_id)
                    return

        users = [asyncio.ensure_future(user(n)) for n in range(12)]
        for _ in range(4):
            await asyncio.sleep(4.0)
            if trouble == "leader ends":
                leader = await world.led()
                world.crash(leader)
                await asyncio.sleep(world.random.choice([0.1, 2.0]))
                world.boot(leader)
            elif trouble == "rolls":
                for name in NODES:
                    world.crash(name)
                    await asyncio.sleep(0.3)
                    world.boot(name)
                    await asyncio.sleep(0.5)
        await asyncio.gather(*users)
        world.net.fate = None
        world.checker.faults_ended_at = now()
        await world.until_over(150.0)

    run(scenario, seed)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_transactions_without_an_answer_while_leaders_end(late: bool, seed: int) -> None:
    """Submissions, cancellations, claims, elections, final states; late ones after newer ones."""

    async def scenario(world: World) -> None:
        world.spread_s = 6.0
        world.net.fate = lost_transaction_answers(world, 0.35, late)
        for n in range(6):
            await world.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        await world.running(2)
        for n in range(5):
            await asyncio.sleep(world.random.uniform(1.0, 7.0))
            leader = world.leader
            if leader is not None:
                world.crash(leader)
                await asyncio.sleep(world.random.choice([0.05, 0.4, 3.0]))
                world.boot(leader)
            await cancel_at(world, f"wk-{n:06d}", list(world.nodes)) if n % 2 else None
            await world.poll()
        world.net.fate = None
        world.checker.faults_ended_at = now()
        await world.until_over(200.0)

    run(scenario, seed)


@pytest.mark.parametrize("late_s", [0.0, 3.0])
def test_the_claim_of_a_start_is_unanswered_and_the_leader_ends(late_s: float) -> None:
    """Nothing is sent before the claim is known to count, so nobody starts it beside the next."""

    async def scenario(world: World) -> None:
        world.run_s = 15.0
        first = await world.led()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            rounds = target == "/multi" and "pt/r/" in str(body["apply"])
            return (late_s, True) if rounds and source == first else (0.0, False)

        world.net.fate = fate
        await world.submit(job("wk-000001", 6, estimated_run_s=15.0))
        await asyncio.sleep(9.0)
        world.crash(first)
        await world.led()
        world.boot(first)
        world.checker.faults_ended_at = now()
        await world.until_over(120.0)

    run(scenario)


def test_a_late_transaction_of_an_old_leader_is_refused() -> None:
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


@pytest.mark.parametrize("role", [Role.LEADING, Role.LEASE_GRACE])
def test_a_late_copy_of_a_settled_round_starts_nothing(role: Role) -> None:
    """Its marker was struck out with it, so nothing in the state service refuses the copy."""

    async def main() -> None:
        world = World()
        await world.submit(job("wk-000001", 2))
        await asyncio.sleep(1.0)
        node = world.nodes[await world.led()]
        node.election.role = role
        number = (node.election.epoch << 20) + 999
        node._on_key(f"r/{number}", [["host-000009", 1, [["wk-000001", [0, 1]]]]], 10**6)
        assert not node.cluster_state.attempts_by_machine
        assert node.cluster_state.jobs_by_id["wk-000001"].pending_count == 2
        assert number in node.cluster_state.settled_rounds()

    play(main())


def test_nothing_is_sent_without_its_record() -> None:
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


def test_final_statuses_outlive_their_records() -> None:
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


def test_finished_tasks_recorded_by_another_leader_count_once() -> None:
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
