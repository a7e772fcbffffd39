"""Soak: real controllers over loopback under random faults, judged from outside.

One seed draws the workload and the faults. Processes and sockets are real, so the same seed does
the same things at the same times, but the controllers' answers to it may differ from run to run.
"""

from __future__ import annotations

import asyncio
import math
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from petrelthread import wire
from petrelthread.emulator.cloud import Cloud
from petrelthread.emulator.faults import CLOUD, STATE, LinkFaults, draw_faults
from petrelthread.emulator.injector import FaultInjector
from petrelthread.emulator.judge import Judge
from petrelthread.emulator.loopback import (
    HOST,
    LoopbackNetwork,
    forwarder,
    free_port,
    ignore_cancelled,
)
from petrelthread.emulator.processes import (
    CANCEL_S,
    LEASE_S,
    REPORT_S,
    TEAMS,
    TXN_OPS,
    ZONES,
    Addresses,
    ControllerProcess,
    settings_text,
)
from petrelthread.emulator.state_service import StateService
from petrelthread.emulator.users import FINAL, Users
from petrelthread.emulator.workload import PlannedJob, draw_jobs
from petrelthread.ledger import Job
from petrelthread.settings import UNLIMITED, Workers
from petrelthread.store import ROOT

FAULT_EVERY_S = 1.5
JOBS_PER_S = 1.0
BACKLOG = 6
SUBMIT_SHARE = 0.8  # of the time of faults in which jobs are submitted
SETTLE_S = 75.0  # after the last fault, all jobs must be over: lease, hold-over, boots and runs
JUDGE_EVERY_S = 0.25
PEER_WAIT_S = 0.8
SPOT_SHARE = 2 / 3
STOOD_STILL_S = 1.0  # of this process itself: then what it saw may not be what happened
BOOT_S = 1.5


@dataclass(frozen=True)
class SoakOptions:
    """What is played. ``seconds`` of faults for each seed."""

    seconds: float = 40.0
    controllers: int = 3
    machines: int = 12
    sources: Path = Path(__file__).parents[2]  # the checkout whose controllers are run


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


@dataclass(frozen=True)
class LoopbackStock:
    """What the cloud has: a few machines, scarce in each zone."""

    machines: int
    nodes: tuple[str, ...]
    pages: int = 500
    step_s: float = 0.05

    @property
    def hulls(self) -> tuple[dict[str, Any], ...]:
        return (
            {
                "sku": "small",
                "cores": 4.0,
                "accelerators": 0.0,
                "ram_gb": 8.0,
                "local_gb": 20.0,
                "fetch_gb_per_s": 1.0,
                "hourly": 0.3,
                "low_price": 0.1,
                "startup_s": BOOT_S,
                "roosts": list(ZONES),
            },
        )

    @property
    def spot(self) -> int:
        return math.ceil(self.machines * SPOT_SHARE)

    @property
    def ordinary(self) -> int:
        return self.machines - self.spot

    @property
    def zone_capacity(self) -> int:
        return math.ceil(self.machines / len(ZONES))


class LoopbackWorld:
    """The stand-ins, the links between them and the controllers' processes."""

    def __init__(self, seed: int, options: SoakOptions, directory: Path) -> None:
        self.random = random.Random(seed)
        names = tuple(f"node-{n}" for n in range(options.controllers))
        self.made_of = LoopbackStock(options.machines, names)
        self.workers = Workers(report_s=REPORT_S, lease_s=LEASE_S, cancel_s=CANCEL_S)
        self.limits = {team: most or UNLIMITED for team, _, most in TEAMS}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.mistaken: set[str] = set()
        self.late_boots_s = 0.0
        self.run_s: dict[str, float] = {}
        self.faults = LinkFaults(self.random)
        self.net = LoopbackNetwork(self.faults)
        self.judge = Judge(self)
        self.store = StateService(TXN_OPS, self.judge.on_put)
        self.cloud = Cloud(self)
        self.controllers: list[ControllerProcess] = []
        self._public = {name: f"{HOST}:{free_port()}" for name in names}
        self._peers = {name: f"{HOST}:{free_port()}" for name in names}
        self._options = options
        self._directory = directory
        self._tasks: set[asyncio.Task[Any]] = set()

    # ---- what the stand-ins ask of their world --------------------------------------------------

    def background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something that nobody waits for."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def public_address(self, node: str) -> str:
        """Where workers and users reach a controller."""
        return self._public[node]

    def is_bad(self, leg: str) -> bool:
        """No job of a soak is broken by itself; machines are, at times."""
        return False

    def ran_s(self, leg: str) -> float:
        """How long the task runs, in seconds."""
        job_id = leg.rpartition("/")[0]
        return math.inf if self.jobs[job_id]["shape"] == "service" else self.run_s[job_id]

    # ---- setting up --------------------------------------------------------------------------

    async def start(self) -> None:
        """Links, settings and processes."""
        for name in self.made_of.nodes:
            self.net.name_address(self._public[name], name)
        for at, name in enumerate(self.made_of.nodes):
            addresses = await self._addresses(name)
            text = settings_text(name, ZONES[at % len(ZONES)], addresses)
            controller = ControllerProcess(name, self._options.sources, self._directory, text)
            self.controllers.append(controller)
            controller.start()

    async def _addresses(self, name: str) -> Addresses:
        siblings = []
        for other in self.made_of.nodes:
            if other != name:
                pass_on = forwarder(self.net.requester(name), self._peers[other], PEER_WAIT_S)
                siblings.append((other, await self.net.link(name, other, pass_on)))
        return Addresses(
            self._public[name],
            self._peers[name],
            await self.net.link(name, STATE, self.store.handle),
            await self.net.link(name, CLOUD, self.cloud.handle),
            tuple(siblings),
        )

    def add_job(self, job: PlannedJob) -> None:
        """Make a job known; one of the backlog is in the state service already."""
        self.jobs[job.job_id] = job.spec
        self.run_s[job.job_id] = job.run_s
        if job.submit_s < 0:
            spec = wire.JobSpec(**job.spec)
            value = Job.encode(spec, time.time() + job.submit_s)
            self.store.put(f"{ROOT}j/{job.job_id}", value)
            self.judge.told(job.job_id, 201, {"status": "queued"})

    @property
    def leader(self) -> str | None:
        """Whom the state service has as the leader."""
        value = self.store.keys.get(f"{ROOT}lead")
        return None if value is None else str(value[0]["node"])

    def close(self) -> None:
        """End all processes, machines and links."""
        for controller in self.controllers:
            controller.kill()
        for name in list(self.cloud.machines):
            self.cloud.remove(name)
        for task in self._tasks:
            task.cancel()
        self.net.close()


class Soak:
    """One seed."""

    def __init__(self, seed: int, options: SoakOptions) -> None:
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

    def _collect(self, world: LoopbackWorld) -> None:
        result, judge = self._result, world.judge
        states = Counter(judge.answers.get(job_id) for job_id in world.jobs)
        result.done, result.cancelled = states["done"], states["aborted"]
        result.starts = judge.starts
        result.exits = sum(controller.unexpected_exits for controller in world.controllers)
        result.broken = list(dict.fromkeys(judge.broken))
        result.evidence = [line for text in result.broken for line in judge.evidence(text)]


async def soak(seed: int, options: SoakOptions) -> SeedResult:
    """Play one seed."""
    return await Soak(seed, options).run()


def shown(result: SeedResult, options: SoakOptions) -> str:
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


def play_seeds(seeds: range, options: SoakOptions) -> int:
    """Play one seed after the other; 0 if no rule broke, 1 if one did, 130 if interrupted."""
    broken = 0
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        for seed in seeds:
            result = asyncio.run(soak(seed, options))
            broken += bool(result.broken)
            print(shown(result, options), flush=True)
    except KeyboardInterrupt:
        return 130
    print(f"{len(seeds)} seeds, {broken} with a broken rule")
    return 1 if broken else 0
