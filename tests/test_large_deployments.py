"""Faults in two deployments of 970 machines, in virtual time.

Virtual time does not show processor cost, so one test counts visited machines instead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest

from petrelthread.fleet import Machine
from tests.large_deployments import MACHINE_COUNT, ONE_ZONE, THREE_ZONES, Load
from tests.simulation import Deployment, Simulation, job_spec
from tests.virtual_time import run_in_virtual_time

Scenario = Callable[[Simulation, Load], Awaitable[None]]
MAX_SETTLE_S = 20.0  # until a new leader has heartbeats of all machines that can reach it
MAX_START_DELAY_S = 150.0  # from a job's acceptance until its first task starts


def now() -> float:
    return asyncio.get_running_loop().time()


async def fill_machines(simulation: Simulation, load: Load) -> None:
    """Submit jobs until all machines are up and as many tasks run as there are machines."""
    simulation.run_s = 20.0
    await load.add(90, 100)
    while sum(m.worker.up for m in simulation.cloud.machines.values()) < MACHINE_COUNT:
        await asyncio.sleep(0.5)
        assert now() < 200.0, "the fleet never came up"
    await simulation.wait_until_running(MACHINE_COUNT)


async def wait_until_settled(
    simulation: Simulation, excluded: frozenset[str] = frozenset()
) -> None:
    """Wait until all machines that are up, except excluded ones, know the leader's epoch."""
    deadline = now() + MAX_SETTLE_S
    while True:
        assert now() < deadline, "the leader has not settled"
        await asyncio.sleep(0.5)
        if simulation.leader is None:
            continue
        fleet = simulation.nodes[simulation.leader].fleet
        up = [n for n, m in simulation.cloud.machines.items() if m.worker.up and n not in excluded]
        known = [fleet.find(name) for name in up]
        if all(m is not None and m.acknowledged_epoch == fleet.epoch for m in known):
            return


def run(scenario: Scenario, deployment: Deployment) -> Simulation:
    async def main() -> Simulation:
        simulation = Simulation(1, deployment)
        load = Load(simulation)
        await fill_machines(simulation, load)
        await scenario(simulation, load)
        await simulation.wait_until_jobs_final(400.0)
        simulation.checker.faults_ended_at = now()
        await simulation.poll()
        assert not simulation.checker.violations, simulation.checker.violations
        first = {job_id: 1e9 for job_id in simulation.jobs}
        for task_id, at in simulation.checker.started_at.items():
            job_id = task_id.rpartition("/")[0]
            first[job_id] = min(first[job_id], at)
        late = {
            j: at - load.accepted_at[j]
            for j, at in first.items()
            if at - load.accepted_at[j] > MAX_START_DELAY_S
        }
        assert not late, late
        return simulation

    result: Simulation = run_in_virtual_time(main())
    return result


def crash_all(simulation: Simulation) -> None:
    for name in simulation.deployment.nodes:
        simulation.crash(name)


def boot_all(simulation: Simulation) -> None:
    for name in simulation.deployment.nodes:
        simulation.boot(name)


@pytest.mark.parametrize("deployment", [ONE_ZONE, THREE_ZONES], ids=["one zone", "three zones"])
def test_no_worker_lease_expires_when_all_controllers_crash_twice(deployment: Deployment) -> None:
    async def scenario(simulation: Simulation, load: Load) -> None:
        for pause in (3.0, 0.2):
            crash_all(simulation)
            await asyncio.sleep(pause)
            boot_all(simulation)
            await asyncio.sleep(1.0)
        await wait_until_settled(simulation)

    simulation = run(scenario, deployment)
    # Workers waited for responses, but no worker's lease expired, so none killed its tasks.
    assert sum(m.worker.killed_by_lease for m in simulation.cloud.machines.values()) == 0


def test_jobs_complete_after_mass_spot_terminations_during_a_failover() -> None:
    async def scenario(simulation: Simulation, load: Load) -> None:
        old = await simulation.wait_for_leader()
        names = sorted(simulation.cloud.machines)
        for at, name in enumerate(names[: MACHINE_COUNT // 3]):
            if at == 100:
                simulation.crash(old)
            machine = simulation.cloud.machines.pop(name)
            simulation.cloud.used[machine.description.spot] -= 1
            machine.worker.kill()
            if at % 20 == 0:
                await asyncio.sleep(0.5)
        simulation.boot(old)
        await wait_until_settled(simulation)

    run(scenario, ONE_ZONE)


def test_a_zone_unreachable_for_longer_than_a_lease_is_reported_down() -> None:
    async def scenario(simulation: Simulation, load: Load) -> None:
        inside = {n for n in simulation.deployment.nodes if simulation.deployment.zone_of(n) == "c"}
        inside |= {n for n, m in simulation.cloud.machines.items() if m.description.zone == "c"}
        outside = {
            "state",
            "cloud",
            "user",
            *simulation.deployment.nodes,
            *simulation.cloud.machines,
        } - inside
        pairs = [(a, b) for a in inside for b in outside if not a[:5] == b[:5] == "host-"]
        partitioned_pairs = {frozenset(pair) for pair in pairs}
        simulation.network.partitions |= partitioned_pairs
        await asyncio.sleep(5.0)
        await wait_until_settled(simulation, frozenset(inside))
        await asyncio.sleep(simulation.workers.lease_s + 5.0)
        assert simulation.leader is not None
        assert simulation.leader not in inside
        zone = simulation.nodes[simulation.leader].cluster_state.names.zones.index("c")
        assert zone in simulation.nodes[simulation.leader].zone_monitor.cut_off_since
        leader = simulation.nodes[simulation.leader]
        zones = orjson.loads((await leader.handle_peer("GET", "/admin/v1/zones", b"")).body)
        zone_texts = {entry["zone"]: entry["says"] for entry in zones["zones"]}
        assert zone_texts["c"].startswith("DOWN"), zone_texts
        assert not zone_texts["a"].startswith("DOWN"), zone_texts
        waiting = next(job for job in leader.cluster_state.open_jobs.values() if job.pending_count)
        path = f"/admin/v1/jobs/{waiting.id}"
        explanation = orjson.loads((await leader.handle_peer("GET", path, b"")).body)["why"]
        assert f"{waiting.pending_count} waiting" in explanation, explanation
        simulation.network.partitions -= partitioned_pairs
        await asyncio.sleep(10.0)

    run(scenario, THREE_ZONES)


def test_a_leader_paused_beyond_its_lease_after_a_rolling_restart_is_replaced() -> None:
    """A full partition simulates the pause: requests that wait during a pause would be stale."""

    async def scenario(simulation: Simulation, load: Load) -> None:
        for name in simulation.deployment.nodes:
            simulation.crash(name)
            await asyncio.sleep(3.0)
            simulation.boot(name)
        await wait_until_settled(simulation)
        old = await simulation.wait_for_leader()
        others = {
            "state",
            "cloud",
            "user",
            *simulation.deployment.nodes,
            *simulation.cloud.machines,
        } - {old}
        partitioned_pairs = {frozenset((old, other)) for other in others}
        simulation.network.partitions |= partitioned_pairs
        await asyncio.sleep(simulation.workers.lease_s + 6.0)
        simulation.network.partitions -= partitioned_pairs
        await wait_until_settled(simulation)
        assert simulation.leader is not None
        assert simulation.leader != old

    run(scenario, ONE_ZONE)


def test_an_unchanged_heartbeat_examines_only_its_own_machine() -> None:
    async def scenario() -> None:
        simulation = Simulation(1)
        simulation.run_s = 60.0
        await simulation.submit(job_spec("wk-000001", 12))
        await simulation.wait_until_running(6)
        leader = simulation.nodes[await simulation.wait_for_leader()]
        examined: list[int] = []
        attempts = leader.fleet.attempts_on

        def counting(machine: Machine) -> Any:
            examined.append(machine.index)
            return attempts(machine)

        worker = next(m.worker for m in simulation.cloud.machines.values() if m.worker.tasks)
        body = orjson.dumps(worker.heartbeat())
        leader.fleet.attempts_on = counting  # type: ignore[method-assign]
        await leader.handle("POST", "/checkin", body)
        assert len(set(examined)) == 1
        assert len(examined) <= 6

    run_in_virtual_time(scenario())
