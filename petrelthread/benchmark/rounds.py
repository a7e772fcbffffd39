"""Benchmark of a leader's recurring work, by number of machines (``run.py bench-rounds``)."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from petrelthread.benchmark.populated_leader import (
    EPOCH,
    IMAGES,
    TASKS_PER_WAITING_JOB,
    PopulatedLeader,
)
from petrelthread.state import (
    ClusterState,
    InternedNames,
    KeyKind,
    Placement,
    encode,
    epoch_base_number,
    pack_round_records,
)

MACHINE_COUNTS = (600, 1200, 2400, 4000, 8000)
ROUNDS = 30
PLANS = 10
RELOADS = 5
MACHINES_PER_WAITING_JOB = 40
HEARTBEAT_TIMEOUT_S = 14.0
MACHINES_CHANGED = 5  # between two rounds
MAX_RECORD_BYTES = 3400
MS_PER_S = 1000.0
PERCENTILE = 0.99


@dataclass(frozen=True)
class Timing:
    """Duration of one kind of work: median and 99th percentile of all runs."""

    work: str
    machines: int
    median_ms: float
    p99_ms: float


def _time_work(work: str, machines: int, step: Callable[[], object], runs: int) -> Timing:
    durations_ms = []
    for _ in range(runs):
        started_at = time.perf_counter()
        step()
        durations_ms.append((time.perf_counter() - started_at) * MS_PER_S)
    durations_ms.sort()
    return Timing(
        work, machines, statistics.median(durations_ms), durations_ms[int(PERCENTILE * (runs - 1))]
    )


def _change_some_machines(leader: PopulatedLeader) -> None:
    """Clear the cached images of a few machines, to simulate changes between two rounds."""
    machines = list(leader.controller.fleet.machines.values())
    for machine in machines[:MACHINES_CHANGED]:
        machine.clear_images()


def _reload(values: Sequence[tuple[str, object]]) -> ClusterState:
    state = ClusterState(InternedNames(["red"], ["a"]))
    for revision, (key, value) in enumerate(values):
        state.on_key(key, value, revision)
    return state


def _stored_keys(leader: PopulatedLeader) -> list[tuple[str, object]]:
    """Return the keys and values from which the leader's state is loaded: jobs and rounds."""
    state = leader.state
    jobs = [(KeyKind.JOB.key(job.id), leader.stored_record(job)) for job in state.jobs.values()]
    entries = [
        Placement(state.names.machines.name(machine), 1, attempt.job.id, attempt.task)
        for machine, attempts in state.attempts_by_machine.items()
        for attempt in attempts.values()
    ]
    records = pack_round_records(entries, MAX_RECORD_BYTES)
    rounds = [
        (KeyKind.ROUND.key(epoch_base_number(EPOCH) + n), encode(record))
        for n, record in enumerate(records, 1)
    ]
    return [*jobs, *rounds]


def measure(machines: int) -> list[Timing]:
    """Time all kinds of work on a leader with ``machines`` machines."""
    return asyncio.run(_measure(machines))


async def _measure(machines: int) -> list[Timing]:
    leader = PopulatedLeader(machines)
    controller = leader.controller
    now = asyncio.get_running_loop().time()
    heartbeats = iter(leader.heartbeats)

    def unchanged_heartbeat() -> None:
        heartbeat = next(heartbeats)
        heartbeat.sequence_number += 1
        machine = controller.fleet.on_heartbeat(heartbeat, now, answered=True)
        assert machine is not None
        controller.command_planner.for_heartbeat(machine, heartbeat, now, may_start=True)

    def one_round() -> None:
        _change_some_machines(leader)
        controller.scheduler.decide(now)

    def failure_check() -> None:
        controller.failure_detector.check(now, HEARTBEAT_TIMEOUT_S)

    def overdue_heartbeats() -> None:
        controller.failure_detector.overdue_machines(now)

    def plan() -> None:
        controller.provisioner.plan_now(now)

    timings = [
        _time_work("unchanged heartbeat", machines, unchanged_heartbeat, min(machines, 500)),
        _time_work("failure check", machines, failure_check, 30),
        _time_work("overdue heartbeats", machines, overdue_heartbeats, 30),
    ]
    leader.add_pending_job(1, 0)
    controller.scheduler.decide(now)
    timings.append(_time_work("round, one task waits", machines, one_round, ROUNDS))
    timings.append(_time_work("provisioning plan", machines, plan, PLANS))
    stored = _stored_keys(leader)
    for number in range(machines // MACHINES_PER_WAITING_JOB):
        leader.add_pending_job(TASKS_PER_WAITING_JOB, number % IMAGES)
    timings.append(_time_work("round, many tasks wait", machines, one_round, ROUNDS))
    timings.append(_time_work("plan, many tasks wait", machines, plan, PLANS))
    timings.append(_time_work("reload", machines, lambda: _reload(stored), RELOADS))
    return timings


def bench_rounds(machine_counts: Sequence[int] = MACHINE_COUNTS) -> int:
    """Print a table of timings and return 0, however long the work took."""
    print(f"{'work':26} {'machines':>8} {'median ms':>10} {'p99 ms':>9} {'to smallest':>12}")
    baseline_median_ms: dict[str, float] = {}
    for machines in machine_counts:
        for timing in measure(machines):
            ratio = timing.median_ms / baseline_median_ms.setdefault(timing.work, timing.median_ms)
            print(
                f"{timing.work:26} {machines:8d} {timing.median_ms:10.3f} {timing.p99_ms:9.3f}"
                f" {ratio:12.2f}"
            )
    return 0
