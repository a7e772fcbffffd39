"""The emulator: invariant checker, faults, workload and the soak command."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from petrelthread import protocol
from petrelthread.cli.main import main
from petrelthread.emulator.cloud import RentedMachine
from petrelthread.emulator.environment import MachineDescription
from petrelthread.emulator.faults import STATE, FaultKind, LinkFaults, draw_faults
from petrelthread.emulator.loopback import address_of, reserve_port
from petrelthread.emulator.loopback_environment import LoopbackOptions
from petrelthread.emulator.processes import CANCEL_S
from petrelthread.emulator.soak import SeedResult, format_result
from petrelthread.emulator.worker import TaskRun, Worker
from petrelthread.emulator.workload import draw_jobs, draw_large_array
from petrelthread.http import NoResponseError
from tests.scenario import now
from tests.simulation import NODES, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time

ROOT = Path(__file__).parent.parent
Scenario = Callable[[Simulation], None]


def violations_after(scenario: Scenario) -> list[str]:
    """Run the scenario and return the violations that the checker reports."""

    async def run() -> list[str]:
        simulation = Simulation()
        scenario(simulation)
        return simulation.checker.violations

    violations: list[str] = run_in_virtual_time(run())
    return violations


def machine_description(number: int, zone: str, spot: bool = False) -> MachineDescription:
    name = f"host-{number:06d}"
    return MachineDescription(name, f"{name}:9", "small", zone, spot)


def start(simulation: Simulation, task_id: str, number: int, zone: str, spot: bool = False) -> None:
    simulation.checker.recorded_tasks.add(task_id)
    simulation.checker.record_start(task_id, machine_description(number, zone, spot), 0.0)


# ---- invariant checker ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("flag", "third_zone"),
    [("single_zone", "b"), ("spread_zones", "a")],  # a second zone; over half in one zone
)
def test_third_task_in_wrong_zone_is_reported(flag: str, third_zone: str) -> None:
    def scenario(simulation: Simulation) -> None:
        simulation.jobs["wk-000001"] = job_spec("wk-000001", 3, **{flag: True})
        start(simulation, "wk-000001/0", 1, "a")
        start(simulation, "wk-000001/1", 2, "a")
        assert not simulation.checker.violations
        start(simulation, "wk-000001/2", 3, third_zone)

    assert [text.partition(":")[0] for text in violations_after(scenario)] == ["wrong_place"]


def test_single_zone_job_may_change_zone_once_no_task_runs() -> None:
    def scenario(simulation: Simulation) -> None:
        simulation.jobs["wk-000001"] = job_spec("wk-000001", 2, single_zone=True)
        start(simulation, "wk-000001/0", 1, "a")
        simulation.checker.record_end("wk-000001/0", "host-000001")
        start(simulation, "wk-000001/0", 2, "b")

    assert violations_after(scenario) == []


@pytest.mark.parametrize(
    ("spec", "spot"),
    [
        ({"machine_types": ["large"]}, False),
        ({"zone": "b"}, False),
        ({"spot_allowed": False}, True),
    ],
)
def test_start_on_disallowed_machine_is_reported(spec: dict[str, Any], spot: bool) -> None:
    def scenario(simulation: Simulation) -> None:
        simulation.jobs["wk-000001"] = job_spec("wk-000001", 1, **spec)
        start(simulation, "wk-000001/0", 1, "a", spot)

    assert [text.partition(":")[0] for text in violations_after(scenario)] == ["wrong_place"]


def test_unrecorded_and_second_start_are_reported() -> None:
    def scenario(simulation: Simulation) -> None:
        simulation.jobs["wk-000001"] = job_spec("wk-000001", 1)
        start(simulation, "wk-000001/0", 1, "a")
        simulation.checker.recorded_tasks.clear()
        simulation.checker.record_start("wk-000001/0", machine_description(2, "a"), 0.0)

    assert [text.partition(":")[0] for text in violations_after(scenario)] == [
        "ran_twice",
        "no record",
    ]


def test_tasks_of_hanging_worker_count_until_lease_expires() -> None:
    """After that they cannot run on, and the leader may start others in their place."""

    async def run() -> list[str]:
        simulation = Simulation()
        simulation.jobs["wk-000001"] = job_spec("wk-000001", 6)  # uses the whole quota of the team
        simulation.jobs["wk-000002"] = job_spec("wk-000002", 1)
        machine = machine_description(1, "a")
        worker = Worker(simulation, machine)
        simulation.cloud.machines[machine.name] = RentedMachine(machine, 1e9, worker)
        worker.main_task.cancel()  # the test controls it alone
        worker.up = worker.hanging = True
        worker.lease_renewed_at = asyncio.get_running_loop().time()
        for task in range(6):
            task_id = f"wk-000001/{task}"
            worker.tasks[task_id] = TaskRun(1, protocol.TaskState.RUNNING, 0.0)
            start(simulation, task_id, 1, "a")
        await asyncio.sleep(simulation.workers.lease_s - 0.5)
        start(simulation, "wk-000002/0", 2, "a")
        assert [text.partition(":")[0] for text in simulation.checker.violations] == ["quota"]
        simulation.checker.record_end("wk-000002/0", "host-000002")
        await asyncio.sleep(1.0)
        start(simulation, "wk-000002/0", 2, "a")
        assert not any(
            simulation.checker.machines_by_task[f"wk-000001/{task}"] for task in range(6)
        )
        return simulation.checker.violations[1:]

    assert run_in_virtual_time(run()) == []


def test_worker_knows_each_attempt_of_a_task_until_it_is_forgotten() -> None:
    """A repeated start has no effect on a known attempt, and starts a forgotten one again."""

    async def run() -> list[list[int]]:
        simulation = Simulation()
        simulation.jobs["wk-000001"] = job_spec("wk-000001", 1)
        worker = Worker(simulation, machine_description(1, "a"))
        worker.main_task.cancel()  # the test controls it alone

        async def command(verb: str, attempt: int) -> list[int]:
            order = {"verb": verb, "leg": "wk-000001/0", "try": attempt}
            body = {"baton": 1, "flight": 1, "orders": [order]}
            _, report = await worker.handle("n0", "POST", "/do", body)
            return [entry["try"] for entry in report["legs"] if entry["status"] == "fetching"]

        started = [await command("launch", 1)]
        worker.end_task("wk-000001/0", worker.tasks["wk-000001/0"], "stopped")
        started += [await command("launch", 2), await command("launch", 1)]
        worker.end_task("wk-000001/0", worker.tasks["wk-000001/0"], "stopped")
        started += [await command("launch", 1), await command("launch", 2)]
        await command("forget", 1)
        return [*started, await command("launch", 2), await command("launch", 1)]

    assert run_in_virtual_time(run()) == [[1], [2], [2], [], [], [], [1]]


def test_only_jobs_that_users_poll_count_as_forgotten() -> None:
    """The users of a soak stop polling once they have received the final status."""

    async def run() -> list[str]:
        simulation = Simulation()
        for job_id, status in (("wk-000001", "done"), ("wk-000002", "running")):
            simulation.jobs[job_id] = job_spec(job_id, 0)
            simulation.checker.record_answer(job_id, 200, {"status": status})
        simulation.checker.faults_ended_at = asyncio.get_running_loop().time()
        await asyncio.sleep(80.0)
        simulation.checker.check_answers(["wk-000002"])
        return simulation.checker.violations

    (violation,) = run_in_virtual_time(run())
    assert violation.startswith("forgotten: no answer about wk-000002 for 80 s")


# ---- faults and workload -------------------------------------------------------------------------


def test_seed_determines_faults_and_jobs() -> None:
    def drawn(seed: int) -> tuple[Any, Any]:
        randomness = random.Random(seed)
        return draw_faults(randomness, 60.0, 2.0), draw_jobs(randomness, 40.0, ("a", "b"), 30, 5)

    assert drawn(3) == drawn(3)
    assert drawn(3) != drawn(4)


def test_all_fault_kinds_occur_and_end_within_duration() -> None:
    seen: Counter[FaultKind] = Counter()
    for seed in range(40):
        for fault in draw_faults(random.Random(seed), 40.0, 2.5):
            assert 0 < fault.begins_s <= fault.begins_s + fault.lasts_s <= 40.0
            seen[fault.kind] += 1
    assert set(seen) == set(FaultKind)


def test_held_commands_are_delayed_beyond_cancellation_limit() -> None:
    """Otherwise no soak could detect starts after the time limit of a cancellation."""

    async def run() -> None:
        faults = LinkFaults(random.Random(1))
        faults.commands_held_until["host-1"] = asyncio.get_running_loop().time() + 1.0
        held, free = (
            faults.delivery("any", "host-1", "/do"),
            faults.delivery("any", "host-2", "/do"),
        )
        assert held.response_lost
        assert held.delay_s > CANCEL_S
        assert not free.response_lost
        assert not faults.delivery("any", "host-1", "/show").delay_s

    run_in_virtual_time(run())


def test_workload_covers_all_attributes_that_rules_use() -> None:
    jobs = [
        planned
        for seed in range(10)
        for planned in draw_jobs(random.Random(seed), 40.0, ("a", "b"), 40, 6)
    ]
    assert {planned.spec["rank"] for planned in jobs} == {"low", "standard", "high", "prod"}
    for wanted in ("same_place", "scatter", "roost", "driftwood"):
        assert {bool(planned.spec[wanted]) for planned in jobs} == {True, False}
    assert {planned.service for planned in jobs} == {True, False}
    assert any(planned.submit_s < -150.0 and planned.spec["same_place"] for planned in jobs)
    assert any(planned.cancel_after_s is not None for planned in jobs)
    assert any(planned.cancel_when_running for planned in jobs)


def test_link_faults_apply_until_cleared() -> None:
    faults = LinkFaults(random.Random(1))
    assert faults.delivery("node-0", STATE, "/multi") == faults.delivery("node-0", "host-1", "/do")
    faults.cut.add(frozenset(("node-0", STATE)))
    assert faults.delivery("node-0", STATE, "/multi").lost
    assert not faults.delivery("node-1", STATE, "/multi").lost
    faults.not_receiving.add("host-1")
    assert faults.delivery("controller", "host-1", "/do").lost
    faults.late_writes = faults.late_heartbeats = 1.0
    assert faults.delivery("node-1", STATE, "/multi").response_lost
    assert faults.duplicate_delay_s("/checkin")
    assert faults.duplicate_delay_s("/ready") is None
    faults.clear_all()
    assert not faults.delivery("node-0", STATE, "/multi").lost
    assert faults.duplicate_delay_s("/checkin") is None


def test_reserved_port_is_exclusive_and_can_be_listened_on() -> None:
    """Otherwise a soak could reach the controllers of another soak on the same host."""

    async def listen() -> None:
        with reserve_port() as reserved:
            host, _, port = address_of(reserved).rpartition(":")
            others = [reserve_port() for _ in range(300)]
            assert address_of(reserved) not in {address_of(other) for other in others}
            for other in others:
                other.close()
            server = await asyncio.start_server(lambda reader, writer: None, host, int(port))
            with pytest.raises(OSError, match="address already in use"):
                await asyncio.start_server(lambda reader, writer: None, host, int(port))
            server.close()

    asyncio.run(listen())


# ---- soak command --------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "arguments",
    [
        ["--seeds", "0"],
        ["--seconds", "-3"],
        ["--machines", "many"],
        ["--sources", "/nonexistent"],
    ],
)
def test_invalid_arguments_exit_with_2(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    try:
        code: int | str | None = main(["soak", *arguments])
    except SystemExit as exit_request:
        code = exit_request.code
    assert code == 2
    assert arguments[0] in capsys.readouterr().err


def test_result_with_violation_has_evidence_and_repeat_command() -> None:
    result = SeedResult(7, jobs=3, done=2, violations=["quota: red"], evidence=["1.0 something"])
    text = format_result(result, LoopbackOptions(seconds=9.0, controllers=5, machines=6))
    assert "seed 7: BROKEN" in text
    assert "quota: red" in text
    assert "1.0 something" in text
    assert "soak --seeds 1 --first-seed 7 --seconds 9 --controllers 5 --machines 6" in text
    assert "seed 7: ok" in format_result(SeedResult(7), LoopbackOptions())


def children_of(parent: int) -> list[int]:
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue  # the process has just exited
        if int(fields[1]) == parent:
            found.append(int(path.parent.name))
    return found


def wait_for(condition: Callable[[], bool], within_s: float = 30.0) -> bool:
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return condition()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_signal_terminates_all_processes_of_a_soak(number: signal.Signals) -> None:
    command = [sys.executable, str(ROOT / "run.py"), "soak", "--seconds", "60"]
    soak = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        assert wait_for(lambda: len(children_of(soak.pid)) == 3)
        children = children_of(soak.pid)
        soak.send_signal(number)
        assert soak.wait(30.0) == 130
    finally:
        soak.kill()
        soak.wait()
    assert wait_for(lambda: not any(os.path.exists(f"/proc/{child}") for child in children))


def test_job_without_response_after_faults_counts_as_forgotten() -> None:
    async def main() -> None:
        simulation = Simulation()
        await simulation.submit(job_spec("wk-000001", 2))
        simulation.checker.faults_ended_at = now()
        simulation.network.partitions |= {frozenset(("user", n)) for n in NODES}
        with pytest.raises(NoResponseError):
            await simulation.ask("n0", "GET", "/v2/runs/wk-000001")
        await asyncio.sleep(60.0)
        simulation.checker.check_answers()
        assert not simulation.checker.violations
        await asyncio.sleep(20.0)
        simulation.checker.check_answers()
        assert any(text.startswith("forgotten") for text in simulation.checker.violations)

    run_in_virtual_time(main())


def test_each_third_seed_of_the_soak_has_an_array_of_the_largest_size() -> None:
    counts = [[job.spec["legs"] for job in draw_large_array(seed, 40.0)] for seed in range(1, 7)]
    assert counts == [[], [], [protocol.MAX_TASKS_PER_JOB]] * 2
    (array,) = draw_large_array(3, 40.0)
    assert array.cancel_after_faults
    assert 0.0 <= array.submit_s <= 20.0
