"""Starts whose direct command is held on its way, from milliseconds to several minutes.

A held command must not start a task after its job's cancellation, although the leader lives on and
the machine's heartbeats are answered. docs/incidents/ran-cancelled-wk-626828.md has the incident.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.scenario import run
from tests.simulated_network import DeliveryRule
from tests.simulation import NODES, Simulation, job

CANCELLED = "wk-000001"
SETTLED_S = (
    6.0  # after the cancellation: two seconds of waiting for the answer, two heartbeats, rounds
)


def now() -> float:
    """Virtual time, in seconds."""
    return asyncio.get_running_loop().time()


class HeldStarts:
    """Holds direct commands that start a task of one job; their answers are lost."""

    def __init__(self, simulation: Simulation, delay_s: float) -> None:
        """``delay_s``: how long each command is on its way."""
        self.sent_at: list[float] = []
        # The delivery of all other requests.
        self.others: DeliveryRule = lambda *request: (0.0, False)
        self._delay_s = delay_s
        simulation.net.delivery_rule = self._delivery

    def _delivery(
        self, source: str, address: str, method: str, target: str, body: Any
    ) -> tuple[float, bool] | None:
        orders = body["orders"] if target == "/do" else []
        if not any(o["verb"] == "launch" and o["leg"].startswith(CANCELLED) for o in orders):
            return self.others(source, address, method, target, body)
        self.sent_at.append(now())
        return self._delay_s, True

    async def sent(self) -> None:
        """Wait until the first one is on its way."""
        while not self.sent_at:
            await asyncio.sleep(0.01)

    @property
    def arrived_at(self) -> float:
        """When the last one arrives."""
        return self.sent_at[-1] + self._delay_s


async def cancel_elsewhere(simulation: Simulation, leader: str) -> None:
    """Cancel the job through a controller that does not lead; wait for the confirmation."""
    while True:
        for node in NODES:
            if node != leader and await simulation.try_to_cancel(CANCELLED, node) == "aborted":
                return
        await asyncio.sleep(0.1)


async def keep_machines(simulation: Simulation, until: float) -> None:
    """Work goes on, so that machines are kept: when one is returned, the command is void."""
    number = 100
    while now() < until:
        number += 1
        await simulation.submit(job(f"wk-{number:06d}", 4, team=("red", "blue")[number % 2]))
        await asyncio.sleep(4.0)


def held_by(simulation: Simulation) -> int:
    """How many starts of the cancelled job the leader still counts as possible."""
    leader = simulation.leader
    if leader is None:
        return 0
    found = simulation.nodes[leader].cluster_state.jobs_by_id.get(CANCELLED)
    return 0 if found is None else len(found.live_attempts)


@pytest.mark.parametrize("seed", range(20))
def test_a_start_held_past_a_cancellation_is_refused_by_its_machine(seed: int) -> None:
    """As in the incident: the leader lives on, and its answers reach the machine."""

    async def scenario(simulation: Simulation) -> None:
        held = HeldStarts(simulation, simulation.random.uniform(45.0, 300.0))
        leader = await simulation.wait_for_leader()
        await simulation.submit(job(CANCELLED, 2))
        await held.sent()
        await cancel_elsewhere(simulation, leader)
        busy = asyncio.ensure_future(keep_machines(simulation, held.arrived_at + 5.0))
        await asyncio.sleep(SETTLED_S)
        assert simulation.leader == leader
        assert not held_by(simulation)  # the room and the team's limit are free again
        await busy

    run(scenario, seed)


# ---- together with other faults ------------------------------------------------------------------


async def machines_receive_nothing(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """Their heartbeats arrive, the answers don't reach them."""
    simulation.net.not_receiving |= set(simulation.cloud.machines)
    await asyncio.sleep(simulation.random.uniform(5.0, 40.0))
    simulation.net.not_receiving.clear()


async def writes_are_lost(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """The leader reads and renews its lease, but cannot write, nor raise its token."""

    def lost(source: str, address: str, method: str, target: str, body: Any) -> Any:
        return None if source == leader and target == "/multi" else (0.0, False)

    held.others = lost
    await asyncio.sleep(simulation.random.uniform(40.0, 80.0))
    held.others = lambda *request: (0.0, False)


async def writes_are_unanswered(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """Half of all transactions are carried out without an answer, at once or up to 12 s later."""

    def unanswered(source: str, address: str, method: str, target: str, body: Any) -> Any:
        if target != "/multi" or simulation.random.random() < 0.5:
            return 0.0, False
        return simulation.random.choice((0.0, simulation.random.uniform(0.5, 12.0))), True

    held.others = unanswered
    await asyncio.sleep(simulation.random.uniform(10.0, 60.0))
    held.others = lambda *request: (0.0, False)


async def refused_then_outage(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """The state service refuses the leader alone, then is down for longer than ``cancel_s``."""
    simulation.state_service.refused.add(leader)
    await asyncio.sleep(simulation.random.uniform(0.5, 8.0))
    simulation.state_service.set_outage(True)
    simulation.state_service.refused.clear()
    await asyncio.sleep(simulation.workers.cancel_s + simulation.random.uniform(5.0, 20.0))
    simulation.state_service.set_outage(False)


async def leader_ends(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """It is back after a while."""
    simulation.crash(leader)
    await asyncio.sleep(simulation.random.uniform(2.0, 20.0))
    simulation.boot(leader)


async def leader_is_back_at_once(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """It ends, and is back within a fraction of a second."""
    simulation.crash(leader)
    await asyncio.sleep(simulation.random.uniform(0.05, 0.9))
    simulation.boot(leader)


async def leader_is_paused(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """It stands still for less or more than its lease, and goes on."""
    await simulation.pause(leader, simulation.random.choice((1.5, 4.0, 15.0, 45.0)))


async def leader_is_deposed(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """It loses the state service and its siblings, but not its workers."""
    others = {"state", *NODES} - {leader}
    simulation.net.partitions |= {frozenset((leader, other)) for other in others}
    await asyncio.sleep(simulation.random.uniform(4.0, 45.0))
    simulation.net.partitions.clear()


async def leader_resigns(simulation: Simulation, held: HeldStarts, leader: str) -> None:
    """It resigns, and may be elected again at once."""
    await simulation.nodes[leader].election.resign("for the test", 0.0)


FAULTS = [
    machines_receive_nothing,
    writes_are_lost,
    writes_are_unanswered,
    refused_then_outage,
    leader_ends,
    leader_is_back_at_once,
    leader_is_paused,
    leader_is_deposed,
    leader_resigns,
]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_late_start_races_with_a_cancellation_and_another_fault(fault: Any, seed: int) -> None:
    """Delays from milliseconds to five minutes; the fault begins around the raise of the token."""

    async def scenario(simulation: Simulation) -> None:
        delay_s = math.exp(simulation.random.uniform(math.log(0.005), math.log(300.0)))
        held = HeldStarts(simulation, max(delay_s, simulation.random.choice((0.0, 45.0))))
        leader = await simulation.wait_for_leader()
        await simulation.submit(job(CANCELLED, 3))
        await held.sent()
        await asyncio.sleep(simulation.random.uniform(0.0, 2.2))
        await cancel_elsewhere(simulation, leader)
        busy = asyncio.ensure_future(keep_machines(simulation, max(now(), held.arrived_at) + 5.0))
        await asyncio.sleep(simulation.random.uniform(0.0, 4.0))
        await fault(simulation, held, leader)
        await busy

    run(scenario, seed)


@pytest.mark.parametrize("delay_s", [38.0, 50.0, 65.0])
def test_a_machine_is_not_answered_while_the_token_cannot_be_raised(delay_s: float) -> None:
    """Renewals and reads go through, writes don't: the machine's lease has to end in time."""

    async def scenario(simulation: Simulation) -> None:
        held = HeldStarts(simulation, delay_s)
        leader = await simulation.wait_for_leader()
        await simulation.submit(job(CANCELLED, 2))
        await held.sent()
        busy = asyncio.ensure_future(keep_machines(simulation, held.arrived_at + 5.0))

        def lost(source: str, address: str, method: str, target: str, body: Any) -> Any:
            return None if source == leader and target == "/multi" else (0.0, False)

        held.others = lost
        await cancel_elsewhere(simulation, leader)
        while now() < held.arrived_at:
            await asyncio.sleep(0.5)
            election = simulation.nodes[leader].election
            assert election.role is Role.LEADING
            assert election.fencing_token == election.epoch
        held.others = lambda *request: (0.0, False)
        await busy

    run(scenario)


def test_a_raised_token_is_written_before_it_is_shown_and_a_successor_is_above_it() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000002", 2))
        await simulation.wait_until_running(2)
        leader = await simulation.wait_for_leader()
        node = simulation.nodes[leader]
        for _ in range(3):
            before = node.election.fencing_token
            assert await node.election.raise_fencing_token()
            stored = [value for key, value in simulation.state_service.puts if key == "pt/epoch"]
            assert (
                stored[-1] == node.election.fencing_token == node.fleet.fencing_token == before + 1
            )
            # In the form that older versions write and read, which take the value plus one.
            (lead,) = [
                value
                for key, (value, _, _) in simulation.state_service.keys.items()
                if key == "pt/lead"
            ]
            assert lead.keys() == {"node", "nonce", "epoch", "lease"}
            assert lead["epoch"] == before + 1
        assert node.election.epoch == before - 2  # records are still named after the election
        await asyncio.sleep(3.0)
        machines = [machine.worker for machine in simulation.cloud.machines.values()]
        assert {worker.fencing_token for worker in machines if worker.up} == {before + 1}
        simulation.crash(leader)
        new = simulation.nodes[await simulation.wait_for_leader()].election
        assert new.epoch > before + 1
        await simulation.wait_until_over(60.0)

    run(scenario)


@pytest.mark.parametrize("late_s", [0.0, 2.0, 7.0])
def test_a_raise_without_an_answer_is_adopted_when_it_is_read(late_s: float) -> None:
    """Siblings may have read it before the leader has; that is no newer leader."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000002", 2))
        leader = await simulation.wait_for_leader()
        election = simulation.nodes[leader].election
        lost = 0

        def fate(source: str, address: str, method: str, target: str, body: Any) -> Any:
            nonlocal lost
            raises = target == "/multi" and any(op.get("put") == "pt/epoch" for op in body["apply"])
            if source == leader and raises and not lost:
                lost += 1
                return late_s, True
            return 0.0, False

        simulation.net.delivery_rule = fate
        before = election.fencing_token
        assert await election.raise_fencing_token()
        assert lost
        assert election.fencing_token == before + 1
        await asyncio.sleep(late_s + 3.0)
        assert election.role is Role.LEADING
        assert simulation.leader == leader
        assert election.fencing_token == before + 1
        await simulation.wait_until_over(60.0)

    run(scenario)


@pytest.mark.parametrize("raised_after_s", [0.0, 0.0005])
def test_a_command_in_flight_when_the_token_is_raised_is_sent_again(raised_after_s: float) -> None:
    """Its machine refuses it, which is an answer: nothing waits for it."""

    async def scenario(simulation: Simulation) -> None:
        leader = await simulation.wait_for_leader()
        node = simulation.nodes[leader]
        simulation.run_s = 30.0
        refused = 0

        def fate(source: str, address: str, method: str, target: str, body: Any) -> Any:
            nonlocal refused
            starts = target == "/do" and body["orders"]
            if starts and body["baton"] < node.election.epoch + 1:
                refused += 1
                return 1.5, False  # longer than it takes to raise the token and to report
            return 0.0, False

        await simulation.submit(job("wk-000002", 4, estimated_run_s=30.0))
        await simulation.wait_until_running(4)
        simulation.net.delivery_rule = fate
        await simulation.submit(job("wk-000003", 2, estimated_run_s=30.0))
        while not refused:
            await asyncio.sleep(0.01)
        await asyncio.sleep(raised_after_s)
        sent_at = now()
        assert await node.election.raise_fencing_token()
        running = simulation.checker.machines_by_task
        while sum(task_id.startswith("wk-000003") for task_id, on in running.items() if on) < 2:
            await asyncio.sleep(0.1)
            assert now() < sent_at + 2.75  # 1.5 s on its way, 1 s to fetch the image
        assert not node.fleet.unacknowledged_starts.count()
        await simulation.wait_until_over(90.0)

    run(scenario)


def test_a_wave_of_unanswered_commands_raises_the_token_at_most_once_an_interval() -> None:
    """Machines hang one after the other for a minute, while jobs are cancelled all the time."""

    async def scenario(simulation: Simulation) -> None:
        held = HeldStarts(simulation, 1000.0)
        leader = await simulation.wait_for_leader()
        node = simulation.nodes[leader]

        def all_lost(source: str, address: str, method: str, target: str, body: Any) -> Any:
            return None if target == "/do" and body["orders"] else (0.0, False)

        await simulation.submit(job("wk-000002", 1))
        await simulation.wait_until_running(1)
        held.others = all_lost
        before, since = node.election.fencing_token, now()
        for n in range(200, 230):
            await simulation.submit(job(f"wk-{n:06d}", 3, team=("red", "blue", "guest")[n % 3]))
            await asyncio.sleep(simulation.random.uniform(0.2, 2.0))
            await simulation.try_to_cancel(f"wk-{n:06d}", leader)
            await asyncio.sleep(simulation.random.uniform(0.2, 2.0))
        raises = node.election.fencing_token - before
        gap_s = node.fleet.unacknowledged_starts.raise_interval_s
        assert simulation.leader == leader
        assert 2 <= raises <= (now() - since) / gap_s + 1
        held.others = lambda *request: (0.0, False)
        await simulation.wait_until_over(120.0)

    run(scenario)


def test_what_siblings_tell_of_an_own_raise_deposes_nobody() -> None:
    """The write's answer and the leader's own reading are lost; its siblings have read it."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job("wk-000002", 2))
        leader = await simulation.wait_for_leader()
        election = simulation.nodes[leader].election
        raised_at = now()

        def fate(source: str, address: str, method: str, target: str, body: Any) -> Any:
            blind = source == leader and now() < raised_at + 2.0
            return 0.0, blind and target.startswith(("/multi", "/watch"))

        simulation.net.delivery_rule = fate
        before = election.fencing_token
        assert await election.raise_fencing_token()
        assert now() > raised_at + 1.5
        assert election.highest_known_epoch == election.fencing_token == before + 1
        assert election.role is Role.LEADING
        await simulation.wait_until_over(60.0)

    run(scenario)
