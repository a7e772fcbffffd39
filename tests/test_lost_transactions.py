"""Transactions whose answer is lost, which are carried out at once, late, or twice."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.scenario import cancel_at, lost_transaction_answers, now, query_all_controllers, run
from tests.simulation import NODES, Simulation, job
from tests.virtual import play


def delay_or_lose_transactions(simulation: Simulation, fault: str) -> None:
    """Set the delivery rule of a fault; none for faults of other kinds."""
    if fault in ("lost", "late"):
        simulation.net.delivery_rule = lost_transaction_answers(simulation, 0.3, fault == "late")
    elif fault == "slow":
        simulation.net.delivery_rule = lambda source, addr, method, target, body: (
            (simulation.random.uniform(0.0, 0.8), False) if addr == "state:1" else (0.0, False)
        )


async def restart_controllers(simulation: Simulation, fault: str) -> None:
    """Restart the leader, all controllers in turn, or none, as the fault says."""
    if fault == "leader ends":
        leader = await simulation.wait_for_leader()
        simulation.crash(leader)
        await asyncio.sleep(simulation.random.choice([0.1, 2.0]))
        simulation.boot(leader)
    elif fault == "rolling restart":
        for name in NODES:
            simulation.crash(name)
            await asyncio.sleep(0.3)
            simulation.boot(name)
            await asyncio.sleep(0.5)


async def submit_and_query(simulation: Simulation, number: int) -> None:
    """Submit a job, cancel one in three, and query all controllers until it is over."""
    job_id = f"wk-{number:06d}"
    await asyncio.sleep(number * 1.5)
    spec = job(job_id, 1 + number % 3, team=("red", "blue", "guest")[number % 3])
    await simulation.submit(spec)
    await query_all_controllers(simulation, job_id)
    if number % 3 == 0:
        await asyncio.sleep(simulation.random.choice([0.0, 2.0, 6.0]))
        await simulation.cancel(job_id)
        await query_all_controllers(simulation, job_id)
    for _ in range(40):
        await asyncio.sleep(0.5)
        await query_all_controllers(simulation, job_id)
        if simulation.checker.statuses.get(job_id) in ("done", "aborted"):
            await query_all_controllers(simulation, job_id)
            return


FAULTS = ["none", "lost", "late", "slow", "leader ends", "rolling restart"]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_controller_answers_older_than_another_has(fault: str, seed: int) -> None:
    """Right after a job was accepted, ended or cancelled no node may answer anything older."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.wait_for_leader()
        delay_or_lose_transactions(simulation, fault)
        users = [asyncio.ensure_future(submit_and_query(simulation, n)) for n in range(12)]
        for _ in range(4):
            await asyncio.sleep(4.0)
            await restart_controllers(simulation, fault)
        await asyncio.gather(*users)
        simulation.net.delivery_rule = None
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_over(150.0)

    run(scenario, seed)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_transactions_without_an_answer_while_leaders_end(late: bool, seed: int) -> None:
    """Submissions, cancellations, claims, elections, final states; late ones after newer ones."""

    async def scenario(simulation: Simulation) -> None:
        simulation.spread_s = 6.0
        simulation.net.delivery_rule = lost_transaction_answers(simulation, 0.35, late)
        for n in range(6):
            await simulation.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        await simulation.wait_until_running(2)
        for n in range(5):
            await asyncio.sleep(simulation.random.uniform(1.0, 7.0))
            leader = simulation.leader
            if leader is not None:
                simulation.crash(leader)
                await asyncio.sleep(simulation.random.choice([0.05, 0.4, 3.0]))
                simulation.boot(leader)
            await cancel_at(simulation, f"wk-{n:06d}", list(simulation.nodes)) if n % 2 else None
            await simulation.poll()
        simulation.net.delivery_rule = None
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_over(200.0)

    run(scenario, seed)


@pytest.mark.parametrize("late_s", [0.0, 3.0])
def test_the_claim_of_a_start_is_unanswered_and_the_leader_ends(late_s: float) -> None:
    """Nothing is sent before the claim is known to count, so nobody starts it beside the next."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 15.0
        first = await simulation.wait_for_leader()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            rounds = target == "/multi" and "pt/r/" in str(body["apply"])
            return (late_s, True) if rounds and source == first else (0.0, False)

        simulation.net.delivery_rule = fate
        await simulation.submit(job("wk-000001", 6, estimated_run_s=15.0))
        await asyncio.sleep(9.0)
        simulation.crash(first)
        await simulation.wait_for_leader()
        simulation.boot(first)
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_over(120.0)

    run(scenario)


def test_a_late_transaction_of_an_old_leader_is_refused() -> None:
    """The leader's claims are held; it loses the lead; they are applied or refused much later."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000001", 8))
        await simulation.wait_until_running(2)
        old = await simulation.wait_for_leader()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if source == old and addr == "state:1" and target != "/watch":
                return 9.0, False
            return 0.0, False

        simulation.net.delivery_rule = fate
        await asyncio.sleep(10.0)
        simulation.net.delivery_rule = None
        await simulation.wait_until_over(120.0)

    run(scenario)


@pytest.mark.parametrize("role", [Role.LEADING, Role.LEASE_GRACE])
def test_a_late_copy_of_a_settled_round_starts_nothing(role: Role) -> None:
    """Its marker was struck out with it, so nothing in the state service refuses the copy."""

    async def main() -> None:
        simulation = Simulation()
        await simulation.submit(job("wk-000001", 2))
        await asyncio.sleep(1.0)
        node = simulation.nodes[await simulation.wait_for_leader()]
        node.election.role = role
        number = (node.election.epoch << 20) + 999
        node._on_key(f"r/{number}", [["host-000009", 1, [["wk-000001", [0, 1]]]]], 10**6)
        assert not node.cluster_state.attempts_by_machine
        assert node.cluster_state.jobs_by_id["wk-000001"].pending_count == 2
        assert number in node.cluster_state.settled_rounds()

    play(main())


def test_nothing_is_sent_without_its_record() -> None:
    """Every task and every cloud call that reached the world stands in a record written before."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000001", 6))
        await simulation.wait_until_over(60.0)

    simulation = run(scenario)
    recorded = {
        f"{job_id}/{task}"
        for key, value in simulation.state_service.puts
        if key.startswith("pt/r/")
        for _, _, jobs in value
        for job_id, tasks in jobs
        for task in tasks
    }
    assert recorded == set(simulation.checker.started_at)
    charters = {
        key[len("pt/c/") :] for key, _ in simulation.state_service.puts if key.startswith("pt/c/")
    }
    assert set(simulation.cloud.granted) <= charters


def test_final_statuses_outlive_their_records() -> None:
    """A repeated submission and a late poll get the final state, also from new processes."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000001", 2))
        await simulation.submit(job("wk-000002", 2, team="blue"))
        await simulation.cancel("wk-000002")
        await simulation.wait_until_over(60.0)
        for name in NODES:
            simulation.crash(name)
            simulation.boot(name)
        await asyncio.sleep(3.0)
        for job_id, final in (("wk-000001", "done"), ("wk-000002", "aborted")):
            status, answer = await simulation.ask("n1", "POST", "/v2/runs", simulation.jobs[job_id])
            assert (status, answer["status"]) == (200, final)
        assert (await simulation.ask("n2", "GET", "/v2/runs/wk-999999"))[0] == 404

    run(scenario)


def test_finished_tasks_recorded_by_another_leader_count_once() -> None:
    """A leader kept what it had not written, lost the lead, came back, and counted it twice."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 15.0
        await simulation.submit(job("wk-000001", 4, estimated_run_s=60.0))
        await simulation.wait_until_running(2)
        node = simulation.nodes[await simulation.wait_for_leader()]
        found = node.cluster_state.jobs_by_id["wk-000001"]
        node.cluster_state.on_key("d/1", [["wk-000001", [0, 1]]], 1)
        simulation.checker.completed_tasks |= {"wk-000001/0", "wk-000001/1"}
        node.fleet.finished_tasks[found.index] = {0, 1}
        node.scheduler.wake.set()
        await asyncio.sleep(1.0)
        assert found.final_status is None
        await simulation.wait_until_over(90.0)

    run(scenario)
