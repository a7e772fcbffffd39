"""Jobs that fail on every machine, and machines on which every job fails."""

from __future__ import annotations

import asyncio

from petrelthread.admin.explain import explain_waiting
from petrelthread.emulator.worker import Worker
from tests.scenario import now, run_scenario
from tests.simulation import Simulation, job_spec


def recorded_start_count(simulation: Simulation, job_id: str) -> int:
    """How many starts of the job's tasks were recorded."""
    return sum(
        len(tasks)
        for key, value in simulation.state_service.puts
        if key.startswith("pt/r/")
        for _, _, jobs in value
        for name, tasks in jobs
        if name == job_id
    )


def test_failing_jobs_neither_delay_others_nor_make_machines_look_faulty() -> None:
    """Two failing jobs once made every machine that ran them look faulty.

    A new leader begins with the recorded failures.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.failing_jobs |= {"wk-000001", "wk-000002"}
        for n in range(1, 7):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], estimated_run_s=20.0)
            )
        await asyncio.sleep(30.0)
        starts_before = recorded_start_count(simulation, "wk-000001")
        simulation.crash(await simulation.wait_for_leader())
        await asyncio.sleep(10.0)
        node = simulation.nodes[await simulation.wait_for_leader()]
        # The new leader knows from the stored record that the job fails.
        assert recorded_start_count(simulation, "wk-000001") <= starts_before + 2
        started_tasks = [
            task_id for task_id in simulation.checker.started_at if task_id.startswith("wk-000001/")
        ]
        assert len(started_tasks) < 12  # several tasks at first, then one at a time
        explanation = explain_waiting(node, node.cluster_state.jobs_by_id["wk-000001"], now())
        assert "fails everywhere" in explanation, explanation
        await asyncio.sleep(40.0)
        healthy_jobs = [f"wk-{n:06d}" for n in range(3, 7)]
        await simulation.poll()
        assert {simulation.checker.statuses[j] for j in healthy_jobs} == {"done"}
        assert simulation.cloud.rented_count <= 14  # none was returned as faulty
        starts = simulation.checker.start_count
        await asyncio.sleep(60.0)
        assert simulation.checker.start_count - starts <= 6  # retried with growing backoff
        for failing_job in sorted(simulation.failing_jobs):
            assert await simulation.cancel(failing_job) == "aborted"
        await simulation.wait_until_jobs_final(60.0)
        await asyncio.sleep(5.0)
        assert not [key for key in simulation.state_service.keys if key.startswith("pt/s/")]

    run_scenario(scenario)


def test_faulty_machine_is_returned_while_a_job_fails_on_all_machines() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.failing_jobs |= {"wk-000001"}
        for n in range(1, 5):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 12, team=("red", "blue")[n % 2], estimated_run_s=20.0)
            )
        await simulation.wait_until_running(4)
        faulty_worker: Worker = next(m.worker for m in simulation.cloud.machines.values())
        faulty_worker.faulty = True
        await asyncio.sleep(25.0)
        assert faulty_worker.terminated  # recognised as faulty and returned
        await asyncio.sleep(30.0)
        await simulation.poll()
        assert [simulation.checker.statuses[f"wk-{n:06d}"] for n in range(2, 5)] == ["done"] * 3
        await simulation.cancel("wk-000001")
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


def test_tasks_complete_although_others_of_their_job_fail() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 30, estimated_run_s=5.0))
        await simulation.submit(job_spec("wk-000002", 30, team="blue", estimated_run_s=5.0))
        simulation.failing_tasks |= {f"wk-000001/{n}" for n in (0, 1, 2, 3, 7)}
        await asyncio.sleep(75.0)
        node = simulation.nodes[await simulation.wait_for_leader()]
        assert node.cluster_state.jobs_by_id["wk-000001"].finished_count == 25
        assert (
            simulation.checker.statuses.get("wk-000002")
            or node.cluster_state.jobs_by_id["wk-000002"].final_status == "done"
        )
        assert "all that waits has failed before" in explain_waiting(
            node, node.cluster_state.jobs_by_id["wk-000001"], now()
        )
        simulation.failing_tasks.clear()
        await simulation.wait_until_jobs_final(100.0)

    run_scenario(scenario)


def test_faulty_machine_is_returned_and_its_job_completes_elsewhere() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000001", 4))
        task_ids = await simulation.wait_until_running(2)
        faulty_worker = simulation.worker_running(task_ids[0])
        faulty_worker.faulty = True
        await simulation.submit(job_spec("wk-000002", 6, team="blue"))
        await simulation.wait_until_jobs_final(150.0)
        assert faulty_worker.terminated

    run_scenario(scenario)
