"""One giant array of small tasks comes: do other accepted jobs still start?

A machine of the largest type runs a task of another job throughout. The other jobs come right after
the giant array.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from site_standin import GUEST, VELOTUNIS, Site, job_spec, run_case, trouble  # noqa: E402

OTHERS = 5
WAIT_S = 90.0  # no job may be left waiting for longer while a machine that fits has room
GIANT_LEGS, USUAL_LEGS = 100_000, 189
FIRST, ARRAY = "wk-000001", "wk-000002"
FIRST_RUN_S = 112.0
GIVE_UP_AT_S = 112.0
# One machine of the largest type, and all the small ones.
CAPACITY = {
    **{offer: counts for offer, counts in VELOTUNIS.capacity.items() if offer[0] == "petit-node"},
    ("grand-node", "lac-zone"): (0, 1),
}


async def case(site: Site) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    teams = [name for name, _, _ in VELOTUNIS.teams]
    first = job_spec(FIRST, teams[0], 1, hulls=["grand-node"], guess_s=FIRST_RUN_S)
    if not await site.submit(first, FIRST_RUN_S):
        return 2
    while FIRST not in site.events.first_start:
        await asyncio.sleep(0.2)
    array = job_spec(
        ARRAY,
        GUEST,
        GIANT_LEGS if trouble() else USUAL_LEGS,
        jobclass="origin-matrix",
        rank="low",
        cores=0.002,
        ram_gb=0.004,
        bundle="matrix-0",
        size_gb=0.1,
        hulls=["grand-node"],
        due_s=None,
    )
    if not await site.submit(array, 5.0):
        return 2
    await asyncio.sleep(1.0)
    ids = [f"wk-{100 + index:06d}" for index in range(OTHERS)]
    for index, job_id in enumerate(ids):
        if not await site.submit(job_spec(job_id, teams[index + 1], 2), 8.0):
            return 2
    followers = [asyncio.create_task(site.follow(job_id)) for job_id in ids]
    waiting, roomy_s = await site.wait_for_starts(ids, first, WAIT_S, GIVE_UP_AT_S)
    for follower in followers:
        follower.cancel()
    site.events.record(
        f"{len(waiting)} of {OTHERS} accepted jobs have not begun, while machines had room for"
        f" {roomy_s:.1f} s; starts of the array: {site.events.starts.get(ARRAY, 0)};"
        f" transactions refused as too large: {site.state.too_large}, the largest had"
        f" {site.state.largest} bytes"
    )
    if not waiting:
        return 0
    return 1 if roomy_s >= WAIT_S else 2


if __name__ == "__main__":
    sys.exit(run_case(case, Site(VELOTUNIS, 2.0, CAPACITY), HERE / "record.txt"))
