"""The newcomer's demo: a whole service on the loopback interface, and the end of its leader."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path

from petrelthread.emulator.loopback import ignore_cancelled
from petrelthread.emulator.loopback_world import LoopbackOptions, LoopbackWorld
from petrelthread.emulator.users import FINAL, Users
from petrelthread.emulator.workload import PlannedJob, job_spec

SEED = 1
MACHINES = 9
SHOW_EVERY_S = 2.0
CHECK_EVERY_S = 0.2
RESTART_AFTER_S = 3.0
LIMIT_S = 55.0
SERVICE = "wk-000004"
JOBS = (
    PlannedJob(job_spec("wk-000001", 14, estimated_run_s=4.0), 0.0, None, 4.0),
    PlannedJob(
        job_spec("wk-000002", 4, team="blue", single_zone=True, estimated_run_s=3.0), 0.5, None, 3.0
    ),
    PlannedJob(
        job_spec("wk-000003", 6, team="guest", spread_zones=True, estimated_run_s=5.0),
        1.0,
        None,
        5.0,
    ),
    PlannedJob(
        job_spec(
            SERVICE, 3, team="blue", kind="service", priority="prod", cores=1.0, spread_zones=True
        ),
        0.0,
        None,
        0.0,
    ),
)
KINDS = {
    "wk-000001": "array of 14 tasks",
    "wk-000002": "array of 4 tasks in one zone",
    "wk-000003": "array of 6 tasks spread over zones",
    SERVICE: "service of 3 replicas spread over zones",
}


class NotFinished(Exception):
    """The demo did not come to its end in time; the text says what was missing."""


class Demo:
    """One run."""

    def __init__(self, world: LoopbackWorld) -> None:
        self._world = world
        self._started_at = asyncio.get_running_loop().time()

    async def play(self) -> None:
        """From the first process to the last job. Raises NotFinished."""
        world = self._world
        for job in JOBS:
            world.add_job(job)
        await world.start()
        self._say(f"started {len(world.controllers)} controllers, state service and cloud")
        for job_id, kind in KINDS.items():
            self._say(f"submitting {job_id}: {kind}")
        addresses = [world.public_address(node) for node in world.made_of.nodes]
        users = Users(world.judge, world.net.requester("users"), addresses, world.random)
        followers = [asyncio.create_task(users.follow(job, self._started_at)) for job in JOBS]
        progress = asyncio.create_task(self._show_progress())
        try:
            await self._until(self._half_done, "half of the tasks")
            await self._end_leader()
            await self._until(self._arrays_over, "the arrays")
            await self._until(self._service_up, "all replicas of the service")
            self._say(f"cancelling {SERVICE}")
            users.calm.set()
            await self._until(lambda: SERVICE in self._over(), "the cancellation")
        finally:
            for task in [progress, *followers]:
                task.cancel()

    def summary(self) -> str:
        """What was done, and whether a rule broke."""
        judge = self._world.judge
        done = sum(judge.answers.get(job.job_id) == "done" for job in JOBS)
        lines = [
            f"{done} arrays done ({len(judge.completed)} tasks), 1 service cancelled,"
            f" {judge.starts} starts, {self._world.cloud.rented} machines rented;"
            f" {'no rule broke' if not judge.broken else 'RULES BROKEN:'}"
        ]
        return "\n".join(lines + [f"  {text}" for text in judge.broken])

    async def _end_leader(self) -> None:
        leader = self._world.leader
        controller = next(c for c in self._world.controllers if c.name == leader)
        self._say(f"killing the leader, {leader}")
        controller.kill()
        await self._until(lambda: self._world.leader not in (None, leader), "the next leader")
        self._say(f"{self._world.leader} leads now")
        await asyncio.sleep(RESTART_AFTER_S)
        controller.start()

    # ---- conditions --------------------------------------------------------------------------

    async def _until(self, met: Callable[[], bool], what: str) -> None:
        while not met():
            if asyncio.get_running_loop().time() - self._started_at > LIMIT_S:
                raise NotFinished(f"no end after {LIMIT_S:.0f} s: still waiting for {what}")
            await asyncio.sleep(CHECK_EVERY_S)

    def _tasks(self) -> int:
        return sum(job.spec["legs"] for job in JOBS if not job.service)

    def _half_done(self) -> bool:
        return 2 * len(self._world.judge.completed) >= self._tasks()

    def _over(self) -> set[str]:
        return {job_id for job_id, state in self._world.judge.answers.items() if state in FINAL}

    def _arrays_over(self) -> bool:
        return all(job.job_id in self._over() for job in JOBS if not job.service)

    def _service_up(self) -> bool:
        on = self._world.judge.on
        return all(on.get(f"{SERVICE}/{replica}") for replica in range(3))

    # ---- what is shown -----------------------------------------------------------------------

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(SHOW_EVERY_S)
            judge = self._world.judge
            up = sum(m["worker"].up for m in self._world.cloud.machines.values())
            on = sum(bool(machines) for machines in judge.on.values())
            states = ", ".join(f"{j.job_id} {judge.answers.get(j.job_id, '-')}" for j in JOBS)
            self._say(
                f"leader {self._world.leader or 'none'}; {up} machines up; {on} tasks on them,"
                f" {len(judge.completed)} of {self._tasks()} done; {states}"
            )

    def _say(self, text: str) -> None:
        elapsed_s = asyncio.get_running_loop().time() - self._started_at
        print(f"{elapsed_s:5.1f} s  {text}", flush=True)


async def _demo(directory: Path) -> int:
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
    world = LoopbackWorld(SEED, LoopbackOptions(machines=MACHINES), directory)
    demo = Demo(world)
    try:
        await demo.play()
        print(demo.summary())
        return 1 if world.judge.broken else 0
    except NotFinished as error:
        print(error)
        print(demo.summary())
        return 1
    finally:
        world.close()


def play_demo() -> int:
    """Run it; 0 if all was done and no rule broke, 1 if not, 130 if interrupted."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    directory = Path(tempfile.mkdtemp(prefix="petrelthread-demo-"))
    try:
        return asyncio.run(_demo(directory))
    except KeyboardInterrupt:
        return 130
    finally:
        shutil.rmtree(directory, ignore_errors=True)
