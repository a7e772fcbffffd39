"""Users ask about jobs that finished long ago, which are only in the state service.

Each answer has to be the one of a controller that keeps every job in memory.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import pytest

from petrelthread.store import KEY_PREFIX
from tests.executed_commands import wait_until_forgotten
from tests.scenario import run_scenario
from tests.simulation import NODES, SETTINGS, Deployment, Simulation, job_spec
from tests.stored_history import stored_job
from tests.virtual_time import run_in_virtual_time

DONE_JOB, CANCELLED_JOB, LARGE_JOB, UNKNOWN_JOB = "wk-000101", "wk-000102", "wk-000103", "wk-000999"
OPEN_JOB = "wk-000104"
MODEL = "n2"  # keeps all jobs in memory
OTHERS = ("n0", "n1")  # keep no finished job
LONG_LEASES = SETTINGS.replace("lease_s = 10.0", "lease_s = 40.0").replace(
    "cancel_s = 36", "cancel_s = 99"
)
ONE_MACHINE = Deployment(text=LONG_LEASES, spot=1, on_demand=0)
LONG_S = 100.0
OTHER_JOBS = 60
KEYS_A_PAGE = 20
PAGE_DELAY_S = 0.5


def retain_finished_jobs(simulation: Simulation, count: int, names: Iterable[str] = OTHERS) -> None:
    """Let the controllers keep only so many finished jobs beyond those that they need."""
    for name in names:
        simulation.nodes[name].cluster_state.finished_jobs.retained_count = count


async def simulation_with_old_jobs() -> Simulation:
    """Start controllers, of which only ``MODEL`` keeps the finished jobs."""
    simulation = Simulation()
    retain_finished_jobs(simulation, 0)
    put = simulation.state_service.put
    for job_id, tasks in ((DONE_JOB, 3), (CANCELLED_JOB, 2), (OPEN_JOB, 40), (LARGE_JOB, 1)):
        put(f"{KEY_PREFIX}j/{job_id}", stored_job(job_id, tasks))
        simulation.jobs[job_id] = job_spec(job_id, tasks)
    for number in range(OTHER_JOBS):
        put(f"{KEY_PREFIX}j/wk-{900_000 + number}", stored_job("wk-900000", 1))
        put(f"{KEY_PREFIX}f/wk-{900_000 + number}", "done")
    put(f"{KEY_PREFIX}f/{DONE_JOB}", "done")
    put(f"{KEY_PREFIX}f/{CANCELLED_JOB}", "aborted")
    put(f"{KEY_PREFIX}f/{LARGE_JOB}", "done")
    await simulation.wait_for_leader()
    await asyncio.sleep(3.0)
    assert DONE_JOB in simulation.nodes[MODEL].cluster_state.jobs_by_id
    return simulation


def requests_about_old_jobs() -> list[tuple[str, str, Any]]:
    """Return the method, path and body of each kind of request about each job."""
    requests: list[tuple[str, str, Any]] = []
    for job_id in (DONE_JOB, CANCELLED_JOB, LARGE_JOB, UNKNOWN_JOB):
        requests += [
            ("GET", f"/v2/runs/{job_id}", None),
            ("POST", f"/v2/runs/{job_id}/withdraw", None),
        ]
    for job_id in (DONE_JOB, CANCELLED_JOB, LARGE_JOB):
        for changed in ({}, {"team": "green"}, {"cores": 99.0}, {"image": "img-" + "x" * 5000}):
            requests.append(("POST", "/v2/runs", job_spec(job_id, 3, **changed)))
    return requests


async def compare_answers(simulation: Simulation, node: str, may_defer: bool = False) -> None:
    """Compare each answer with that of the model; ``may_defer`` allows 503 to submissions."""
    for method, path, body in requests_about_old_jobs():
        answer = await simulation.ask(node, method, path, body)
        if may_defer and body is not None and answer[0] == 503:
            continue
        assert answer == await simulation.ask(MODEL, method, path, body), (method, path, body)


@pytest.mark.parametrize("node", OTHERS)
def test_answers_after_a_job_was_dropped_equal_those_from_memory(node: str) -> None:
    """Guards against ``forgotten``: an accepted job gets 404, or 422 when submitted again."""

    async def main() -> None:
        simulation = await simulation_with_old_jobs()
        assert DONE_JOB not in simulation.nodes[node].cluster_state.jobs_by_id
        assert OPEN_JOB in simulation.nodes[node].cluster_state.jobs_by_id
        await compare_answers(simulation, node)

    run_in_virtual_time(main())


def test_answers_after_a_restart_equal_those_from_memory() -> None:
    async def main() -> None:
        simulation = await simulation_with_old_jobs()
        simulation.crash("n1")
        simulation.boot("n1")
        retain_finished_jobs(simulation, 0)
        await asyncio.sleep(3.0)
        state = simulation.nodes["n1"].cluster_state
        assert OPEN_JOB in state.jobs_by_id
        assert DONE_JOB not in state.jobs_by_id
        await compare_answers(simulation, "n1")

    run_in_virtual_time(main())


def test_answers_while_all_keys_are_read_equal_those_from_memory() -> None:
    """Guards against ``forgotten``: a controller that reads the keys for minutes answers nobody."""

    async def main() -> None:
        simulation = await simulation_with_old_jobs()
        simulation.state_service.max_page = KEYS_A_PAGE
        simulation.network.response_delay = lambda target: (
            PAGE_DELAY_S if target.startswith("/keys?") else 0.0
        )
        simulation.crash("n1")
        simulation.boot("n1")
        await asyncio.sleep(0.1)
        await compare_answers(simulation, "n1", may_defer=True)
        assert (await simulation.ask("n1", "GET", f"/v2/runs/{OPEN_JOB}"))[0] == 503
        assert not simulation.nodes["n1"].watch_cache.loaded.is_set()

    run_in_virtual_time(main())


@pytest.mark.parametrize("loaded", [True, False], ids=["running", "starting"])
def test_no_job_is_called_unknown_while_the_state_service_refuses_the_controller(
    loaded: bool,
) -> None:
    async def main() -> None:
        simulation = await simulation_with_old_jobs()
        simulation.state_service.refused_controllers.add("n1")
        if not loaded:
            simulation.crash("n1")
            simulation.boot("n1")
            await asyncio.sleep(0.5)
        for method, path, body in requests_about_old_jobs():
            status, _ = await simulation.ask("n1", method, path, body)
            assert status == 503, (method, path, body)

    run_in_virtual_time(main())


def test_finished_jobs_answer_from_memory_during_an_outage_right_after_their_end() -> None:
    async def main() -> None:
        simulation = await simulation_with_old_jobs()
        simulation.state_service.set_outage(True)
        assert (await simulation.ask(MODEL, "GET", f"/v2/runs/{DONE_JOB}"))[0] == 200
        assert (await simulation.ask("n0", "GET", f"/v2/runs/{DONE_JOB}"))[0] == 503

    run_in_virtual_time(main())


def test_operators_see_why_an_old_job_does_not_run() -> None:
    async def main() -> None:
        simulation = await simulation_with_old_jobs()
        status, answer = await simulation.ask_admin("n1", f"jobs/{CANCELLED_JOB}?direct=1")
        assert (status, answer["status"], answer["why"]) == (200, "aborted", "It is over: aborted.")
        assert (await simulation.ask_admin("n1", f"jobs/{UNKNOWN_JOB}?direct=1"))[0] == 404
        assert (await simulation.ask_admin("n1", "jobs/what?direct=1"))[0] == 404

    run_in_virtual_time(main())


def test_a_cancellation_confirmed_elsewhere_while_the_job_is_dropped_is_answered() -> None:
    """Another controller cancels, and this one drops the job before its own write is refused."""

    async def main() -> None:
        simulation = await simulation_with_old_jobs()
        path = f"/v2/runs/{OPEN_JOB}/withdraw"
        answers = await asyncio.gather(
            *(simulation.ask(name, "POST", path) for name in NODES for _ in range(3))
        )
        expected = (200, {"name_id": OPEN_JOB, "status": "aborted"})
        assert answers == [expected] * len(answers)
        for name in OTHERS:
            assert await simulation.ask(name, "POST", path) == expected

    run_in_virtual_time(main())


def test_an_exited_task_of_a_dropped_job_is_forgotten_by_its_worker() -> None:
    """Guards against exited tasks that a worker lists for ever, as no controller knows their job.

    The responses to the worker are lost when its task ends, and the leader is replaced.
    """

    async def scenario(simulation: Simulation) -> None:
        retain_finished_jobs(simulation, 0, NODES)
        await simulation.wait_for_leader()
        simulation.run_s_by_job[OPEN_JOB] = LONG_S  # so that the machine is not returned
        await simulation.submit(job_spec(OPEN_JOB, 1, cores=1.0, estimated_run_s=LONG_S))
        await simulation.submit(job_spec(DONE_JOB, 1, cores=1.0))
        (machine,) = await simulation.machines_of_running_tasks(2)
        simulation.network.delivery_rule = lambda source, addr, method, target, body: (
            0.0,
            source == machine and any(leg["status"] == "ended" for leg in body["legs"]),
        )
        worker = simulation.cloud.machines[machine].worker
        while not any(leg["status"] == "ended" for leg in worker.heartbeat()["legs"]):
            await asyncio.sleep(0.1)
        while simulation.checker.statuses.get(DONE_JOB) != "done":
            await simulation.poll()
            await asyncio.sleep(0.2)
        leader = simulation.leader or ""
        simulation.crash(leader)
        await simulation.wait_for_leader()
        await asyncio.sleep(1.0)
        assert all(DONE_JOB not in n.cluster_state.jobs_by_id for n in simulation.nodes.values())
        retain_finished_jobs(simulation, 5, simulation.nodes)
        simulation.network.delivery_rule = None
        await wait_until_forgotten(simulation, machine, DONE_JOB)
        assert (worker.incarnation, worker.terminated) == (1, False)
        simulation.boot(leader)

    run_scenario(scenario, deployment=ONE_MACHINE)
