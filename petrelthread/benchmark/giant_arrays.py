"""Benchmark of a leader's steps while arrays of the largest permitted size wait.

Each step holds the event loop: until it ends, no lease is renewed and no request is answered.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from petrelthread.benchmark.populated_leader import PopulatedLeader
from petrelthread.protocol import MAX_TASKS_PER_JOB

MACHINE_COUNTS = (8, 700, 4000)
JOB_COUNTS = (60, 1000)
ARRAY_COUNTS = (1, 10, 100)
# Of one task: one that fits on no machine, and one of which many fit on each.
ARRAY_CORES = (64.0, 0.002)
ARRAY_RAM_GB = 0.001
TASKS_PER_JOB = 5
DUE_S = 120.0  # of the ordinary jobs
ARRAY_DUE_S = 900.0
RUNS = 3
MAX_RUNS_S = 1.0  # a step that took longer in all is not run again
MS_PER_S = 1000.0


class StepTimes(NamedTuple):
    """Longest duration in milliseconds of each step of one leader."""

    ordering: float
    decision: float  # of a round
    claim: float
    plan: float


def _longest_ms(step: Callable[[], object]) -> float:
    durations_s: list[float] = []
    while len(durations_s) < RUNS and sum(durations_s) < MAX_RUNS_S:
        started_at = time.perf_counter()
        step()
        durations_s.append(time.perf_counter() - started_at)
    return max(durations_s) * MS_PER_S


async def measure(machines: int, jobs: int, arrays: int, array_cores: float) -> StepTimes:
    """Time the steps of a leader with ordinary jobs and arrays of the largest size."""
    leader = PopulatedLeader(machines)
    for number in range(jobs):
        leader.add_pending_job(TASKS_PER_JOB, number % TASKS_PER_JOB, deadline_s=DUE_S)
    for _ in range(arrays):
        leader.add_pending_job(
            MAX_TASKS_PER_JOB,
            0,
            cores=array_cores,
            ram_gb=ARRAY_RAM_GB,
            deadline_s=ARRAY_DUE_S,
            priority="low",
        )
    controller = leader.controller
    now = asyncio.get_running_loop().time()
    scheduler, provisioner = controller.scheduler, controller.provisioner
    scheduler.decide(now)  # fills the caches of the first round
    decision = scheduler.decide(now)
    order = controller.cluster_view.job_order()
    return StepTimes(
        ordering=_longest_ms(controller.cluster_view.job_order),
        decision=_longest_ms(lambda: scheduler.decide(now, order)),
        claim=_longest_ms(
            lambda: scheduler.claim_builder.build(decision.starts, decision.preemptions, now)
        ),
        plan=_longest_ms(lambda: provisioner.plan_now(now, order)),
    )


def bench_giant_arrays(machine_counts: Sequence[int] = MACHINE_COUNTS) -> int:
    """Print a table of the longest times and return 0, however long the steps took."""
    heading = f"{'machines':>8} {'jobs':>6} {'arrays':>6} {'cores':>6}"
    print(heading + "".join(f" {name + ' ms':>12}" for name in StepTimes._fields))
    for machines in machine_counts:
        for jobs in JOB_COUNTS:
            for arrays in ARRAY_COUNTS:
                for cores in ARRAY_CORES:
                    times = asyncio.run(measure(machines, jobs, arrays, cores))
                    row = f"{machines:8d} {jobs:6d} {arrays:6d} {cores:6g}"
                    print(row + "".join(f" {ms:12.1f}" for ms in times), flush=True)
    return 0
