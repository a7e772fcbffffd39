"""Controllers crash while jobs arrive; the store holds the finished jobs of some days."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

import deployment
import orjson
from deployment import Worker, World, granite

from petrelthread import protocol
from petrelthread.state import JobRecord, encode

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent
FINISHED_JOBS = 40_000
MACHINES = 100
JOBS_PER_S = 1.6
LEGS = 1
RUN_S = 20.0
FIRST_RUN_S = 10.0
NEXT_CRASH_S = 9.0
ROUND_S = 28.0
ROUNDS = 3
SETTLE_S = 2.0
CUT_S = 18.0
MOST_CUT = 3
CUT = os.environ.get("CUT", "1") != "0"
RESTART_S = 3.0
LAST_JOB_S = 104.0
END_S = 110.0
AT_START = 90
PAUSE_S = 14.0
IDS = random.Random(5).sample(range(1, 200_000), 1000)


def seed(world: World) -> None:
    """Store the jobs of the last days as the service itself stores them."""
    body = world.spec("wk-100000", 4, RUN_S)
    del world.jobs["wk-100000"]
    for number in range(FINISHED_JOBS):
        job_id = f"wk-{200_000 + 17 * number % 700_000:06d}"
        spec = protocol.parse_job(orjson.dumps({**body, "name_id": job_id}))
        record = JobRecord.from_spec(spec, time.time() - 200_000 + 9 * number)
        world.state.seed(f"pt/j/{job_id}", encode(record))
        world.state.seed(f"pt/f/{job_id}", "done")
    world.state.seeded()


async def submit_jobs(world: World, until: float) -> None:
    """Jobs of ids that are in no order, many at the start and then a steady stream."""
    for number in range(200_000):
        if world.now() > until:
            return
        job_id = f"wk-{IDS[number]:06d}"
        run_s = FIRST_RUN_S if number < AT_START else RUN_S
        world.spec(job_id, LEGS, run_s, bundle="img-00", due_s=run_s * 2.5 + 10.0)
        world.background(world.insist("POST", job_id))
        if number == AT_START:
            await asyncio.sleep(PAUSE_S)
        if number >= AT_START:
            await asyncio.sleep(world.random.expovariate(JOBS_PER_S))


async def crash(world: World, pages: PageLog) -> None:
    """Two controllers crash and are back 3 s later; then the third one, and machines are cut."""
    third = world.leader
    assert third is not None
    others = world.followers()
    for controller in others:
        controller.kill()
    await asyncio.sleep(RESTART_S)
    for controller in others:
        controller.start()
    await asyncio.sleep(NEXT_CRASH_S - RESTART_S)
    third.kill()
    cut = [w for w in world.cloud.machines.values() if CUT and pages.runs_missed(w)][:MOST_CUT]
    for worker in cut:
        worker.cut = True
        world.note(f"{worker.name} loses the network for {CUT_S:g} s")
    await asyncio.sleep(RESTART_S)
    third.start()
    await asyncio.sleep(CUT_S - RESTART_S)
    for worker in cut:
        worker.cut = False


class PageLog:
    """Notes in the record which jobs a controller's first read can't have seen."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._jobs: dict[str, set[str]] = {}
        self._began: dict[str, float] = {}
        self._last: dict[str, str] = {}
        self._missed: set[str] = set()

    def runs_missed(self, worker: Worker) -> bool:
        """Whether a machine runs a task that a controller's first read has missed."""
        running = {leg.partition("/")[0] for (leg, _), run in worker.runs.items() if not run.cause}
        return bool(running & self._missed)

    async def on_list(self, source: str, answer: dict[str, Any]) -> None:
        """Look at one page."""
        if answer["pairs"][0]["path"] <= self._last.get(source, ""):
            self._jobs.pop(source, None)  # a new process begins to read
            self._began.pop(source, None)
        self._last[source] = answer["pairs"][-1]["path"]
        jobs = self._jobs.setdefault(source, set())
        self._began.setdefault(source, self._world.now())
        started: set[str] = set()
        for pair in answer["pairs"]:
            kind, _, name = pair["path"].removeprefix("pt/").partition("/")
            if kind == "j":
                jobs.add(name)
            elif kind == "r":
                started |= {tasks[0] for entry in pair["v"] for tasks in entry[2]}
        if not answer["more"]:
            missed = sorted(started - jobs)
            self._missed |= set(missed)
            took_s = self._world.now() - self._began.pop(source)
            self._world.note(
                f"{source} has read all keys in {took_s:.2f} s; jobs in rounds that it read but"
                f" not in the pages before: {missed}"
            )
            del self._jobs[source]


async def main() -> int:
    """Crash controllers again and again while jobs arrive; see what starts twice."""
    world = World(granite(MACHINES, 2.0), HERE / "record.txt", int(os.environ.get("SEED", "1")))
    pages = PageLog(world)
    world.state.on_list = pages.on_list
    try:
        seed(world)
        await world.open()
        began = world.now()
        if not await world.until(lambda: world.leader is not None, 20.0):
            print("no leader")
            return 2
        world.background(submit_jobs(world, began + LAST_JOB_S))
        await asyncio.sleep(24.0)
        if TROUBLE:
            for _ in range(ROUNDS):
                round_ends = world.now() + ROUND_S
                world.background(crash(world, pages))
                if await world.until(lambda: bool(world.broken), round_ends - world.now()):
                    await asyncio.sleep(SETTLE_S)
                    return world.verdict(("ran_twice",))
        await asyncio.sleep(max(0.0, began + END_S - world.now()))
        return world.verdict(("ran_twice",))
    finally:
        await world.close()


if __name__ == "__main__":
    deployment.run(main)
