"""Soak: real controllers over loopback under random faults, judged from outside.

One seed draws the workload and the faults. Processes and sockets are real, so the same seed does
the same things at the same times, but the controllers' answers to it may differ from run to run.
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
from petrelthread.emulator.loopback import ignore_cancelled
from petrelthread.emulator.loopback_world import LoopbackOptions, LoopbackWorld
from petrelthread.emulator.processes import CANCEL_S, ZONES
from petrelthread.emulator.users import FINAL, Users
from petrelthread.emulator.workload import draw_jobs

FAULT_EVERY_S = 1.5
JOBS_PER_S = 1.0
BACKLOG = 8
SUBMIT_SHARE = 0.8  # of the time of faults in which jobs are submitted
# After the last fault, all jobs must be over: lease, hold-over and boots, and then all the work
# that the team with the lower limit has left, a minute and more of it.
SETTLE_S = 150.0
JUDGE_EVERY_S = 0.25
STOOD_STILL_S = 1.0  # of this process itself: then what it saw may not be what happened


@dataclass
class SeedResult:
    """What came of one seed."""

    seed: int
    jobs: int = 0
    done: int = 0
    cancelled: int = 0
    starts: int = 0
    exits: int = 0  # controllers that ended by themselves
    stood_still_s: float = 0.0  # the longest, of this process
    faults: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    evidence: list[str] = field(default_factory=list)
    logs: Path | None = None  # kept if something broke


class Soak:
    """One seed."""

    def __init__(self, seed: int, options: LoopbackOptions) -> None:
        self._options = options
        self._result = SeedResult(seed)

    async def run(self) -> SeedResult:
        """Play it; what was seen. The processes' logs are kept only if something broke."""
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{self._result.seed}-"))
        asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
        world = LoopbackWorld(self._result.seed, self._options, directory)
        try:
            await self._play(world)
        finally:
            world.close()
            self._collect(world)
            if self._result.broken:
                self._result.logs = directory
            else:
                shutil.rmtree(directory)
        return self._result

    async def _play(self, world: LoopbackWorld) -> None:
        options, loop = self._options, asyncio.get_running_loop()
        jobs = draw_jobs(
            world.random,
            options.seconds * SUBMIT_SHARE,
            ZONES,
            int(options.seconds * JOBS_PER_S),
            BACKLOG,
        )
        self._result.jobs = len(jobs)
        faults = draw_faults(world.random, options.seconds, FAULT_EVERY_S)
        for job in jobs:
            world.add_job(job)
        await world.start()
        addresses = [world.public_address(node) for node in world.made_of.nodes]
        users = Users(world.judge, world.net.requester("users"), addresses, world.random)
        injector = FaultInjector(world)
        started_at = loop.time()
        followers = [asyncio.create_task(users.follow(job, started_at)) for job in jobs]
        watcher = asyncio.create_task(self._watch(world, injector))
        try:
            await asyncio.gather(
                asyncio.sleep(options.seconds),
                *(injector.play(fault, started_at) for fault in faults),
            )
            world.faults.heal()
            world.judge.calm_at = loop.time()
            users.calm.set()
            await self._settle(world, followers)
            await asyncio.gather(*(users.ask_again(job) for job in jobs))
            for cancelled_at in world.judge.cancelled.values():
                await asyncio.sleep(max(0.0, cancelled_at + CANCEL_S + 1.0 - loop.time()))
        finally:
            for task in [watcher, *followers]:
                task.cancel()
            self._result.faults = injector.played
            world.judge.broken += users.errors

    async def _settle(self, world: LoopbackWorld, followers: list[asyncio.Task[None]]) -> None:
        """Once all troubles are over, every job reaches its final state."""
        _, waiting = await asyncio.wait(followers, timeout=SETTLE_S)
        if waiting:
            world.judge.broken += [
                f"not over {SETTLE_S:.0f} s after the last fault: {job_id} is {state}"
                for job_id in world.jobs
                if (state := world.judge.answers.get(job_id)) not in FINAL
            ]

    async def _watch(self, world: LoopbackWorld, injector: FaultInjector) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(JUDGE_EVERY_S)
            late_s = loop.time() - before - JUDGE_EVERY_S
            self._result.stood_still_s = max(self._result.stood_still_s, late_s)
            injector.watch()
            world.judge.cancels()
            if world.judge.calm_at is not None:
                world.judge.nothing_forgotten(
                    [j for j in world.jobs if world.judge.answers.get(j) not in FINAL]
                )
                world.judge.nobody_left_waiting()

    def _collect(self, world: LoopbackWorld) -> None:
        result, judge = self._result, world.judge
        states = Counter(judge.answers.get(job_id) for job_id in world.jobs)
        result.done, result.cancelled = states["done"], states["aborted"]
        result.starts = judge.starts
        result.exits = sum(controller.unexpected_exits for controller in world.controllers)
        result.broken = list(dict.fromkeys(judge.broken))
        result.evidence = [line for text in result.broken for line in judge.evidence(text)]


async def soak(seed: int, options: LoopbackOptions) -> SeedResult:
    """Play one seed."""
    return await Soak(seed, options).run()


def shown(result: SeedResult, options: LoopbackOptions) -> str:
    """One line a seed; where a rule broke, the rule, the evidence and how to play it again."""
    faults = ", ".join(f"{kind} {count}" for kind, count in sorted(result.faults.items()))
    line = (
        f"seed {result.seed}: {'BROKEN' if result.broken else 'ok'}; {result.jobs} jobs"
        f" ({result.done} done, {result.cancelled} cancelled), {result.starts} starts;"
        f" faults: {faults or 'none'}"
    )
    if result.exits:
        line += f"; {result.exits} controllers ended by themselves"
    if result.stood_still_s > STOOD_STILL_S:
        line += f"; this process itself stood still for {result.stood_still_s:.1f} s"
    if not result.broken:
        return line
    again = (
        f"python3 run.py soak --seeds 1 --first-seed {result.seed} --seconds {options.seconds:g}"
        f" --controllers {options.controllers} --machines {options.machines}"
    )
    return "\n".join(
        [
            line,
            *(f"  broken: {text}" for text in result.broken),
            *(f"  {text}" for text in result.evidence),
            f"  controllers' logs: {result.logs}",
            f"  again: {again}",
        ]
    )


def play_seeds(seeds: range, options: LoopbackOptions) -> int:
    """Play one seed after the other; 0 if no rule broke, 1 if one did, 130 if interrupted."""
    broken = 0
    # Both, for a shell starts what runs in its background with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    try:
        for seed in seeds:
            result = asyncio.run(soak(seed, options))
            broken += bool(result.broken)
            print(shown(result, options), flush=True)
    except KeyboardInterrupt:
        return 130
    print(f"{len(seeds)} seeds, {broken} with a broken rule")
    return 1 if broken else 0
