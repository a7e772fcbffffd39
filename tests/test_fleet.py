"""970 machines and the limits of two kinds of deployment, in virtual time.

Virtual time shows no processor cost: what a round may visit is counted instead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest

from petrelthread.fleet import Machine
from tests.fleet import MACHINES, ONE_ZONE, THREE_ZONES, Load
from tests.simulation import Deployment, Simulation, job
from tests.virtual import play

Scenario = Callable[[Simulation, Load], Awaitable[None]]
SETTLED_S = 20.0  # a new leader has heard every machine that can be heard
BEGUN_S = 150.0  # and no job waits longer than this for its first task


def now() -> float:
    return asyncio.get_running_loop().time()


async def at_work(simulation: Simulation, load: Load) -> None:
    """All machines up, and most of them with two tasks."""
    simulation.run_s = 20.0
    await load.add(90, 100)
    while sum(m.worker.up for m in simulation.cloud.machines.values()) < MACHINES:
        await asyncio.sleep(0.5)
        assert now() < 200.0, "the fleet never came up"
    await simulation.wait_until_running(MACHINES)


async def settled(simulation: Simulation, but: frozenset[str] = frozenset()) -> None:
    """A leader has heard all machines that are up, in a stated time."""
    end = now() + SETTLED_S
    while True:
        assert now() < end, "the leader has not settled"
        await asyncio.sleep(0.5)
        if simulation.leader is None:
            continue
        fleet = simulation.nodes[simulation.leader].fleet
        up = [n for n, m in simulation.cloud.machines.items() if m.worker.up and n not in but]
        known = [fleet.find(name) for name in up]
        if all(m is not None and m.acknowledged_epoch == fleet.epoch for m in known):
            return


def run(scenario: Scenario, deployment: Deployment) -> Simulation:
    async def main() -> Simulation:
        simulation = Simulation(1, deployment)
        load = Load(simulation)
        await at_work(simulation, load)
        await scenario(simulation, load)
        await simulation.wait_until_over(400.0)
        simulation.checker.faults_ended_at = now()
        await simulation.poll()
        assert not simulation.checker.violations, simulation.checker.violations
        first = {job_id: 1e9 for job_id in simulation.jobs}
        for task_id, at in simulation.checker.started_at.items():
            job_id = task_id.rpartition("/")[0]
            first[job_id] = min(first[job_id], at)
        late = {j: at - load.asked[j] for j, at in first.items() if at - load.asked[j] > BEGUN_S}
        assert not late, late
        return simulation

    result: Simulation = play(main())
    return result


def crash_all(simulation: Simulation) -> None:
    for name in simulation.deployment.nodes:
        simulation.crash(name)


def boot_all(simulation: Simulation) -> None:
    for name in simulation.deployment.nodes:
        simulation.boot(name)


@pytest.mark.parametrize("deployment", [ONE_ZONE, THREE_ZONES], ids=["one zone", "three zones"])
def test_all_controllers_crash_twice(deployment: Deployment) -> None:
    async def scenario(simulation: Simulation, load: Load) -> None:
        for pause in (3.0, 0.2):
            crash_all(simulation)
            await asyncio.sleep(pause)
            boot_all(simulation)
            await asyncio.sleep(1.0)
        await settled(simulation)

    simulation = run(scenario, deployment)
    # Nothing was lost but what the wait for answers cost: no lease ran out.
    assert sum(m.worker.killed_by_lease for m in simulation.cloud.machines.values()) == 0


def test_a_wave_of_spot_terminations_during_a_failover() -> None:
    async def scenario(simulation: Simulation, load: Load) -> None:
        old = await simulation.wait_for_leader()
        names = sorted(simulation.cloud.machines)
        for at, name in enumerate(names[: MACHINES // 3]):
            if at == 100:
                simulation.crash(old)
            machine = simulation.cloud.machines.pop(name)
            simulation.cloud.used[machine.description.spot] -= 1
            machine.worker.kill()
            if at % 20 == 0:
                await asyncio.sleep(0.5)
        simulation.boot(old)
        await settled(simulation)

    run(scenario, ONE_ZONE)


def test_a_zone_is_cut_off_for_longer_than_a_lease() -> None:
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
        cuts = {frozenset(pair) for pair in pairs}
        simulation.net.partitions |= cuts
        await asyncio.sleep(5.0)
        await settled(simulation, frozenset(inside))
        await asyncio.sleep(simulation.workers.lease_s + 5.0)
        assert simulation.leader is not None
        assert simulation.leader not in inside
        zone = simulation.nodes[simulation.leader].cluster_state.names.zones.index("c")
        assert (
            zone in simulation.nodes[simulation.leader].zone_monitor.cut_off_since
        )  # said plainly which one fell
        leader = simulation.nodes[simulation.leader]
        zones = orjson.loads((await leader.handle_peer("GET", "/admin/v1/zones", b"")).body)
        told = {entry["zone"]: entry["says"] for entry in zones["zones"]}
        assert told["c"].startswith("DOWN"), told
        assert not told["a"].startswith("DOWN"), told
        waiting = next(job for job in leader.cluster_state.open_jobs.values() if job.pending_count)
        path = f"/admin/v1/jobs/{waiting.id}"
        why = orjson.loads((await leader.handle_peer("GET", path, b"")).body)["why"]
        assert f"{waiting.pending_count} waiting" in why, why
        simulation.net.partitions -= cuts
        await asyncio.sleep(10.0)

    run(scenario, THREE_ZONES)


def test_a_rolling_restart_and_a_leader_paused_beyond_its_lease() -> None:
    """What reaches the old leader while it stands still is as old as that when it goes on."""

    async def scenario(simulation: Simulation, load: Load) -> None:
        for name in simulation.deployment.nodes:
            simulation.crash(name)
            await asyncio.sleep(3.0)
            simulation.boot(name)
        await settled(simulation)
        old = await simulation.wait_for_leader()
        others = {
            "state",
            "cloud",
            "user",
            *simulation.deployment.nodes,
            *simulation.cloud.machines,
        } - {old}
        still = {frozenset((old, other)) for other in others}
        simulation.net.partitions |= still
        await asyncio.sleep(simulation.workers.lease_s + 6.0)
        simulation.net.partitions -= still
        await settled(simulation)
        assert simulation.leader is not None
        assert simulation.leader != old

    run(scenario, ONE_ZONE)


def test_an_unchanged_heartbeat_examines_only_its_own_machine() -> None:
    async def scenario() -> None:
        simulation = Simulation(1)
        simulation.run_s = 60.0
        await simulation.submit(job("wk-000001", 12))
        await simulation.wait_until_running(6)
        leader = simulation.nodes[await simulation.wait_for_leader()]
        looked: list[int] = []
        attempts = leader.fleet.attempts_on

        def counted(machine: Machine) -> Any:
            looked.append(machine.index)
            return attempts(machine)

        worker = next(m.worker for m in simulation.cloud.machines.values() if m.worker.tasks)
        body = orjson.dumps(worker.heartbeat())
        leader.fleet.attempts_on = counted  # type: ignore[method-assign]
        await leader.handle("POST", "/checkin", body)
        assert len(set(looked)) == 1
        assert len(looked) <= 6

    play(scenario())
