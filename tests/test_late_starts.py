"""Starts whose direct command is held on its way, from milliseconds to several minutes.

A machine's reports arrived and were answered all the while, but a command sent straight to it at
59.127 s reached it only at 134.130 s ("told to start wk-626828/5 attempt 1048634 (token 1,
session 1)"). The job had been cancelled at 61.808 s, and ``cancel_s`` was 37 s. The leader had
remembered since 61 s that the command might still come: the start of this task alone was not
superseded when the job's other starts were ("operation superseded" stands at 62.029, 62.159, 62.293
and 63.091 s for four of them, and for task 5 only at 134.633 s, after it had been started and
stopped). But nothing took back the right to carry it out. The leader never changed, so the token
that the command bore stayed the highest; the machine's lease was renewed, so its session stayed the
same.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.test_faults import run
from tests.world import World, job


def now() -> float:
    """Virtual time, in seconds."""
    return asyncio.get_running_loop().time()


class HeldStarts:
    """Holds direct commands that start a task of one job; their answers are lost."""

    def __init__(self, world: World, job_id: str, delay_s: float) -> None:
        """``delay_s``: how long each command is on its way."""
        self.held: list[float] = []  # when each was sent
        self._job_id = job_id
        self._delay_s = delay_s
        world.net.fate = self._fate

    def _fate(
        self, source: str, address: str, method: str, target: str, body: Any
    ) -> tuple[float, bool]:
        if target != "/do":
            return 0.0, False
        starts = [order["leg"] for order in body["orders"] if order["verb"] == "launch"]
        if not any(leg.startswith(self._job_id) for leg in starts):
            return 0.0, False
        self.held.append(now())
        return self._delay_s, True

    async def sent(self) -> None:
        """Wait until the first one is on its way."""
        while not self.held:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(20))
def test_a_start_held_past_a_cancellation_is_refused_by_its_machine(seed: int) -> None:
    """As in the incident: the leader lives on, and its answers reach the machine."""

    async def scenario(world: World) -> None:
        delay_s = world.random.uniform(45.0, 300.0)
        held = HeldStarts(world, "wk-000001", delay_s)
        await world.submit(job("wk-000001", 2))
        await held.sent()
        assert await world.cancel("wk-000001") == "aborted"
        # Work goes on, so that the machine is kept: when it is returned, the command is void.
        while now() < held.held[-1] + delay_s + 5.0:
            await world.submit(job(f"wk-{world.random.randrange(10**6):06d}", 4))
            await asyncio.sleep(4.0)

    run(scenario, seed)
