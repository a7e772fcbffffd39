"""Starts whose direct command is delayed by milliseconds to several minutes.

A delayed command must not start a task after its job's cancellation, even if the leader stays the
same and answers the worker's heartbeats (incident: docs/incidents/ran-cancelled-wk-626828.md).
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

import pytest

from petrelthread.leadership import Role
from tests.scenario import run_scenario
from tests.simulated_network import DeliveryRule
from tests.simulation import NODES, Simulation, job_spec

CANCELLED_JOB = "wk-000001"
# After the cancellation: a response timeout of 2 s, two heartbeats, scheduling rounds.
INVALIDATED_WITHIN_S = 6.0


def now() -> float:
    """Virtual time, in seconds."""
    return asyncio.get_running_loop().time()


class DelayedStarts:
    """Delays direct commands that start a task of ``CANCELLED_JOB``; their responses are lost."""

    def __init__(self, simulation: Simulation, delay_s: float) -> None:
        """``delay_s``: the delay of each command."""
        self.sent_at: list[float] = []
        self.others: DeliveryRule = lambda *request: (0.0, False)  # for all other requests
        self._delay_s = delay_s
        simulation.network.delivery_rule = self._delivery

    def _delivery(
        self, source: str, address: str, method: str, target: str, body: Any
    ) -> tuple[float, bool] | None:
        orders = body["orders"] if target == "/do" else []
        if not any(o["verb"] == "launch" and o["leg"].startswith(CANCELLED_JOB) for o in orders):
            return self.others(source, address, method, target, body)
        self.sent_at.append(now())
        return self._delay_s, True

    async def wait_until_sent(self) -> None:
        """Wait until the first command is sent."""
        while not self.sent_at:
            await asyncio.sleep(0.01)

    @property
    def arrived_at(self) -> float:
        """When the last command arrives."""
        return self.sent_at[-1] + self._delay_s


async def cancel_at_a_follower(simulation: Simulation, leader: str) -> None:
    """Cancel the job through a follower and wait for the confirmation."""
    while True:
        for node in NODES:
            if node != leader and await simulation.try_to_cancel(CANCELLED_JOB, node) == "aborted":
                return
        await asyncio.sleep(0.1)


async def keep_machines_in_use(simulation: Simulation, until: float) -> None:
    """Submit further jobs, because the return of an idle machine would invalidate its command."""
    number = 100
    while now() < until:
        number += 1
        await simulation.submit(job_spec(f"wk-{number:06d}", 4, team=("red", "blue")[number % 2]))
        await asyncio.sleep(4.0)


def live_attempt_count(simulation: Simulation) -> int:
    """How many attempts of the cancelled job the leader counts as live."""
    leader = simulation.leader
    if leader is None:
        return 0
    found = simulation.nodes[leader].cluster_state.jobs_by_id.get(CANCELLED_JOB)
    return 0 if found is None else len(found.live_attempts)


@pytest.mark.parametrize("seed", range(20))
def test_start_command_delayed_past_a_cancellation_is_refused_by_its_worker(seed: int) -> None:
    """As in the incident, the leader stays the same and its responses reach the worker."""

    async def scenario(simulation: Simulation) -> None:
        delayed = DelayedStarts(simulation, simulation.random.uniform(45.0, 300.0))
        leader = await simulation.wait_for_leader()
        await simulation.submit(job_spec(CANCELLED_JOB, 2))
        await delayed.wait_until_sent()
        await cancel_at_a_follower(simulation, leader)
        submitting = asyncio.ensure_future(
            keep_machines_in_use(simulation, delayed.arrived_at + 5.0)
        )
        await asyncio.sleep(INVALIDATED_WITHIN_S)
        assert simulation.leader == leader
        assert not live_attempt_count(simulation)  # capacity and the team's quota are free again
        await submitting

    run_scenario(scenario, seed)


# ---- together with other faults ------------------------------------------------------------------


async def machines_receive_nothing(
    simulation: Simulation, delayed: DelayedStarts, leader: str
) -> None:
    """The machines' heartbeats arrive, but no response or command reaches them."""
    simulation.network.not_receiving |= set(simulation.cloud.machines)
    await asyncio.sleep(simulation.random.uniform(5.0, 40.0))
    simulation.network.not_receiving.clear()


async def writes_are_lost(simulation: Simulation, delayed: DelayedStarts, leader: str) -> None:
    """The leader reads and renews its lease, but cannot write, so it cannot raise its token."""

    def lost(source: str, address: str, method: str, target: str, body: Any) -> Any:
        return None if source == leader and target == "/multi" else (0.0, False)

    delayed.others = lost
    await asyncio.sleep(simulation.random.uniform(40.0, 80.0))
    delayed.others = lambda *request: (0.0, False)


async def writes_are_unanswered(
    simulation: Simulation, delayed: DelayedStarts, leader: str
) -> None:
    """Half of all transactions are applied without a response, at once or up to 12 s later."""

    def unanswered(source: str, address: str, method: str, target: str, body: Any) -> Any:
        if target != "/multi" or simulation.random.random() < 0.5:
            return 0.0, False
        return simulation.random.choice((0.0, simulation.random.uniform(0.5, 12.0))), True

    delayed.others = unanswered
    await asyncio.sleep(simulation.random.uniform(10.0, 60.0))
    delayed.others = lambda *request: (0.0, False)


async def refused_then_outage(simulation: Simulation, delayed: DelayedStarts, leader: str) -> None:
    """The state service refuses the leader alone, then is down for longer than ``cancel_s``."""
    simulation.state_service.refused_controllers.add(leader)
    await asyncio.sleep(simulation.random.uniform(0.5, 8.0))
    simulation.state_service.set_outage(True)
    simulation.state_service.refused_controllers.clear()
    await asyncio.sleep(simulation.workers.cancel_s + simulation.random.uniform(5.0, 20.0))
    simulation.state_service.set_outage(False)


async def leader_ends(simulation: Simulation, delayed: DelayedStarts, leader: str) -> None:
    """The leader crashes and restarts after 2 to 20 s."""
    simulation.crash(leader)
    await asyncio.sleep(simulation.random.uniform(2.0, 20.0))
    simulation.boot(leader)


async def leader_is_back_at_once(
    simulation: Simulation, delayed: DelayedStarts, leader: str
) -> None:
    """The leader crashes and restarts within a second."""
    simulation.crash(leader)
    await asyncio.sleep(simulation.random.uniform(0.05, 0.9))
    simulation.boot(leader)


async def leader_is_paused(simulation: Simulation, delayed: DelayedStarts, leader: str) -> None:
    """The leader's process is paused for less or more than its lease."""
    await simulation.pause(leader, simulation.random.choice((1.5, 4.0, 15.0, 45.0)))


async def leader_is_deposed(simulation: Simulation, delayed: DelayedStarts, leader: str) -> None:
    """The leader is partitioned from the state service and its peers, but not from workers."""
    others = {"state", *NODES} - {leader}
    simulation.network.partitions |= {frozenset((leader, other)) for other in others}
    await asyncio.sleep(simulation.random.uniform(4.0, 45.0))
    simulation.network.partitions.clear()


async def leader_resigns(simulation: Simulation, delayed: DelayedStarts, leader: str) -> None:
    """The leader resigns, and may be elected again at once."""
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
def test_late_start_runs_no_cancelled_task_during_another_fault(fault: Any, seed: int) -> None:
    """Delays of 5 ms to 5 minutes; the fault begins around the time when the token is raised."""

    async def scenario(simulation: Simulation) -> None:
        delay_s = math.exp(simulation.random.uniform(math.log(0.005), math.log(300.0)))
        delayed = DelayedStarts(simulation, max(delay_s, simulation.random.choice((0.0, 45.0))))
        leader = await simulation.wait_for_leader()
        await simulation.submit(job_spec(CANCELLED_JOB, 3))
        await delayed.wait_until_sent()
        await asyncio.sleep(simulation.random.uniform(0.0, 2.2))
        await cancel_at_a_follower(simulation, leader)
        submitting = asyncio.ensure_future(
            keep_machines_in_use(simulation, max(now(), delayed.arrived_at) + 5.0)
        )
        await asyncio.sleep(simulation.random.uniform(0.0, 4.0))
        await fault(simulation, delayed, leader)
        await submitting

    run_scenario(scenario, seed)


@pytest.mark.parametrize("delay_s", [38.0, 50.0, 65.0])
def test_late_start_runs_no_cancelled_task_while_the_token_cannot_be_raised(delay_s: float) -> None:
    """Renewals and reads succeed but writes fail.

    The leader must stop answering the machine, so that the worker's lease expires in time.
    """

    async def scenario(simulation: Simulation) -> None:
        delayed = DelayedStarts(simulation, delay_s)
        leader = await simulation.wait_for_leader()
        await simulation.submit(job_spec(CANCELLED_JOB, 2))
        await delayed.wait_until_sent()
        submitting = asyncio.ensure_future(
            keep_machines_in_use(simulation, delayed.arrived_at + 5.0)
        )

        def lost(source: str, address: str, method: str, target: str, body: Any) -> Any:
            return None if source == leader and target == "/multi" else (0.0, False)

        delayed.others = lost
        await cancel_at_a_follower(simulation, leader)
        while now() < delayed.arrived_at:
            await asyncio.sleep(0.5)
            election = simulation.nodes[leader].election
            assert election.role is Role.LEADING
            assert election.fencing_token == election.epoch
        delayed.others = lambda *request: (0.0, False)
        await submitting

    run_scenario(scenario)


def test_raised_token_is_stored_before_use_and_the_next_epoch_is_higher() -> None:
    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000002", 2))
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
            # Older versions read the same form, and take this epoch plus one for their election.
            (lead,) = [
                value
                for key, (value, _, _) in simulation.state_service.keys.items()
                if key == "pt/lead"
            ]
            assert lead.keys() == {"node", "nonce", "epoch", "lease"}
            assert lead["epoch"] == before + 1
        assert node.election.epoch == before - 2  # record keys still contain the election's epoch
        await asyncio.sleep(3.0)
        machines = [machine.worker for machine in simulation.cloud.machines.values()]
        assert {worker.fencing_token for worker in machines if worker.up} == {before + 1}
        simulation.crash(leader)
        successor = simulation.nodes[await simulation.wait_for_leader()].election
        assert successor.epoch > before + 1
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


@pytest.mark.parametrize("late_s", [0.0, 2.0, 7.0])
def test_raised_token_is_adopted_from_a_read_if_its_write_got_no_response(late_s: float) -> None:
    """Peers may read the token before the leader does, which must not depose the leader."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000002", 2))
        leader = await simulation.wait_for_leader()
        election = simulation.nodes[leader].election
        lost = 0

        def delivery(source: str, address: str, method: str, target: str, body: Any) -> Any:
            nonlocal lost
            is_raise = target == "/multi" and any(
                op.get("put") == "pt/epoch" for op in body["apply"]
            )
            if source == leader and is_raise and not lost:
                lost += 1
                return late_s, True
            return 0.0, False

        simulation.network.delivery_rule = delivery
        before = election.fencing_token
        assert await election.raise_fencing_token()
        assert lost
        assert election.fencing_token == before + 1
        await asyncio.sleep(late_s + 3.0)
        assert election.role is Role.LEADING
        assert simulation.leader == leader
        assert election.fencing_token == before + 1
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)


@pytest.mark.parametrize("raised_after_s", [0.0, 0.0005])
def test_start_refused_because_the_token_was_raised_is_sent_again(raised_after_s: float) -> None:
    """The refusal acknowledges the command, so the repetition does not wait for a timeout."""

    async def scenario(simulation: Simulation) -> None:
        leader = await simulation.wait_for_leader()
        node = simulation.nodes[leader]
        simulation.run_s = 30.0
        refused = 0

        def delivery(source: str, address: str, method: str, target: str, body: Any) -> Any:
            nonlocal refused
            has_commands = target == "/do" and body["orders"]
            if has_commands and body["baton"] < node.election.epoch + 1:
                refused += 1
                return 1.5, False  # longer than raising the token and a heartbeat take
            return 0.0, False

        await simulation.submit(job_spec("wk-000002", 4, estimated_run_s=30.0))
        await simulation.wait_until_running(4)
        simulation.network.delivery_rule = delivery
        await simulation.submit(job_spec("wk-000003", 2, estimated_run_s=30.0))
        while not refused:
            await asyncio.sleep(0.01)
        await asyncio.sleep(raised_after_s)
        sent_at = now()
        assert await node.election.raise_fencing_token()
        running = simulation.checker.machines_by_task
        while sum(task_id.startswith("wk-000003") for task_id, on in running.items() if on) < 2:
            await asyncio.sleep(0.1)
            assert now() < sent_at + 2.75  # 1.5 s delay, 1 s to fetch the image
        assert not node.fleet.unacknowledged_starts.count()
        await simulation.wait_until_jobs_final(90.0)

    run_scenario(scenario)


def test_unanswered_commands_raise_the_token_at_most_once_per_interval() -> None:
    """For about a minute no direct command arrives while 30 jobs are submitted and cancelled."""

    async def scenario(simulation: Simulation) -> None:
        delayed = DelayedStarts(simulation, 1000.0)
        leader = await simulation.wait_for_leader()
        node = simulation.nodes[leader]

        def all_lost(source: str, address: str, method: str, target: str, body: Any) -> Any:
            return None if target == "/do" and body["orders"] else (0.0, False)

        await simulation.submit(job_spec("wk-000002", 1))
        await simulation.wait_until_running(1)
        delayed.others = all_lost
        before, since = node.election.fencing_token, now()
        for n in range(200, 230):
            await simulation.submit(
                job_spec(f"wk-{n:06d}", 3, team=("red", "blue", "guest")[n % 3])
            )
            await asyncio.sleep(simulation.random.uniform(0.2, 2.0))
            await simulation.try_to_cancel(f"wk-{n:06d}", leader)
            await asyncio.sleep(simulation.random.uniform(0.2, 2.0))
        raises = node.election.fencing_token - before
        gap_s = node.fleet.token_raise_policy.interval_s
        assert simulation.leader == leader
        assert 2 <= raises <= (now() - since) / gap_s + 1
        delayed.others = lambda *request: (0.0, False)
        await simulation.wait_until_jobs_final(120.0)

    run_scenario(scenario)


def test_leader_does_not_step_down_when_peers_report_its_own_raised_token() -> None:
    """For 2 s the leader gets no response to its write or its watch, while peers read the token."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.submit(job_spec("wk-000002", 2))
        leader = await simulation.wait_for_leader()
        election = simulation.nodes[leader].election
        raised_at = now()

        def delivery(source: str, address: str, method: str, target: str, body: Any) -> Any:
            is_unanswered = source == leader and now() < raised_at + 2.0
            return 0.0, is_unanswered and target.startswith(("/multi", "/watch"))

        simulation.network.delivery_rule = delivery
        before = election.fencing_token
        assert await election.raise_fencing_token()
        assert now() > raised_at + 1.5
        assert election.highest_known_epoch == election.fencing_token == before + 1
        assert election.role is Role.LEADING
        await simulation.wait_until_jobs_final(60.0)

    run_scenario(scenario)
