"""A late copy of a start follows the end of the leader: does a task run twice?

A task is stopped on one machine to make room for a job of higher rank, is forgotten there, and runs
on another machine when the leader ends. Then a copy of the first start arrives, which was carried
out and answered half a minute before.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from http_standin import request  # noqa: E402
from site_standin import VELOTUNIS, Site, job_spec, run_case, trouble  # noqa: E402

# One small machine in each of two zones.
FIRST_ZONE, SECOND_ZONE = "lac-zone", "medina-zone"
CAPACITY = {("petit-node", FIRST_ZONE): (0, 1), ("petit-node", SECOND_ZONE): (0, 1)}
TASK = "wk-000002/0"
LONG_S, SHORT_S = 110.0, 12.0
STEP_TIMEOUT_S = 40.0
COPY_AFTER_S, RESTART_AFTER_S, WATCH_S = 0.2, 0.5, 8.0


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, for at most ``STEP_TIMEOUT_S``."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.05)


async def submit(site: Site, number: int, run_s: float, **changes: object) -> str:
    """Submit a job of another team and wait until a task of it has started."""
    job_id = f"wk-{number:06d}"
    spec = job_spec(job_id, VELOTUNIS.teams[number][0], guess_s=run_s, **changes)
    if not await site.submit(spec, run_s):
        raise RuntimeError(f"{job_id} is not accepted")
    await until(lambda: job_id in site.events.first_start)
    return job_id


async def case(site: Site) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    events = site.events
    await submit(site, 1, SHORT_S, legs=1, roost=FIRST_ZONE)
    await submit(site, 2, LONG_S, legs=1, rank="standard")  # its task comes beside the first one
    await submit(site, 3, LONG_S, legs=1, roost=SECOND_ZONE)
    first, second = sorted(site.cloud.workers.values(), key=lambda worker: worker.name)
    copies = [body for body in first.carried_out if TASK.encode() in body and b"launch" in body]
    if not copies or not events.is_on(TASK, first.name):
        return 2  # the task was started with the answer to a report, or elsewhere
    await submit(site, 4, SHORT_S, legs=2, roost=FIRST_ZONE)  # needs the whole first machine
    await until(lambda: events.is_on(TASK, second.name) and TASK not in first.runs)
    await until(lambda: not first.runs)
    events.record(f"{TASK} is on {second.name}; {first.name} lists no tasks")
    if trouble():
        leader = site.controllers[str(site.leader)]
        leader.kill()
        events.record(f"the leader {leader.name} is killed")
        await asyncio.sleep(COPY_AFTER_S)
        for body in copies:
            status, _ = await request(first.address, "POST", "/do", json.loads(body), 2.0)
            events.record(f"late copy to {first.name}: {body.decode()}: {status}")
        await asyncio.sleep(RESTART_AFTER_S - COPY_AFTER_S)
        leader.start()
    await asyncio.sleep(WATCH_S)
    events.record(f"starts of a task on one machine while on another: {events.twice}")
    return 1 if events.twice else 0


if __name__ == "__main__":
    sys.exit(run_case(case, Site(VELOTUNIS, 2.0, CAPACITY), HERE / "record.txt"))
