"""Times of a leader's recurring work, at several numbers of machines: ``run.py bench-rounds``."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from petrelthread.benchmark.populated import EPOCH, TASKS_PER_WAITING_JOB, PopulatedLeader
from petrelthread.state import (
    ClusterState,
    InternedNames,
    Placement,
    encode,
    epoch_base_number,
    pack_round_records,
)

SIZES = (600, 1200, 2400, 4000, 8000)
ROUNDS = 30
REPORTS_CHANGED = 5  # machines that change between two rounds
RECORD_BYTES = 3400
MS = 1000.0


@dataclass(frozen=True)
class Timing:
    """Milliseconds of one kind of work: median and the 99th percentile of all runs."""

    work: str
    machines: int
    median_ms: float
    p99_ms: float


def _time(work: str, machines: int, step: Callable[[], object], runs: int) -> Timing:
    spent = []
    for _ in range(runs):
        begun = time.perf_counter()
        step()
        spent.append((time.perf_counter() - begun) * MS)
    spent.sort()
    return Timing(work, machines, statistics.median(spent), spent[int(0.99 * (runs - 1))])


def _change_some(leader: PopulatedLeader) -> None:
    """What happens between two rounds: a few machines get a new image or fall idle."""
    machines = list(leader.controller.fleet.machines.values())
    for machine in machines[:REPORTS_CHANGED]:
        machine.forget_images()


def _reload(values: Sequence[tuple[str, object]]) -> ClusterState:
    state = ClusterState(InternedNames(["red"], ["a"]))
    for revision, (key, value) in enumerate(values):
        state.on_key(key, value, revision)
    return state


def _stored(leader: PopulatedLeader) -> list[tuple[str, object]]:
    """The keys that hold what the leader knows: jobs and rounds."""
    state = leader.state
    jobs = [(f"j/{job.id}", leader.stored(job)) for job in state.jobs]
    entries = [
        Placement(state.names.machines.name(machine), 1, attempt.job.id, attempt.task)
        for machine, there in state.attempts_by_machine.items()
        for attempt in there.values()
    ]
    records = pack_round_records(entries, RECORD_BYTES)
    rounds = [
        (f"r/{epoch_base_number(EPOCH) + n}", encode(record)) for n, record in enumerate(records, 1)
    ]
    return [*jobs, *rounds]


def measure(machines: int) -> list[Timing]:
    """All kinds of work with so many machines."""

    async def main() -> list[Timing]:
        leader = PopulatedLeader(machines)
        node = leader.controller
        now = asyncio.get_running_loop().time()
        reports = iter(leader.reports)

        def unchanged_report() -> None:
            report = next(reports)
            report.sequence_number += 1
            machine = node.fleet.on_heartbeat(report, now, answered=True)
            assert machine is not None
            node.command_planner.for_heartbeat(machine, report, now)

        def one_round() -> None:
            _change_some(leader)
            node.scheduler.decide(now)

        out = [
            _time("unchanged report", machines, unchanged_report, min(machines, 500)),
            _time(
                "check for silence", machines, lambda: node.failure_detector.check(now, 14.0), 30
            ),
            _time(
                "overdue reports", machines, lambda: node.failure_detector.overdue_machines(now), 30
            ),
        ]
        leader.accept(1, 0)
        node.scheduler.decide(now)
        out.append(_time("round, one task waits", machines, one_round, ROUNDS))
        out.append(_time("rental plan", machines, lambda: node.provisioner.plan_now(now), 10))
        stored = _stored(leader)
        for n in range(machines // 40):
            leader.accept(TASKS_PER_WAITING_JOB, n % 20)
        out.append(_time("round, much waits", machines, one_round, ROUNDS))
        out.append(
            _time("rental plan, much waits", machines, lambda: node.provisioner.plan_now(now), 10)
        )
        out.append(_time("reload", machines, lambda: _reload(stored), 5))
        return out

    return asyncio.run(main())


def bench_rounds(sizes: Sequence[int] = SIZES) -> int:
    """Print a table; the exit code says nothing about the times."""
    print(f"{'work':26} {'machines':>8} {'median ms':>10} {'p99 ms':>9} {'to smallest':>12}")
    smallest: dict[str, float] = {}
    for machines in sizes:
        for timing in measure(machines):
            ratio = timing.median_ms / smallest.setdefault(timing.work, timing.median_ms)
            print(
                f"{timing.work:26} {machines:8d} {timing.median_ms:10.3f} {timing.p99_ms:9.3f}"
                f" {ratio:12.2f}"
            )
    return 0
