"""Transactions whose response is lost and that are applied at once, late or twice."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.scenario import (
    lose_transaction_responses,
    now,
    query_and_resubmit_on_all_controllers,
    run_scenario,
    try_to_cancel_at,
)
from tests.simulation import NODES, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


def delay_or_lose_transactions(simulation: Simulation, fault: str) -> None:
    """Set the delivery rule if the fault concerns transactions, or all requests ("slow").

    With "slow transactions", watches stay quick: other controllers learn of a write as soon as its
    writer, and no sooner.
    """
    if fault in ("lost", "late"):
        simulation.network.delivery_rule = lose_transaction_responses(
            simulation, 0.3, fault == "late"
        )
    elif fault in ("slow", "slow transactions"):

        def rule(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            is_slow = addr == "state:1" if fault == "slow" else target == "/multi"
            return (simulation.random.uniform(0.0, 0.8) if is_slow else 0.0), False

        simulation.network.delivery_rule = rule


async def restart_controllers(simulation: Simulation, fault: str) -> None:
    """Restart the leader, all controllers in turn or none, depending on the fault."""
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
    """Submit a job, cancel every third one, and query all controllers until its final status."""
    job_id = f"wk-{number:06d}"
    await asyncio.sleep(number * 1.5)
    spec = job_spec(job_id, 1 + number % 3, team=("red", "blue", "guest")[number % 3])
    await simulation.submit(spec)
    await query_and_resubmit_on_all_controllers(simulation, job_id)
    if number % 3 == 0:
        await asyncio.sleep(simulation.random.choice([0.0, 2.0, 6.0]))
        await simulation.cancel(job_id)
        await query_and_resubmit_on_all_controllers(simulation, job_id)
    for _ in range(40):
        await asyncio.sleep(0.5)
        await query_and_resubmit_on_all_controllers(simulation, job_id)
        if simulation.checker.statuses.get(job_id) in ("done", "aborted"):
            await query_and_resubmit_on_all_controllers(simulation, job_id)
            return


FAULTS = ["none", "lost", "late", "slow", "slow transactions", "leader ends", "rolling restart"]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_controller_returns_an_older_status_than_another_has_returned(
    fault: str, seed: int
) -> None:
    """Once a job is known as accepted, done or cancelled, no controller returns an older status."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.wait_for_leader()
        delay_or_lose_transactions(simulation, fault)
        users = [asyncio.ensure_future(submit_and_query(simulation, n)) for n in range(12)]
        for _ in range(4):
            await asyncio.sleep(4.0)
            await restart_controllers(simulation, fault)
        await asyncio.gather(*users)
        simulation.network.delivery_rule = None
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_jobs_final(150.0)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_complete_when_transactions_get_no_response_and_leaders_crash(
    late: bool, seed: int
) -> None:
    """35 % of all transactions get no response, and late ones are applied after newer ones.

    They write submissions, cancellations, claims, elections and final statuses.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_time_spread_s = 6.0
        simulation.network.delivery_rule = lose_transaction_responses(simulation, 0.35, late)
        for n in range(6):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        await simulation.wait_until_running(2)
        for n in range(5):
            await asyncio.sleep(simulation.random.uniform(1.0, 7.0))
            leader = simulation.leader
            if leader is not None:
                simulation.crash(leader)
                await asyncio.sleep(simulation.random.choice([0.05, 0.4, 3.0]))
                simulation.boot(leader)
            await try_to_cancel_at(
                simulation, f"wk-{n:06d}", list(simulation.nodes)
            ) if n % 2 else None
            await simulation.poll()
        simulation.network.delivery_rule = None
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_jobs_final(200.0)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("late_s", [0.0, 3.0])
def test_no_task_runs_twice_after_an_unanswered_claim_and_a_leader_crash(late_s: float) -> None:
    """A leader sends a start only once it knows that the claim is committed.

    Otherwise the next leader may start the same task a second time.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 15.0
        first = await simulation.wait_for_leader()

        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            is_round_claim = target == "/multi" and "pt/r/" in str(body["apply"])
            return (late_s, True) if is_round_claim and source == first else (0.0, False)

        simulation.network.delivery_rule = delivery
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=15.0))
        await asyncio.sleep(9.0)
        simulation.crash(first)
        await simulation.wait_for_leader()
        simulation.boot(first)
        simulation.checker.faults_ended_at = now()
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


def test_late_transactions_of_a_former_leader_violate_no_invariant() -> None:
    """The leader's requests reach the state service 9 s late, and it loses the leadership.

    Its claims are applied or refused when they arrive.
    """

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 8))
        await simulation.wait_until_running(2)
        old = await simulation.wait_for_leader()

        def delivery(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if source == old and addr == "state:1" and target != "/watch":
                return 9.0, False
            return 0.0, False

        simulation.network.delivery_rule = delivery
        await asyncio.sleep(10.0)
        simulation.network.delivery_rule = None
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


@pytest.mark.parametrize("role", [Role.LEADING, Role.LEASE_GRACE])
def test_late_duplicate_of_a_settled_round_starts_no_task(role: Role) -> None:
    """The marker of a settled round is deleted, so the state service accepts a duplicate."""

    async def main() -> None:
        simulation = Simulation()
        await simulation.submit(job_spec("wk-000001", 2))
        await asyncio.sleep(1.0)
        node = simulation.nodes[await simulation.wait_for_leader()]
        node.election.role = role
        number = (node.election.epoch << 20) + 999
        node._on_key(f"r/{number}", [["host-000009", 1, [["wk-000001", [0, 1]]]]], 10**6)
        assert not node.cluster_state.attempts_by_machine
        assert node.cluster_state.jobs_by_id["wk-000001"].pending_count == 2
        assert number in node.cluster_state.settled_rounds()

    run_in_virtual_time(main())


def test_every_start_and_scale_out_has_a_record() -> None:
    """Records are written before commands and cloud calls; both sets are compared afterwards."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 6))
        await simulation.wait_until_jobs_final(60.0)

    simulation = run_scenario(scenario)
    recorded = {
        f"{job_id}/{task}"
        for key, value in simulation.state_service.puts
        if key.startswith("pt/r/")
        for _, _, jobs in value
        for job_id, tasks in jobs
        for task in tasks
    }
    assert recorded == set(simulation.checker.started_at)
    scale_out_keys = {
        key[len("pt/c/") :] for key, _ in simulation.state_service.puts if key.startswith("pt/c/")
    }
    assert set(simulation.cloud.machines_by_key) <= scale_out_keys


def test_final_statuses_survive_a_restart_of_all_controllers() -> None:
    """Repeated submissions and late polls get the final status after other records are deleted."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 2))
        await simulation.submit(job_spec("wk-000002", 2, team="blue"))
        await simulation.cancel("wk-000002")
        await simulation.wait_until_jobs_final(60.0)
        for name in NODES:
            simulation.crash(name)
            simulation.boot(name)
        await asyncio.sleep(3.0)
        for job_id, final in (("wk-000001", "done"), ("wk-000002", "aborted")):
            status, response = await simulation.ask(
                "n1", "POST", "/v2/runs", simulation.jobs[job_id]
            )
            assert (status, response["status"]) == (200, final)
        assert (await simulation.ask("n2", "GET", "/v2/runs/wk-999999"))[0] == 404

    run_scenario(scenario)


def test_finished_tasks_recorded_by_another_leader_count_once() -> None:
    """A leader that lost the leadership and was elected again counted finished tasks twice.

    It had kept them as not yet written, while another leader had recorded them.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 15.0
        await simulation.submit(job_spec("wk-000001", 4, estimated_run_s=60.0))
        await simulation.wait_until_running(2)
        node = simulation.nodes[await simulation.wait_for_leader()]
        found = node.cluster_state.jobs_by_id["wk-000001"]
        node.cluster_state.on_key("d/1", [["wk-000001", [0, 1]]], 1)
        simulation.checker.completed_tasks |= {"wk-000001/0", "wk-000001/1"}
        node.fleet.finished_tasks[found.index] = {0, 1}
        node.scheduler.wake.set()
        await asyncio.sleep(1.0)
        assert found.final_status is None
        await simulation.wait_until_jobs_final(90.0)

    run_scenario(scenario)
