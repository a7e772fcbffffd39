"""Soak: real controllers on the loopback interface under random faults, with an invariant checker.

A seed determines the workload and the faults. Processes and sockets are real, so runs of the
same seed may differ in timing and outcome.
"""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from petrelthread.emulator.faults import draw_faults
from petrelthread.emulator.injector import FaultInjector
from petrelthread.emulator.invariant_checker import FINAL_STATUSES
from petrelthread.emulator.loopback import ignore_cancelled
from petrelthread.emulator.loopback_environment import LoopbackEnvironment, LoopbackOptions
from petrelthread.emulator.processes import CANCEL_S, ZONES
from petrelthread.emulator.users import Users
from petrelthread.emulator.workload import draw_jobs, draw_large_array

FAULT_INTERVAL_S = 1.5  # mean
JOBS_PER_S = 1.0
BACKLOG = 8  # jobs that were accepted before the start
SUBMIT_SHARE = 0.8  # share of the fault phase during which jobs are submitted
# All jobs must reach their final status within this time after the last fault. It covers the lease,
# the grace period, boots, and the remaining work of the team with the lower limit.
COMPLETION_LIMIT_S = 150.0
CHECK_INTERVAL_S = 0.25
REPORTED_PAUSE_S = 1.0  # longer pauses of this process are reported: they distort its measurements


@dataclass
class SeedResult:
    """The result of one seed."""

    seed: int
    jobs: int = 0
    done: int = 0
    cancelled: int = 0
    starts: int = 0
    unexpected_exits: int = 0  # of controllers that were not killed
    longest_pause_s: float = 0.0  # in this process
    faults: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    evidence: list[str] = field(default_factory=list)
    logs: Path | None = None  # directory of the controllers' logs, kept if there are violations


class Soak:
    """Runs the soak with one seed."""

    def __init__(self, seed: int, options: LoopbackOptions) -> None:
        self._options = options
        self._result = SeedResult(seed)

    async def run(self) -> SeedResult:
        """Run the seed. The controllers' logs are kept only if there are violations."""
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{self._result.seed}-"))
        asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
        environment = LoopbackEnvironment(self._result.seed, self._options, directory)
        try:
            await self._run_with_faults(environment)
        finally:
            environment.close()
            self._collect(environment)
            if self._result.violations:
                self._result.logs = directory
            else:
                shutil.rmtree(directory)
        return self._result

    async def _run_with_faults(self, environment: LoopbackEnvironment) -> None:
        options, loop = self._options, asyncio.get_running_loop()
        jobs = draw_jobs(
            environment.random,
            options.seconds * SUBMIT_SHARE,
            ZONES,
            int(options.seconds * JOBS_PER_S),
            BACKLOG,
        )
        jobs += draw_large_array(self._result.seed, options.seconds * SUBMIT_SHARE)
        self._result.jobs = len(jobs)
        faults = draw_faults(environment.random, options.seconds, FAULT_INTERVAL_S)
        for job in jobs:
            environment.add_job(job)
        await environment.start()
        addresses = [environment.public_address(node) for node in environment.deployment.nodes]
        users = Users(
            environment.checker,
            environment.network.requester("users"),
            addresses,
            environment.random,
        )
        injector = FaultInjector(environment)
        started_at = loop.time()
        user_tasks = [asyncio.create_task(users.follow(job, started_at)) for job in jobs]
        monitor = asyncio.create_task(self._monitor(environment, injector))
        try:
            await asyncio.gather(
                asyncio.sleep(options.seconds),
                *(injector.inject(fault, started_at) for fault in faults),
            )
            environment.faults.clear_all()
            environment.checker.faults_ended_at = loop.time()
            users.faults_ended.set()
            await self._wait_for_final_statuses(environment, user_tasks)
            await asyncio.gather(*(users.query_final_statuses(job) for job in jobs))
            for cancelled_at in environment.checker.cancelled_at.values():
                await asyncio.sleep(max(0.0, cancelled_at + CANCEL_S + 1.0 - loop.time()))
        finally:
            for task in [monitor, *user_tasks]:
                task.cancel()
            self._result.faults = injector.fault_counts
            environment.checker.violations += users.errors

    async def _wait_for_final_statuses(
        self, environment: LoopbackEnvironment, user_tasks: list[asyncio.Task[None]]
    ) -> None:
        """Wait until every job has its final status; report the jobs that take too long."""
        _, unfinished = await asyncio.wait(user_tasks, timeout=COMPLETION_LIMIT_S)
        if unfinished:
            environment.checker.violations += [
                f"not over {COMPLETION_LIMIT_S:.0f} s after the last fault:"
                f" {job_id} is {environment.checker.statuses.get(job_id)}"
                for job_id in self._unfinished_jobs(environment)
            ]

    async def _monitor(self, environment: LoopbackEnvironment, injector: FaultInjector) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            pause_s = loop.time() - before - CHECK_INTERVAL_S
            self._result.longest_pause_s = max(self._result.longest_pause_s, pause_s)
            injector.restart_exited_controllers()
            environment.checker.check_cancellations()
            if environment.checker.faults_ended_at is not None:
                environment.checker.check_answers(self._unfinished_jobs(environment))
                environment.checker.check_waiting_jobs()

    @staticmethod
    def _unfinished_jobs(environment: LoopbackEnvironment) -> list[str]:
        """Jobs of which no user has received a final status."""
        statuses = environment.checker.statuses
        return [job for job in environment.jobs if statuses.get(job) not in FINAL_STATUSES]

    def _collect(self, environment: LoopbackEnvironment) -> None:
        result, checker = self._result, environment.checker
        statuses = Counter(checker.statuses.get(job_id) for job_id in environment.jobs)
        result.done, result.cancelled = statuses["done"], statuses["aborted"]
        result.starts = checker.start_count
        result.unexpected_exits = sum(
            controller.unexpected_exits for controller in environment.controllers
        )
        result.violations = list(dict.fromkeys(checker.violations))
        result.evidence = [line for text in result.violations for line in checker.evidence(text)]


async def run_seed(seed: int, options: LoopbackOptions) -> SeedResult:
    """Run the soak with one seed."""
    return await Soak(seed, options).run()


def format_result(result: SeedResult, options: LoopbackOptions) -> str:
    """One line; with violations, also the evidence and the command that repeats the seed."""
    faults = ", ".join(f"{kind} {count}" for kind, count in sorted(result.faults.items()))
    line = (
        f"seed {result.seed}: {'BROKEN' if result.violations else 'ok'}; {result.jobs} jobs"
        f" ({result.done} done, {result.cancelled} cancelled), {result.starts} starts;"
        f" faults: {faults or 'none'}"
    )
    if result.unexpected_exits:
        line += f"; {result.unexpected_exits} controllers ended by themselves"
    if result.longest_pause_s > REPORTED_PAUSE_S:
        line += f"; this process itself stood still for {result.longest_pause_s:.1f} s"
    if not result.violations:
        return line
    repeat_command = (
        f"python3 run.py soak --seeds 1 --first-seed {result.seed} --seconds {options.seconds:g}"
        f" --controllers {options.controllers} --machines {options.machines}"
    )
    return "\n".join(
        [
            line,
            *(f"  broken: {text}" for text in result.violations),
            *(f"  {text}" for text in result.evidence),
            f"  controllers' logs: {result.logs}",
            f"  again: {repeat_command}",
        ]
    )


def run_seeds(seeds: range, options: LoopbackOptions) -> int:
    """Run one seed after the other.

    Returns the exit code: 0 without violations, 1 with violations, 130 if interrupted.
    """
    seeds_with_violations = 0
    # SIGINT is set as well, since shells start background jobs with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    try:
        for seed in seeds:
            result = asyncio.run(run_seed(seed, options))
            seeds_with_violations += bool(result.violations)
            print(format_result(result, options), flush=True)
    except KeyboardInterrupt:
        return 130
    print(f"{len(seeds)} seeds, {seeds_with_violations} with a broken rule")
    return 1 if seeds_with_violations else 0
