"""The users' addition to the rules, in virtual time, judged by its whole course."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from petrelthread.emulator.worker import Worker
from petrelthread.http import NoResponseError
from petrelthread.leadership import Role
from tests.test_faults import run
from tests.virtual import play
from tests.world import NODES, World, job

Scenario = Callable[[World], Awaitable[None]]


def now() -> float:
    return asyncio.get_running_loop().time()


def starts_recorded(world: World, machine: str) -> int:
    return sum(
        len(tasks)
        for key, value in world.store.puts
        if key.startswith("pt/r/")
        for name, _, jobs in value
        if name == machine
        for _, tasks in jobs
    )


# ---- a machine whose reports arrive, but which hears nothing -----------------------------------


def test_a_deaf_machine_draws_no_work_and_goes_back() -> None:
    """It looked alive and idle again after each end of its lease, and drew task after task."""

    async def scenario(world: World) -> None:
        world.run_s = 8.0
        await world.submit(job("wk-000001", 30, estimated_run_s=30.0))
        await world.running(6)
        unreachable = next(iter(world.cloud.machines))
        worker: Worker = world.cloud.machines[unreachable].worker
        world.net.not_receiving.add(unreachable)
        await asyncio.sleep(13.0)  # its lease has ended, and it has shown that
        drawn = starts_recorded(world, unreachable)
        while not worker.dead:
            await asyncio.sleep(0.5)
            assert now() < 160.0, "it never went back"
        assert starts_recorded(world, unreachable) <= drawn + 2
        await world.until_over(150.0)

    run(scenario)


def test_a_machine_that_hears_again_is_used_again() -> None:
    async def scenario(world: World) -> None:
        world.run_s = 4.0
        await world.submit(job("wk-000001", 60, estimated_run_s=30.0))
        await world.running(6)
        unreachable = next(iter(world.cloud.machines))
        worker: Worker = world.cloud.machines[unreachable].worker
        world.net.not_receiving.add(unreachable)
        await asyncio.sleep(5.0)
        world.net.not_receiving.clear()
        before = starts_recorded(world, unreachable)
        await asyncio.sleep(25.0)
        assert not worker.dead
        assert starts_recorded(world, unreachable) > before + 4
        await world.until_over(200.0)

    run(scenario)


def test_a_leader_elected_while_a_machine_is_deaf_gets_rid_of_it() -> None:
    """Its highest token stays behind: it must not count as heard by the new leader."""

    async def scenario(world: World) -> None:
        world.run_s = 30.0
        await world.submit(job("wk-000001", 6, estimated_run_s=60.0))
        task_ids = await world.running(6)
        worker = world.where(task_ids[0])
        await asyncio.sleep(3.0)
        world.net.not_receiving.add(worker.name)
        world.crash(await world.led())
        await asyncio.sleep(30.0)
        assert worker.dead
        await world.until_over(150.0)

    run(scenario)


# ---- copies of reports, late -------------------------------------------------------------------


@pytest.mark.parametrize("late", [2.0, 9.0, 14.0, 35.0])
def test_late_copies_of_reports(late: float) -> None:
    """To the same leader, to new ones, to one just restarted, from gone sessions and machines."""

    async def scenario(world: World) -> None:
        world.run_s = 6.0
        world.net.copy = lambda source, addr, method, target: (
            late if target == "/checkin" and world.random.random() < 0.5 else None
        )
        for n in range(4):
            crew = "red" if n % 2 else "blue"
            await world.submit(job(f"wk-{n:06d}", 6, team=crew, estimated_run_s=20.0))
        task_ids = await world.running(4)
        lost = world.where(task_ids[0])
        world.net.cut |= {frozenset((lost.name, n)) for n in NODES}  # a session ends, or it goes
        await asyncio.sleep(12.0)
        first = await world.led()
        world.crash(first)
        await asyncio.sleep(0.3)
        world.boot(first)
        await asyncio.sleep(5.0)
        world.crash(await world.led())
        await world.until_over(200.0)
        # None of the machines that are gone is taken for alive because of a copy.
        await asyncio.sleep(late)
        node = world.nodes[await world.led()]
        served = {m.name for m in node.fleet.machines.values() if node.fleet.is_schedulable(m)}
        assert served <= set(world.cloud.machines)

    run(scenario)


# ---- a controller that has only its workers ----------------------------------------------------


@pytest.mark.parametrize("cloud_too", [False, True])
def test_a_leader_that_has_only_its_workers(cloud_too: bool) -> None:
    async def scenario(world: World) -> None:
        world.run_s = 60.0
        await world.submit(job("wk-000001", 4, estimated_run_s=60.0))
        await world.submit(job("wk-000002", 4, team="blue", estimated_run_s=60.0))
        await world.running(8)
        old = await world.led()
        since = now()
        others = {"state", "cloud", *NODES} - {old}
        world.net.cut |= {frozenset((old, other)) for other in others}
        # Nobody else hears the workers, and perhaps the machines cannot be returned either.
        machines = set(world.cloud.machines)
        world.net.cut |= {frozenset((m, n)) for m in machines for n in NODES if n != old}
        if cloud_too:
            world.net.cut |= {frozenset(("cloud", n)) for n in NODES}
        await asyncio.sleep(1.2)
        before = now()
        status, _ = await world.ask(old, "GET", "/v2/runs/wk-000001")
        assert status == 503
        status, _ = await world.ask(old, "POST", "/v2/runs", job("wk-000009", 1))
        assert status == 503
        assert now() - before < 2.5
        assert await world.cancel("wk-000002") == "aborted"
        starts = world.checker.start_count
        while now() < since + 23.0 + 9.0:
            if cloud_too and now() < since + 23.0:
                # It renews their leases: nothing may start.
                assert world.checker.start_count == starts
            assert world.nodes[old].election.role is not Role.LEADING or now() < since + 4.0
            await asyncio.sleep(0.5)
        assert world.nodes[old].election.role is Role.FOLLOWER
        world.net.cut.clear()
        await world.until_over(200.0)

    run(scenario)


# ---- back within a fraction of a second, with copies of the earlier life's requests ------------


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_quick_restarts_with_late_copies_of_the_earlier_lifes_requests(seed: int) -> None:
    chance = random.Random(seed)
    nonces: dict[int, set[str]] = {}

    def copy(source: str, addr: str, method: str, target: str) -> float | None:
        wanted = method != "GET" and (addr.startswith(("state", "cloud")) or target == "/do")
        return chance.uniform(0.02, 6.0) if wanted and chance.random() < 0.6 else None

    async def scenario(world: World) -> None:
        world.net.copy = copy
        for n in range(3):
            await world.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=20.0)
            )
        for _ in range(6):
            name = chance.choice(NODES)
            world.crash(name)
            await asyncio.sleep(chance.uniform(0.02, 0.4))
            world.boot(name)
            await asyncio.sleep(chance.choice([0.05, 0.2, 0.6, 4.0]))
        leader = await world.led()
        world.crash(leader)
        await asyncio.sleep(0.1)
        world.boot(leader)  # it is in the middle of its election when it goes again
        await asyncio.sleep(0.35)
        world.crash(leader)
        world.boot(leader)
        await world.until_over(200.0)
        for key, value in world.store.puts:
            if key == "pt/lead":
                nonces.setdefault(value["epoch"], set()).add(value["nonce"])
        assert all(len(held) == 1 for held in nonces.values()), nonces
        assert all(len(asked) == 1 for asked in world.cloud.requests.values())
        rounds: dict[str, set[str]] = {}
        for key, value in world.store.puts:
            if key.startswith("pt/r/"):
                rounds.setdefault(key, set()).add(repr(value))
        assert all(len(written) == 1 for written in rounds.values())

    run(scenario, seed)
    assert nonces


@pytest.mark.parametrize("role", [Role.LEADING, Role.LEASE_GRACE])
def test_a_settled_round_that_a_late_copy_makes_again_starts_nothing(role: Role) -> None:
    """Its marker was struck out with it, so nothing in the state service refuses the copy."""

    async def main() -> None:
        world = World()
        await world.submit(job("wk-000001", 2))
        await asyncio.sleep(1.0)
        node = world.nodes[await world.led()]
        node.election.role = role
        number = (node.election.epoch << 20) + 999
        node._on_key(f"r/{number}", [["host-000009", 1, [["wk-000001", [0, 1]]]]], 10**6)
        assert not node.cluster_state.attempts_by_machine
        assert node.cluster_state.jobs_by_id["wk-000001"].pending_count == 2
        assert number in node.cluster_state.settled_rounds()

    play(main())


# ---- nothing is forgotten, nobody starves ------------------------------------------------------


def test_the_judge_sees_a_forgotten_job() -> None:
    async def main() -> None:
        world = World()
        await world.submit(job("wk-000001", 2))
        world.checker.faults_ended_at = now()
        world.net.cut |= {frozenset(("user", n)) for n in NODES}
        with pytest.raises(NoResponseError):
            await world.ask("n0", "GET", "/v2/runs/wk-000001")
        await asyncio.sleep(60.0)
        world.checker.check_answers()
        assert not world.checker.violations
        await asyncio.sleep(20.0)
        world.checker.check_answers()
        assert any(text.startswith("forgotten") for text in world.checker.violations)

    play(main())


def test_the_largest_job_begins_though_small_ones_keep_coming() -> None:
    """Moore's rule alone puts a hopeless job behind every small one, for as long as they come."""

    async def scenario(world: World) -> None:
        await world.submit(job("wk-100000", 400, estimated_run_s=5.0))
        large = now()
        for n in range(75):
            await world.submit(job(f"wk-{n:06d}", 3, estimated_run_s=5.0))
            await asyncio.sleep(2.9)
        begun = [
            at
            for task_id, at in world.checker.started_at.items()
            if task_id.startswith("wk-100000/")
        ]
        assert begun
        assert min(begun) < large + 240.0
        served = [n for n in range(75) if world.checker.statuses.get(f"wk-{n:06d}") is not None]
        assert len(served) == 75
        await world.cancel("wk-100000")
        await world.until_over(200.0)

    run(scenario)
