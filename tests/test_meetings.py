"""Meetings of two or more troubles, in virtual time, judged by their whole course."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from petrelthread.http import NoResponseError
from petrelthread.leadership import Role
from tests.test_faults import run
from tests.world import NODES, SMALL, Fate, World, job


def now() -> float:
    return asyncio.get_running_loop().time()


def others(name: str) -> list[str]:
    return [node for node in NODES if node != name]


async def cancelled_at(world: World, job_id: str, nodes: list[str]) -> bool:
    """One try to cancel at each of these nodes. True if one of them confirmed it."""
    for node in nodes:
        if await world.try_to_cancel(job_id, node) == "aborted":
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
            await world.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=200.0)
            )
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
        world.run_s_by_job["wk-000003"] = 1.0
        await world.submit(job("wk-000003", 1, team="guest"), nodes=others(leader))
        await asyncio.sleep(0.1)
        confirmed = 0
        until = now() + before_s
        while now() < until:
            if not confirmed and await cancelled_at(world, "wk-000001", others(leader)):
                confirmed += 1
            await asyncio.sleep(0.1)
        assert confirmed
        world.store.set_outage(True)
        if world.net.fate is not None:
            world.net.fate = None
        await asyncio.sleep(12.0)
        world.store.refused.clear()
        for _ in range(60):
            await asyncio.sleep(1.0)
            world.checker.check_cancellations()
            assert not world.checker.violations, world.checker.violations
        world.store.set_outage(False)
        await asyncio.sleep(5.0)
        await cancelled_at(world, "wk-000002", list(NODES))
        await world.until_over(60.0)

    run(scenario, seed)


def test_a_lease_that_comes_back_commands_nothing_before_the_changes_are_read() -> None:
    """After an outage the lease had its time back, and the leader led again with old knowledge."""

    async def scenario(world: World) -> None:
        world.run_s = 100.0
        await world.submit(job("wk-000001", 4, estimated_run_s=100.0))
        await world.running(4)
        leader = await world.led()
        election = world.nodes[leader].election
        world.store.set_outage(True)
        await asyncio.sleep(13.0)  # longer than a watch stays open
        assert election.role is Role.LEASE_GRACE

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            lost = source == leader and target.startswith(("/watch", "/keys"))
            return (0.0, lost)

        world.net.fate = fate
        world.store.set_outage(False)
        assert await cancelled_at(world, "wk-000001", others(leader))
        for _ in range(20):
            await asyncio.sleep(0.1)
            knows = world.nodes[leader].cluster_state.jobs_by_id["wk-000001"].final_status
            assert knows or not (election.is_leader and election.fence())
        world.net.fate = None
        await world.until_over(60.0)

    run(scenario)


def test_who_may_not_command_still_halts_what_it_knows_to_be_cancelled() -> None:
    """A final state is durable and never changes, so to halt for it needs no right to command."""

    async def scenario(world: World) -> None:
        world.run_s = 100.0
        await world.submit(job("wk-000001", 4, estimated_run_s=100.0))
        await world.running(4)
        leader = await world.led()
        unreachable = set(world.cloud.machines)
        world.net.not_receiving |= unreachable  # so that the halts sent at once are lost
        assert await cancelled_at(world, "wk-000001", list(NODES))
        await asyncio.sleep(0.5)
        world.store.set_outage(True)
        await asyncio.sleep(4.0)
        assert world.nodes[leader].election.role is Role.LEASE_GRACE
        world.net.not_receiving -= unreachable
        await asyncio.sleep(4.0)
        assert not any(world.checker.machines_by_task.values())
        world.store.set_outage(False)
        await world.until_over(60.0)

    run(scenario)


# ---- transactions whose answer is lost, at once or late ----------------------------------------


def lost_answers(world: World, share: float, late: bool) -> Fate:
    """That share of all transactions gets no answer; they are carried out now or 2 to 12 s later"""

    def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
        if target == "/multi" and world.random.random() < share:
            return (world.random.uniform(2.0, 12.0) if late else 0.0), True
        return 0.0, False

    return fate


async def look_closely(world: World, job_id: str) -> None:
    """Ask all nodes at the same moment, and repeat the submission there."""

    async def one(node: str, method: str, path: str, body: Any) -> None:
        try:
            status, answer = await world.ask(node, method, path, body)
        except NoResponseError:
            return
        world.checker.record_answer(job_id, status, answer)
        assert status not in (400, 422), (job_id, node, answer)

    asks = [one(node, "GET", f"/v2/runs/{job_id}", None) for node in world.nodes]
    asks += [one(node, "POST", "/v2/runs", world.jobs[job_id]) for node in world.nodes]
    await asyncio.gather(*asks)


@pytest.mark.parametrize("trouble", ["none", "lost", "late", "slow", "leader ends", "rolls"])
@pytest.mark.parametrize("seed", [1, 2])
def test_users_look_closely_at_all_nodes(trouble: str, seed: int) -> None:
    """Right after a job was accepted, ended or cancelled no node may answer anything older."""

    async def scenario(world: World) -> None:
        await world.led()
        if trouble in ("lost", "late"):
            world.net.fate = lost_answers(world, 0.3, trouble == "late")
        elif trouble == "slow":
            world.net.fate = lambda source, addr, method, target, body: (
                (world.random.uniform(0.0, 0.8), False) if addr == "state:1" else (0.0, False)
            )

        async def user(number: int) -> None:
            job_id = f"wk-{number:06d}"
            await asyncio.sleep(number * 1.5)
            spec = job(job_id, 1 + number % 3, team=("red", "blue", "guest")[number % 3])
            await world.submit(spec)
            await look_closely(world, job_id)
            if number % 3 == 0:
                await asyncio.sleep(world.random.choice([0.0, 2.0, 6.0]))
                await world.cancel(job_id)
                await look_closely(world, job_id)
            for _ in range(40):
                await asyncio.sleep(0.5)
                await look_closely(world, job_id)
                if world.checker.statuses.get(job_id) in ("done", "aborted"):
                    await look_closely(world, job_id)
                    return

        users = [asyncio.ensure_future(user(n)) for n in range(12)]
        for _ in range(4):
            await asyncio.sleep(4.0)
            if trouble == "leader ends":
                leader = await world.led()
                world.crash(leader)
                await asyncio.sleep(world.random.choice([0.1, 2.0]))
                world.boot(leader)
            elif trouble == "rolls":
                for name in NODES:
                    world.crash(name)
                    await asyncio.sleep(0.3)
                    world.boot(name)
                    await asyncio.sleep(0.5)
        await asyncio.gather(*users)
        world.net.fate = None
        world.checker.faults_ended_at = now()
        await world.until_over(150.0)

    run(scenario, seed)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_transactions_without_an_answer_while_leaders_end(late: bool, seed: int) -> None:
    """Submissions, cancellations, claims, elections and final states; late ones after newer ones"""

    async def scenario(world: World) -> None:
        world.spread_s = 6.0
        world.net.fate = lost_answers(world, 0.35, late)
        for n in range(6):
            await world.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        await world.running(2)
        for n in range(5):
            await asyncio.sleep(world.random.uniform(1.0, 7.0))
            leader = world.leader
            if leader is not None:
                world.crash(leader)
                await asyncio.sleep(world.random.choice([0.05, 0.4, 3.0]))
                world.boot(leader)
            await cancelled_at(world, f"wk-{n:06d}", list(world.nodes)) if n % 2 else None
            await world.poll()
        world.net.fate = None
        world.checker.faults_ended_at = now()
        await world.until_over(200.0)

    run(scenario, seed)


@pytest.mark.parametrize("late_s", [0.0, 3.0])
def test_the_claim_of_a_start_gets_no_answer_and_the_leader_ends(late_s: float) -> None:
    """Nothing is sent before the claim is known to count, so nobody starts it beside the next."""

    async def scenario(world: World) -> None:
        world.run_s = 15.0
        first = await world.led()

        def fate(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            rounds = target == "/multi" and "pt/r/" in str(body["apply"])
            return (late_s, True) if rounds and source == first else (0.0, False)

        world.net.fate = fate
        await world.submit(job("wk-000001", 6, estimated_run_s=15.0))
        await asyncio.sleep(9.0)
        world.crash(first)
        await world.led()
        world.boot(first)
        world.checker.faults_ended_at = now()
        await world.until_over(120.0)

    run(scenario)


def test_a_job_called_off_elsewhere_is_not_started_by_who_has_not_read_it() -> None:
    """From the confirmation on no task may start, however far behind the leader's watch is."""

    async def scenario(world: World) -> None:
        leader = await world.led()
        for n in (1, 2):
            await world.submit(job(f"wk-{n:06d}", 2, estimated_run_s=5.0))
        await asyncio.sleep(1.0)
        world.net.fate = lambda source, addr, method, target, body: (
            (0.0, source == leader and target.startswith("/watch"))
        )
        await asyncio.sleep(0.2)
        await world.submit(job("wk-000003", 1), nodes=others(leader))  # ends the watch still open
        assert await cancelled_at(world, "wk-000001", others(leader))
        await asyncio.sleep(8.0)  # its machines are up meanwhile
        world.net.fate = None
        await world.until_over(60.0)
        assert not [
            task_id for task_id in world.checker.started_at if task_id.startswith("wk-000001/")
        ]

    run(scenario)


# ---- cancelled while machines can't be asked, and the leader changes ---------------------------


@pytest.mark.parametrize("lost", ["cut", "hangs", "not receiving"])
@pytest.mark.parametrize("change", ["crash", "quick", "refused", "still"])
def test_every_team_at_its_limit_while_jobs_on_lost_machines_are_cancelled(
    lost: str, change: str
) -> None:
    """Cancelled tasks count in their team's limit until they are surely gone, for each leader."""

    async def scenario(world: World) -> None:
        world.run_s = 60.0
        for n in range(6):
            await world.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=60.0)
            )
        task_ids = await world.running(12)  # both limits of 12 cores
        first = {task_id.rpartition("/")[0] for task_id in task_ids}
        names = {world.where(task_id).name for task_id in task_ids[:5]}
        workers = [world.cloud.machines[name].worker for name in names]
        if lost == "cut":
            world.net.cut |= {frozenset((name, node)) for name in names for node in NODES}
        elif lost == "not receiving":
            world.net.not_receiving |= names
        else:
            for worker in workers:
                worker.frozen = True
        await asyncio.gather(*(world.cancel(job_id) for job_id in sorted(first)[:2]))
        leader = await world.led()
        if change == "still":
            await world.stand_still(leader, 8.0)
        elif change == "refused":
            world.store.refused.add(leader)
            await asyncio.sleep(8.0)
            world.store.refused.clear()
        else:
            world.crash(leader)
            await asyncio.sleep(0.1 if change == "quick" else 5.0)
            world.boot(leader)
        for _ in range(16):
            await asyncio.sleep(0.5)
            world.checker.check_cancellations()
        for worker in workers:
            worker.frozen = False
        world.net.not_receiving.clear()
        world.net.cut.clear()
        world.checker.faults_ended_at = now()
        for _ in range(40):
            await asyncio.sleep(1.0)
            await world.poll()
            world.checker.check_cancellations()
        for job_id in world.jobs:
            await world.cancel(job_id)
        await world.until_over(100.0)

    run(scenario)


@pytest.mark.parametrize("change", ["crash", "quick", "resigns", "rolls", "refused"])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_are_cancelled_while_the_work_changes_hands(change: str, seed: int) -> None:
    """Before, during and after the take-over, at whatever node is there."""

    async def scenario(world: World) -> None:
        world.run_s = 50.0
        for n in range(10):
            crew = ("red", "blue", "guest")[n % 3]
            await world.submit(job(f"wk-{n:06d}", 2, team=crew, estimated_run_s=50.0))
        await world.running(8)

        async def users() -> None:
            for n in range(8):
                await asyncio.sleep(world.random.uniform(0.0, 0.9))
                await world.cancel(f"wk-{n:06d}")
                await look_closely(world, f"wk-{n:06d}")

        cancelling = asyncio.ensure_future(users())
        await asyncio.sleep(0.5)
        leader = await world.led()
        if change == "resigns":
            await world.nodes[leader].election.resign("a test asks for it", 15.0)
        elif change == "refused":
            world.store.refused.add(leader)
            await asyncio.sleep(6.0)
            world.store.refused.clear()
        else:
            for name in [leader] if change != "rolls" else [*others(leader), leader]:
                world.crash(name)
                await asyncio.sleep(3.0 if change == "crash" else 0.2)
                world.boot(name)
                await asyncio.sleep(0.4)
        await cancelling
        await asyncio.sleep(12.0)
        running = world.checker.machines_by_task
        left = {task_id.rpartition("/")[0] for task_id, machines in running.items() if machines}
        assert not left & set(world.checker.cancelled_at)
        world.checker.faults_ended_at = now()
        await world.until_over(150.0)

    run(scenario, seed)


# ---- machines that are up at once, old reports, small jobs in numbers --------------------------


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_machines_are_up_at_once_while_writes_lag_and_the_leader_ends(seed: int) -> None:
    """A start is on record before it is sent, so that the next leader knows of it."""

    async def scenario(world: World) -> None:
        world.run_s = 15.0
        await world.led()
        world.net.fate = lambda source, addr, method, target, body: (
            (world.random.uniform(0.3, 0.9), world.random.random() < 0.1)
            if target == "/multi"
            else (0.0, False)
        )
        for n in range(4):
            await world.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=15.0)
            )
        for _ in range(4):
            await asyncio.sleep(world.random.uniform(0.4, 5.0))
            leader = await world.led()
            world.crash(leader)
            await asyncio.sleep(world.random.choice([0.1, 1.5]))
            world.boot(leader)
        world.net.fate = None
        world.checker.faults_ended_at = now()
        await world.until_over(200.0)

    run(
        scenario,
        seed,
        replace(SMALL, machine_types=({**SMALL.machine_types[0], "startup_s": 0.3},)),
    )


@pytest.mark.parametrize("after_s", [0.0, 0.3, 1.0, 4.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_old_reports_reach_every_controller_as_a_new_leader_begins(
    after_s: float, seed: int
) -> None:
    """Of earlier sessions and attempts too: what they lack or show proves nothing any more."""

    async def scenario(world: World) -> None:
        world.spread_s = 8.0
        kept: list[tuple[str, Any]] = []

        def keep(source: str, addr: str, method: str, target: str, body: Any) -> Any:
            if target == "/checkin" and world.random.random() < 0.4:
                kept.append((source, body))
            return 0.0, False

        world.net.fate = keep
        for n in range(5):
            await world.submit(
                job(f"wk-{n:06d}", 6, team=("red", "blue")[n % 2], estimated_run_s=10.0)
            )
        task_ids = await world.running(6)
        lost = world.where(task_ids[0])
        world.net.cut |= {frozenset((lost.name, node)) for node in NODES}  # its session ends
        await asyncio.sleep(11.0)
        world.net.cut.clear()
        for _ in range(3):
            leader = await world.led()
            world.crash(leader)
            await world.led()
            await asyncio.sleep(after_s)
            old, kept[:] = world.random.sample(kept, min(len(kept), 30)), []
            for source, body in old:
                for node in list(world.nodes):
                    handler = world.net.hosts[f"{node}:1"]
                    await handler(source, "POST", "/checkin", body)
            world.boot(leader)
            await asyncio.sleep(world.random.uniform(1.0, 6.0))
        world.net.fate = None
        world.checker.faults_ended_at = now()
        await world.until_over(200.0)

    run(scenario, seed)


def test_small_jobs_come_four_a_second_and_a_quarter_is_cancelled() -> None:
    """All are accepted, none is forgotten, and cancellations are confirmed without delay."""

    async def scenario(world: World) -> None:
        await world.led()
        world.run_s = 2.0
        slow: list[float] = []

        async def user(number: int) -> None:
            job_id = f"wk-{number:06d}"
            await world.submit(job(job_id, 1, team="guest", cores=0.5, estimated_run_s=2.0))
            if number % 4 == 0:
                await asyncio.sleep(world.random.uniform(0.0, 2.0))
                asked = now()
                await world.cancel(job_id)
                slow.append(now() - asked)

        users = []
        for n in range(240):
            users.append(asyncio.ensure_future(user(n)))
            await asyncio.sleep(0.25)
        await asyncio.gather(*users)
        assert max(slow) < 2.0
        await world.until_over(60.0)

    run(scenario)


@pytest.mark.parametrize("change", ["crash", "alone"])
@pytest.mark.parametrize("after_s", [0.5, 2.0, 4.0])
def test_machines_that_reach_no_controller_while_commands_reach_them(
    change: str, after_s: float
) -> None:
    """Answers to commands showed a new session that nobody had renewed. Its tasks counted as gone
    by the lease of the session before, and were started elsewhere while they ran."""

    async def scenario(world: World) -> None:
        world.run_s = 60.0
        for n in range(2):
            await world.submit(job(f"wk-{n:06d}", 3, team="guest", cores=1.0, estimated_run_s=60.0))
        await world.running(6)
        await asyncio.sleep(6.0)
        names = set(world.cloud.machines)
        workers = [m.worker for m in world.cloud.machines.values()]
        world.net.not_sending |= names
        await asyncio.sleep(2.0)
        leader = await world.led()
        cuts = {frozenset((leader, other)) for other in ("state", "cloud", *others(leader))}
        if change == "crash":
            world.crash(leader)
        else:
            world.net.cut |= cuts
        while not any(worker.incarnation > 1 for worker in workers):
            await asyncio.sleep(0.1)
        await asyncio.sleep(after_s)
        for n in range(2, 5):
            spec = job(f"wk-{n:06d}", 2, team="guest", cores=1.0, estimated_run_s=60.0)
            await world.submit(spec, nodes=others(leader))
            await asyncio.sleep(1.0)
        for _ in range(40):
            await asyncio.sleep(0.5)
            assert not world.checker.violations, world.checker.violations
        if change == "crash":
            world.boot(leader)
        world.net.cut.clear()
        world.net.not_sending.clear()
        world.checker.faults_ended_at = now()
        await world.until_over(200.0)

    run(scenario)


# ---- the end of a job's last task, and leaders in quick succession -----------------------------


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cancelled_asked_and_repeated_at_the_end_of_the_last_task(seed: int) -> None:
    """Either final state may win, but only one, and done only if all tasks are."""

    async def scenario(world: World) -> None:
        world.run_s = 3.0
        await world.led()

        async def user(number: int) -> None:
            job_id = f"wk-{number:06d}"
            spec = job(job_id, 1 + number % 2, team=("red", "blue", "guest")[number % 3])
            await world.submit(spec)
            last = f"{job_id}/{spec['legs'] - 1}"
            while last not in world.checker.completed_tasks:
                await asyncio.sleep(0.02)
            await asyncio.sleep(world.random.uniform(0.0, 0.6))
            await asyncio.gather(
                *(world.try_to_cancel(job_id, node) for node in world.random.sample(NODES, 2)),
                look_closely(world, job_id),
            )
            await look_closely(world, job_id)

        await asyncio.gather(*(user(n) for n in range(12)))
        await world.until_over(60.0)

    run(scenario, seed)


@pytest.mark.parametrize("inside_an_outage", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_ten_leaders_in_two_minutes(inside_an_outage: bool, seed: int) -> None:
    """Jobs of two or three tasks that end far apart, so that records outlive several leaders."""

    async def scenario(world: World) -> None:
        world.run_s, world.spread_s = 4.0, 45.0
        for n in range(10):
            crew = ("red", "blue", "guest")[n % 3]
            await world.submit(
                job(f"wk-{n:06d}", 2 + n % 2, team=crew, cores=1.0, estimated_run_s=20.0)
            )
        await world.running(10)
        for n in range(10):
            await asyncio.sleep(world.random.uniform(2.0, 9.0))
            outage = inside_an_outage and n % 3 == 1
            world.store.set_outage(outage)
            name = world.leader or world.random.choice(NODES)
            if n % 4 == 3 and not outage:
                await world.nodes[name].election.resign("a test asks for it", 4.0)
            else:
                world.crash(name)
                await asyncio.sleep(world.random.choice([0.05, 0.5, 4.0]))
                world.boot(name)
            await world.poll()
        world.store.set_outage(False)
        world.checker.faults_ended_at = now()
        await world.until_over(150.0)

    run(scenario, seed)
