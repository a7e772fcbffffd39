"""A controller that is elected again after tasks finished that it could not record.

An election discards what is not recorded, and workers list exited tasks until they are recorded. So
each scenario expects the jobs to be done within ``DONE_WITHIN_S`` of the election.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.scenario import now, other_controllers, run_scenario
from tests.simulation import NODES, Simulation, job_spec, settings_of

JOB_ID = "wk-000001"
RUN_S = 20.0
ESTIMATED_RUN_S = 60.0
STATUS_LAG_S = 3.0  # by which the status that users see may lag, according to PROTOCOL
# Within a worker's lease each worker has reported to the new leader, or has lost its tasks.
DONE_WITHIN_S = settings_of(NODES[0]).cluster.workers.lease_s + STATUS_LAG_S

SHAPES: dict[str, dict[str, Any]] = {
    "array": job_spec(JOB_ID, 4, estimated_run_s=ESTIMATED_RUN_S),
    "single task": job_spec(JOB_ID, 1, estimated_run_s=ESTIMATED_RUN_S),
    "gang": job_spec(JOB_ID, 4, kind="group", estimated_run_s=ESTIMATED_RUN_S),
}


def finished_count(simulation: Simulation, node: str) -> int:
    """How many finished tasks the controller knows, recorded or not."""
    controller = simulation.nodes[node]
    job = controller.cluster_state.jobs_by_id[JOB_ID]
    unrecorded = controller.fleet.finished_tasks.get(job.index, ())
    return job.finished_count + len(unrecorded)


async def submit_and_run(simulation: Simulation, spec: dict[str, Any]) -> str:
    """Submit the job and wait until all its tasks have run for a while. Returns the leader."""
    simulation.run_s = RUN_S
    await simulation.submit(spec)
    await simulation.wait_until_running(spec["legs"])
    await asyncio.sleep(RUN_S / 2)
    assert not simulation.checker.completed_tasks
    return await simulation.wait_for_leader()


async def wait_until_counted(simulation: Simulation, node: str, count: int) -> None:
    """Wait until the controller has counted this many finished tasks of the job that runs."""
    async with asyncio.timeout(RUN_S + DONE_WITHIN_S):
        while finished_count(simulation, node) < count:
            await asyncio.sleep(0.05)


async def elect_again(simulation: Simulation, node: str, epoch: int) -> None:
    """Let only this controller reach the state service until it leads in a later epoch."""
    simulation.state_service.refused_controllers = set(other_controllers(node))
    while not (simulation.leader == node and simulation.nodes[node].election.epoch > epoch):
        await asyncio.sleep(0.05)
    simulation.state_service.refused_controllers.clear()


async def expect_done(simulation: Simulation) -> None:
    """Query the job on all controllers; one must report it as done in time."""
    deadline = now() + DONE_WITHIN_S
    while simulation.checker.statuses.get(JOB_ID) != "done":
        assert now() < deadline, simulation.checker.statuses
        await simulation.poll()
        await asyncio.sleep(0.2)


def lose_finished_task_records(simulation: Simulation, source: str) -> None:
    """Lose all transactions of one controller that record finished tasks."""

    def rule(sender: str, addr: str, method: str, target: str, body: Any) -> Any:
        return None if sender == source and records_finished_tasks(target, body) else (0.0, False)

    simulation.network.delivery_rule = rule


def records_finished_tasks(target: str, body: Any) -> bool:
    """Whether the request is a transaction that records finished tasks or a final status."""
    if target != "/multi":
        return False
    keys = [str(operation.get("put", "")) for operation in body["apply"]]
    return any(key.startswith(("pt/d/", "pt/f/")) for key in keys)


@pytest.mark.parametrize("end", ["refused", "pause", "resignation"])
@pytest.mark.parametrize("shape", SHAPES)
def test_job_is_done_after_its_unrecording_leader_is_elected_again(shape: str, end: str) -> None:
    """Its finished tasks were never counted again, and the job stayed running for ever."""
    spec = SHAPES[shape]

    async def scenario(simulation: Simulation) -> None:
        leader = await submit_and_run(simulation, spec)
        election = simulation.nodes[leader].election
        epoch = election.epoch
        if end == "resignation":
            lose_finished_task_records(simulation, leader)
        else:
            simulation.state_service.refused_controllers |= set(NODES)
        await wait_until_counted(simulation, leader, spec["legs"])
        if end == "pause":
            await simulation.pause(leader, 5.0)
        elif end == "resignation":
            simulation.state_service.refused_controllers = set(other_controllers(leader))
            await election.resign("a test asks for it", 0.0)
            simulation.network.delivery_rule = None
        await elect_again(simulation, leader, epoch)
        await expect_done(simulation)

    assert run_scenario(scenario).checker.start_count == spec["legs"]


@pytest.mark.parametrize("recorded", ["none", "some", "all"])
def test_tasks_count_once_if_another_leader_recorded(recorded: str) -> None:
    """A task that counts twice completes its job too soon; one that is left out, never."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_time_spread_s = 40.0  # tasks 0 and 3 finish first, the others 10 s later
        leader = await submit_and_run(
            simulation, job_spec(JOB_ID, 5, estimated_run_s=ESTIMATED_RUN_S)
        )
        epoch = simulation.nodes[leader].election.epoch
        second, third = other_controllers(leader)
        simulation.state_service.refused_controllers |= set(NODES)
        await wait_until_counted(simulation, leader, 2)
        if recorded != "all":
            lose_finished_task_records(simulation, second)
        simulation.state_service.refused_controllers = {leader, third}
        while simulation.leader != second:
            await asyncio.sleep(0.05)
        await wait_until_counted(simulation, second, 2)
        if recorded == "some":
            number = simulation.nodes[second].scheduler.next_record_number()
            simulation.state_service.put(f"pt/d/{number}", [[JOB_ID, [0, 0]]])
        await asyncio.sleep(1.0)
        simulation.crash(second)
        simulation.network.delivery_rule = None
        await elect_again(simulation, leader, epoch)
        deadline = now() + DONE_WITHIN_S
        while recorded_count(simulation) < 2:
            assert now() < deadline, finished_count(simulation, leader)
            await asyncio.sleep(0.1)
        simulation.boot(second)
        await simulation.wait_until_jobs_final(60.0)
        assert recorded_tasks(simulation) == sorted(set(recorded_tasks(simulation)))

    assert run_scenario(scenario).checker.start_count == 5


def recorded_tasks(simulation: Simulation) -> list[int]:
    """The finished tasks in all records, with repetitions."""
    found: list[int] = []
    for key, value in simulation.state_service.puts:
        if key.startswith("pt/d/"):
            for _, ranges in value:
                for first, last in zip(ranges[::2], ranges[1::2], strict=True):
                    found += range(first, last + 1)
    return sorted(found)


def recorded_count(simulation: Simulation) -> int:
    """How many tasks are recorded as finished."""
    return len(set(recorded_tasks(simulation)))


@pytest.mark.parametrize("late_s", [0.0, 3.0, 9.0])
def test_record_without_answer_is_settled_when_its_leader_is_elected_again(late_s: float) -> None:
    """The transaction that records the tasks is carried out at once or late, unanswered."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_time_spread_s = 2.0
        leader = await submit_and_run(simulation, SHAPES["array"])
        election = simulation.nodes[leader].election
        epoch = election.epoch

        def rule(sender: str, addr: str, method: str, target: str, body: Any) -> Any:
            unanswered = sender == leader and records_finished_tasks(target, body)
            return (late_s, True) if unanswered else (0.0, False)

        simulation.network.delivery_rule = rule
        await wait_until_counted(simulation, leader, 2)
        simulation.state_service.refused_controllers = set(other_controllers(leader))
        await election.resign("a test asks for it", 0.0)
        simulation.network.delivery_rule = None
        await elect_again(simulation, leader, epoch)
        await wait_until_counted(simulation, leader, 4)
        await expect_done(simulation)

    assert run_scenario(scenario).checker.start_count == 4


def test_job_cancelled_at_the_end_of_its_last_task_stays_cancelled() -> None:
    """Its user cancels through another controller while the leader cannot record the end."""

    async def scenario(simulation: Simulation) -> None:
        leader = await submit_and_run(simulation, SHAPES["array"])
        epoch = simulation.nodes[leader].election.epoch
        simulation.state_service.refused_controllers.add(leader)
        others = other_controllers(leader)
        for node in others:
            simulation.nodes[node].election._abstain_until = now() + 30.0
        await wait_until_counted(simulation, leader, 4)
        assert await simulation.try_to_cancel(JOB_ID, others[0]) == "aborted"
        await elect_again(simulation, leader, epoch)
        await asyncio.sleep(DONE_WITHIN_S)
        workers = [machine.worker for machine in simulation.cloud.machines.values()]
        assert not any(worker.tasks for worker in workers)  # told to forget the exited tasks
        assert not simulation.nodes[leader].cluster_state.attempts_by_machine

    run_scenario(scenario)


@pytest.mark.parametrize("loss", ["machine", "incarnation"])
def test_task_runs_again_if_its_machine_is_lost_before_the_reelection(loss: str) -> None:
    """Nobody else knows that the task finished, so that it has to run again."""

    async def scenario(simulation: Simulation) -> None:
        leader = await submit_and_run(simulation, SHAPES["array"])
        epoch = simulation.nodes[leader].election.epoch
        worker = simulation.worker_running(f"{JOB_ID}/0")
        simulation.state_service.refused_controllers |= set(NODES)
        await wait_until_counted(simulation, leader, 4)
        if loss == "machine":
            simulation.cloud.remove(worker.name)
        else:
            simulation.network.partitions |= {frozenset((worker.name, node)) for node in NODES}
            while worker.incarnation == 1:
                await asyncio.sleep(0.1)
            simulation.network.partitions.clear()
        await elect_again(simulation, leader, epoch)
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


def test_team_at_its_limit_starts_its_waiting_job_after_the_reelection() -> None:
    """The cores of exited tasks are free again, recorded or not."""

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s_by_job["wk-000002"] = RUN_S
        leader = await submit_and_run(
            simulation, job_spec(JOB_ID, 6, estimated_run_s=ESTIMATED_RUN_S)
        )
        await simulation.submit(job_spec("wk-000002", 6, estimated_run_s=ESTIMATED_RUN_S))
        epoch = simulation.nodes[leader].election.epoch
        simulation.state_service.refused_controllers |= set(NODES)
        await wait_until_counted(simulation, leader, 6)
        await elect_again(simulation, leader, epoch)
        await expect_done(simulation)
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


async def lead_from_elsewhere(simulation: Simulation, old: str) -> str:
    """Wait until another controller leads, and return it."""
    while simulation.leader in (None, old):
        await asyncio.sleep(0.1)
    return str(simulation.leader)


def test_machines_that_were_unresponsive_in_an_earlier_epoch_are_kept() -> None:
    """The leader loses all workers and is replaced; it leads again after the partition has ended.

    It still held those for unresponsive that had not reported to it yet, and returned them as soon
    as most others had.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 60.0
        await simulation.submit(job_spec(JOB_ID, 6, estimated_run_s=60.0))
        await simulation.submit(job_spec("wk-000002", 6, team="blue", estimated_run_s=60.0))
        await simulation.wait_until_running(12)
        old = await simulation.wait_for_leader()
        epoch = simulation.nodes[old].election.epoch
        machines = set(simulation.cloud.machines)
        simulation.network.partitions |= {frozenset((old, name)) for name in machines}
        new = await lead_from_elsewhere(simulation, old)
        await asyncio.sleep(5.0)
        simulation.network.partitions.clear()
        await asyncio.sleep(15.0)  # the former leader campaigns again
        late = sorted(machines)[:2]
        simulation.network.not_sending |= set(late)
        simulation.crash(new)
        await elect_again(simulation, old, epoch)
        await asyncio.sleep(3.0)
        simulation.network.not_sending.clear()
        assert machines <= set(simulation.cloud.machines)
        simulation.boot(new)
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)
