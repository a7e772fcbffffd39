"""Soak: real controllers on the loopback interface under random faults, with an invariant checker.

A seed determines the workload and the faults. Processes and sockets are real, so controllers may
react differently from run to run.
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
from petrelthread.emulator.workload import draw_jobs

FAULT_INTERVAL_S = 1.5  # in the mean
JOBS_PER_S = 1.0
BACKLOG = 8  # jobs accepted before the start
SUBMIT_SHARE = 0.8  # share of the time of faults in which jobs are submitted
# Within this time after the last fault all jobs must be over. It covers lease, grace period and
# boots, and the remaining work of the team with the lower limit.
SETTLE_S = 150.0
CHECK_INTERVAL_S = 0.25
REPORTED_PAUSE_S = 1.0  # longer pauses of this process are reported: they distort what it sees


@dataclass
class SeedResult:
    """Result of one seed."""

    seed: int
    jobs: int = 0
    done: int = 0
    cancelled: int = 0
    starts: int = 0
    exits: int = 0  # controllers that exited by themselves
    longest_pause_s: float = 0.0  # of this process
    faults: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    evidence: list[str] = field(default_factory=list)
    logs: Path | None = None  # kept if there are violations


class Soak:
    """Plays one seed."""

    def __init__(self, seed: int, options: LoopbackOptions) -> None:
        self._options = options
        self._result = SeedResult(seed)

    async def run(self) -> SeedResult:
        """Play the seed. The processes' logs are kept only if there are violations."""
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{self._result.seed}-"))
        asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
        environment = LoopbackEnvironment(self._result.seed, self._options, directory)
        try:
            await self._play(environment)
        finally:
            environment.close()
            self._collect(environment)
            if self._result.violations:
                self._result.logs = directory
            else:
                shutil.rmtree(directory)
        return self._result

    async def _play(self, environment: LoopbackEnvironment) -> None:
        options, loop = self._options, asyncio.get_running_loop()
        jobs = draw_jobs(
            environment.random,
            options.seconds * SUBMIT_SHARE,
            ZONES,
            int(options.seconds * JOBS_PER_S),
            BACKLOG,
        )
        self._result.jobs = len(jobs)
        faults = draw_faults(environment.random, options.seconds, FAULT_INTERVAL_S)
        for job in jobs:
            environment.add_job(job)
        await environment.start()
        addresses = [environment.public_address(node) for node in environment.deployment.nodes]
        users = Users(
            environment.checker, environment.net.requester("users"), addresses, environment.random
        )
        injector = FaultInjector(environment)
        started_at = loop.time()
        followers = [asyncio.create_task(users.follow(job, started_at)) for job in jobs]
        watcher = asyncio.create_task(self._watch(environment, injector))
        try:
            await asyncio.gather(
                asyncio.sleep(options.seconds),
                *(injector.play(fault, started_at) for fault in faults),
            )
            environment.faults.heal()
            environment.checker.faults_ended_at = loop.time()
            users.faults_over.set()
            await self._settle(environment, followers)
            await asyncio.gather(*(users.ask_again(job) for job in jobs))
            for cancelled_at in environment.checker.cancelled_at.values():
                await asyncio.sleep(max(0.0, cancelled_at + CANCEL_S + 1.0 - loop.time()))
        finally:
            for task in [watcher, *followers]:
                task.cancel()
            self._result.faults = injector.played
            environment.checker.violations += users.errors

    async def _settle(
        self, environment: LoopbackEnvironment, followers: list[asyncio.Task[None]]
    ) -> None:
        """Wait until every job has its final status, and report those that have not in time."""
        _, waiting = await asyncio.wait(followers, timeout=SETTLE_S)
        if waiting:
            environment.checker.violations += [
                f"not over {SETTLE_S:.0f} s after the last fault:"
                f" {job_id} is {environment.checker.statuses.get(job_id)}"
                for job_id in self._open_jobs(environment)
            ]

    async def _watch(self, environment: LoopbackEnvironment, injector: FaultInjector) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            late_s = loop.time() - before - CHECK_INTERVAL_S
            self._result.longest_pause_s = max(self._result.longest_pause_s, late_s)
            injector.watch()
            environment.checker.check_cancellations()
            if environment.checker.faults_ended_at is not None:
                environment.checker.check_answers(self._open_jobs(environment))
                environment.checker.check_waiting_jobs()

    @staticmethod
    def _open_jobs(environment: LoopbackEnvironment) -> list[str]:
        """Jobs whose users do not know a final status."""
        statuses = environment.checker.statuses
        return [job for job in environment.jobs if statuses.get(job) not in FINAL_STATUSES]

    def _collect(self, environment: LoopbackEnvironment) -> None:
        result, checker = self._result, environment.checker
        states = Counter(checker.statuses.get(job_id) for job_id in environment.jobs)
        result.done, result.cancelled = states["done"], states["aborted"]
        result.starts = checker.start_count
        result.exits = sum(controller.unexpected_exits for controller in environment.controllers)
        result.violations = list(dict.fromkeys(checker.violations))
        result.evidence = [line for text in result.violations for line in checker.evidence(text)]


async def soak(seed: int, options: LoopbackOptions) -> SeedResult:
    """Play one seed."""
    return await Soak(seed, options).run()


def shown(result: SeedResult, options: LoopbackOptions) -> str:
    """One line; with violations, also the evidence and the command that plays the seed again."""
    faults = ", ".join(f"{kind} {count}" for kind, count in sorted(result.faults.items()))
    line = (
        f"seed {result.seed}: {'BROKEN' if result.violations else 'ok'}; {result.jobs} jobs"
        f" ({result.done} done, {result.cancelled} cancelled), {result.starts} starts;"
        f" faults: {faults or 'none'}"
    )
    if result.exits:
        line += f"; {result.exits} controllers ended by themselves"
    if result.longest_pause_s > REPORTED_PAUSE_S:
        line += f"; this process itself stood still for {result.longest_pause_s:.1f} s"
    if not result.violations:
        return line
    again = (
        f"python3 run.py soak --seeds 1 --first-seed {result.seed} --seconds {options.seconds:g}"
        f" --controllers {options.controllers} --machines {options.machines}"
    )
    return "\n".join(
        [
            line,
            *(f"  broken: {text}" for text in result.violations),
            *(f"  {text}" for text in result.evidence),
            f"  controllers' logs: {result.logs}",
            f"  again: {again}",
        ]
    )


def play_seeds(seeds: range, options: LoopbackOptions) -> int:
    """Play one seed after the other.

    Returns the exit code: 0 without violations, 1 with some, 130 if interrupted.
    """
    broken = 0
    # SIGINT as well, since shells start background jobs with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    try:
        for seed in seeds:
            result = asyncio.run(soak(seed, options))
            broken += bool(result.violations)
            print(shown(result, options), flush=True)
    except KeyboardInterrupt:
        return 130
    print(f"{len(seeds)} seeds, {broken} with a broken rule")
    return 1 if broken else 0
