"""Meetings of two or more troubles, in virtual time, judged by their whole course."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from petrelthread.http import NoAnswer
from petrelthread.leadership import Role
from tests.test_faults import run
from tests.world import NODES, World, job


def now() -> float:
    return asyncio.get_running_loop().time()


def others(name: str) -> list[str]:
    return [node for node in NODES if node != name]


async def cancelled_at(world: World, job_id: str, nodes: list[str]) -> bool:
    """One try to cancel at each of these nodes. True if one of them confirmed it."""
    for node in nodes:
        try:
            status, answer = await world.ask(node, "POST", f"/v2/runs/{job_id}/withdraw")
        except NoAnswer:
            continue
        world.judge.told(job_id, status, answer)
        if status == 200 and answer["status"] == "aborted":
            world.judge.cancelled[job_id] = now()
            return True
    return False


# ---- the gap: cancelled elsewhere, then nobody can read it -------------------------------------


@pytest.mark.parametrize("unread", ["refused", "watch lost", "watch slow"])
@pytest.mark.parametrize("before_s", [0.5, 2.0, 8.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_cancelled_elsewhere_then_an_outage_beyond_cancel_s(
    unread: str, before_s: float, seed: int
) -> None:
    """The leader has not read the cancellation, and keeps hearing its workers.

    A renewal of the lease says nothing about what others wrote: with renewals going through and
    the watch lost, tasks of cancelled jobs ran on for longer than ``cancel_s``.
    """

    async def scenario(world: World) -> None:
        world.run_s = 200.0
        for n in (1, 2):
            await world.submit(job(f"wk-{n:06d}", 6, crew=("red", "blue")[n % 2], guess_s=200.0))
        await world.running(8)
        leader = await world.led()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if source == leader and target.startswith("/watch"):
                return (30.0, False) if unread == "watch slow" else (0.0, True)
            return 0.0, False

        if unread == "refused":
            world.store.refused.add(leader)
        else:
            world.net.fate = fate
        # The watch that is still open tells one more change; what comes after it stays unread.
        world.run_s_of["wk-000003"] = 1.0
        await world.submit(job("wk-000003", 1, crew="guest"), nodes=others(leader))
        await asyncio.sleep(0.1)
        confirmed = 0
        until = now() + before_s
        while now() < until:
            if not confirmed and await cancelled_at(world, "wk-000001", others(leader)):
                confirmed += 1
            await asyncio.sleep(0.1)
        assert confirmed
        world.store.outage(True)
        if world.net.fate is not None:
            world.net.fate = None
        await asyncio.sleep(12.0)
        world.store.refused.clear()
        for _ in range(60):
            await asyncio.sleep(1.0)
            world.judge.cancels()
            assert not world.judge.broken, world.judge.broken
        world.store.outage(False)
        await asyncio.sleep(5.0)
        await cancelled_at(world, "wk-000002", list(NODES))
        await world.until_over(60.0)

    run(scenario, seed)


def test_a_lease_that_comes_back_commands_nothing_before_the_changes_are_read() -> None:
    """After an outage the lease had its time back, and the leader led again with old knowledge."""

    async def scenario(world: World) -> None:
        world.run_s = 100.0
        await world.submit(job("wk-000001", 4, guess_s=100.0))
        await world.running(4)
        leader = await world.led()
        election = world.nodes[leader].election
        world.store.outage(True)
        await asyncio.sleep(13.0)  # longer than a watch stays open
        assert election.role is Role.HOLDING_OVER

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            lost = source == leader and target.startswith(("/watch", "/keys"))
            return (0.0, lost)

        world.net.fate = fate
        world.store.outage(False)
        assert await cancelled_at(world, "wk-000001", others(leader))
        for _ in range(20):
            await asyncio.sleep(0.1)
            knows = world.nodes[leader].book.by_id["wk-000001"].final
            assert knows or not (election.leading and election.fence())
        world.net.fate = None
        await world.until_over(60.0)

    run(scenario)


def test_who_may_not_command_still_halts_what_it_knows_to_be_cancelled() -> None:
    """A final state is durable and never changes, so to halt for it needs no right to command."""

    async def scenario(world: World) -> None:
        world.run_s = 100.0
        await world.submit(job("wk-000001", 4, guess_s=100.0))
        await world.running(4)
        leader = await world.led()
        deaf = set(world.cloud.machines)
        world.net.deaf |= deaf  # so that the halts sent at once are lost
        assert await cancelled_at(world, "wk-000001", list(NODES))
        await asyncio.sleep(0.5)
        world.store.outage(True)
        await asyncio.sleep(4.0)
        assert world.nodes[leader].election.role is Role.HOLDING_OVER
        world.net.deaf -= deaf
        await asyncio.sleep(4.0)
        assert not any(world.judge.on.values())
        world.store.outage(False)
        await world.until_over(60.0)

    run(scenario)
