"""Several concurrent faults, drawn from a seed, and a run without faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from petrelthread.emulator.worker import Worker
from tests.scenario import run_scenario
from tests.simulation import NODES, Simulation, job_spec


@dataclass(frozen=True)
class FaultTarget:
    """What one drawn fault affects, and for how long."""

    simulation: Simulation
    rng: random.Random
    node: str
    for_s: float


async def crash(target: FaultTarget) -> None:
    """A controller crashes and restarts later."""
    target.simulation.crash(target.node)
    await asyncio.sleep(target.for_s)
    target.simulation.boot(target.node)


async def pause(target: FaultTarget) -> None:
    """A controller's process is paused."""
    await target.simulation.pause(target.node, target.for_s)


async def refuse(target: FaultTarget) -> None:
    """The state service refuses all requests of one controller."""
    target.simulation.state_service.refused_controllers.add(target.node)
    await asyncio.sleep(target.for_s)
    target.simulation.state_service.refused_controllers.discard(target.node)


async def outage(target: FaultTarget) -> None:
    """The state service is down."""
    target.simulation.state_service.set_outage(True)
    await asyncio.sleep(min(target.for_s, 12.0))
    target.simulation.state_service.set_outage(False)


async def cut_from_workers(target: FaultTarget) -> None:
    """One controller is partitioned from all workers."""
    await _cut(target, set(target.simulation.cloud.machines))


async def cut_from_all_but_workers(target: FaultTarget) -> None:
    """One controller is partitioned from everything but workers."""
    await _cut(target, {"state", "cloud", *NODES} - {target.node})


async def _cut(target: FaultTarget, others: set[str]) -> None:
    cuts = {frozenset((target.node, other)) for other in others}
    target.simulation.network.partitions |= cuts
    await asyncio.sleep(target.for_s)
    target.simulation.network.partitions -= cuts


async def late_duplicates(target: FaultTarget) -> None:
    """A fifth of all POST requests but direct commands arrive a second time, 0.1 to 30 s later.

    A worker cannot tell a late duplicate of a start command, after the forget command of the
    attempt, from a new start (docs/questions.md, 10).
    """
    rng = target.rng
    target.simulation.network.duplicate_rule = lambda source, addr, method, path: (
        rng.uniform(0.1, 30.0)
        if method == "POST" and path != "/do" and rng.random() < 0.2
        else None
    )
    await asyncio.sleep(target.for_s)
    target.simulation.network.duplicate_rule = lambda *request: None


async def late_boots(target: FaultTarget) -> None:
    """Machines boot late."""
    target.simulation.boot_delay_s = target.for_s
    await asyncio.sleep(15.0)
    target.simulation.boot_delay_s = 0.0


async def receive_nothing(target: FaultTarget, worker: Worker) -> None:
    """A machine's heartbeats arrive, but nothing reaches it."""
    target.simulation.network.not_receiving.add(worker.name)
    await asyncio.sleep(target.for_s)
    target.simulation.network.not_receiving.discard(worker.name)


async def send_nothing(target: FaultTarget, worker: Worker) -> None:
    """Commands reach a machine, but its heartbeats reach no controller."""
    target.simulation.network.not_sending.add(worker.name)
    await asyncio.sleep(target.for_s)
    target.simulation.network.not_sending.discard(worker.name)


async def hang(target: FaultTarget, worker: Worker) -> None:
    """A machine hangs for a while."""
    worker.hanging = True
    await asyncio.sleep(target.for_s)
    worker.hanging = False


async def fail_all_tasks(_target: FaultTarget, worker: Worker) -> None:
    """Every task fails on a machine from now on."""
    worker.faulty = True


async def terminate(_target: FaultTarget, worker: Worker) -> None:
    """A machine terminates."""
    worker.kill()


ClusterFault = Callable[[FaultTarget], Awaitable[None]]
MachineFault = Callable[[FaultTarget, Worker], Awaitable[None]]

CLUSTER_FAULTS: dict[str, ClusterFault] = {
    "crash": crash,
    "pause": pause,
    "refused": refuse,
    "outage": outage,
    "no workers": cut_from_workers,
    "workers only": cut_from_all_but_workers,
    "copies": late_duplicates,
    "late boots": late_boots,
}
MACHINE_FAULTS: dict[str, MachineFault] = {
    "receives nothing": receive_nothing,
    "hangs": hang,
    "lost": terminate,
    "faulty": fail_all_tasks,
    "sends nothing": send_nothing,
}
# The order decides which faults a seed draws.
FAULT_KINDS = [
    "crash",
    "pause",
    "refused",
    "outage",
    "no workers",
    "workers only",
    "receives nothing",
    "hangs",
    "copies",
    "late boots",
    "lost",
    "faulty",
    "sends nothing",
]


async def inject_fault(simulation: Simulation, rng: random.Random) -> None:
    """Inject one fault of a random kind, for a random duration."""
    node = rng.choice(list(simulation.deployment.nodes))
    if rng.random() < 0.5 and simulation.leader is not None:
        node = simulation.leader
    for_s = rng.choice([0.1, 1.5, 4.0, 12.0, 25.0])
    machines = sorted(simulation.cloud.machines)
    kind = rng.choice(FAULT_KINDS)
    down = node not in simulation.nodes
    if (kind == "crash" and down) or (kind == "pause" and (down or node in simulation.loop.paused)):
        kind = "lost"  # the controller has such a fault already: a machine terminates instead
    target = FaultTarget(simulation, rng, node, for_s)
    if kind in CLUSTER_FAULTS:
        await CLUSTER_FAULTS[kind](target)
    elif machines:
        worker = simulation.cloud.machines[rng.choice(machines)].worker
        await MACHINE_FAULTS[kind](target, worker)


@pytest.mark.parametrize("seed", range(5))
def test_concurrent_faults_violate_no_invariant(seed: int) -> None:
    """No invariant is violated, and every job reaches a final status once all faults have ended."""

    async def scenario(simulation: Simulation) -> None:
        rng = random.Random(seed)
        simulation.run_time_spread_s = 8.0
        simulation.failing_jobs.add("wk-000003")
        for n in range(10):
            team = ("red", "blue", "guest")[n % 3]
            priority = "low" if team == "guest" else rng.choice(["standard", "high"])
            more = {"checkpoint_interval_s": 2.0, "grace_period_s": 1.0} if team == "guest" else {}
            spec = job_spec(
                f"wk-{n:06d}", rng.choice([1, 4, 20]), team=team, priority=priority, **more
            )
            await simulation.submit({**spec, "cores": rng.choice([1.0, 2.0, 4.0])})
        await simulation.wait_until_running(2)
        faults = []
        for _ in range(8):
            faults.append(asyncio.ensure_future(inject_fault(simulation, rng)))
            await asyncio.sleep(rng.uniform(0.0, 8.0))
            await simulation.poll()
        await simulation.cancel("wk-000004")
        await asyncio.gather(*faults)
        assert await simulation.cancel("wk-000003") == "aborted"
        await simulation.wait_until_jobs_final(240.0)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_faults_each_task_runs_once_and_all_machines_are_returned(seed: int) -> None:
    async def scenario(simulation: Simulation) -> None:
        for n in range(6):
            team = "red" if n % 2 else "blue"
            await simulation.submit(job_spec(f"wk-{n:06d}", 3 + n, team=team))
        await simulation.wait_until_jobs_final(120.0)

    simulation = run_scenario(scenario, seed)
    assert simulation.checker.start_count == sum(3 + n for n in range(6))  # each task started once
    assert not simulation.cloud.machines  # all were returned
    remaining_keys = [
        key for key in simulation.state_service.keys if key.startswith(("pt/c/", "pt/x/"))
    ]
    assert not remaining_keys  # all cloud operations are settled and their records deleted


def test_state_service_outage_longer_than_a_worker_lease_stops_no_task() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.run_s = 30.0
        await simulation.submit(job_spec("wk-000001", 6, estimated_run_s=60.0))
        await simulation.wait_until_running(6)
        simulation.state_service.set_outage(True)
        status, _ = await simulation.ask("n0", "GET", "/v2/runs/wk-000001")
        assert status == 503
        await asyncio.sleep(18.0)
        simulation.state_service.set_outage(False)
        await simulation.wait_until_jobs_final(60.0)
        killed = sum(m.worker.killed_by_lease for m in simulation.cloud.machines.values())
        assert not killed

    simulation = run_scenario(scenario)
    assert simulation.checker.start_count == 6
