"""Elections, and what each role allows."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.leadership import Role
from petrelthread.state import IllegalTransitionError
from tests.simulation import NODES, Simulation
from tests.virtual import play


def test_what_each_role_may_do_while_the_state_service_is_lost() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        name = await simulation.wait_for_leader()
        election = simulation.nodes[name].election
        assert election.is_leader
        assert election.may_answer_workers
        assert election.fence() is not None
        simulation.net.partitions |= {
            frozenset((name, other)) for other in ("state", *NODES) if other != name
        }
        lost_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5.0)
        assert election.role is Role.LEASE_GRACE
        assert not election.is_leader  # no commands
        assert election.fence() is None  # no claims
        assert election.may_answer_workers  # keeps the workers' leases from expiring
        while election.may_answer_workers:
            await asyncio.sleep(0.1)
        held_s = asyncio.get_running_loop().time() - lost_at
        limit_s = simulation.nodes[name].settings.lease_grace_s
        assert limit_s - 2.0 < held_s <= limit_s + 0.2

    play(scenario())


def test_a_newer_epoch_from_anyone_ends_the_leadership() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        name = await simulation.wait_for_leader()
        election = simulation.nodes[name].election
        election.observe_epoch(election.epoch)
        assert election.is_leader
        election.observe_epoch(election.epoch + 1)
        assert election.role is Role.FOLLOWER
        assert not election.may_answer_workers

    play(scenario())


def test_two_candidates_never_hold_the_same_epoch() -> None:
    async def scenario(seed: int) -> None:
        simulation = Simulation(seed)
        for _ in range(4):
            name = await simulation.wait_for_leader()
            simulation.crash(name)
            await asyncio.sleep(simulation.random.uniform(0.0, 0.5))
            simulation.boot(name)
            await asyncio.sleep(simulation.random.uniform(0.0, 5.0))
        held: dict[int, set[str]] = {}
        for key, value in simulation.state_service.puts:
            if key == "pt/lead":
                held.setdefault(value["epoch"], set()).add(value["nonce"])
        assert len(held) >= 4
        assert all(len(nonces) == 1 for nonces in held.values())

    for seed in range(5):
        play(scenario(seed))


def test_a_leader_deposed_by_a_reload_can_be_elected_again() -> None:
    """A reload reports the epoch key before the leader key.

    The epoch's revision has to be kept all the same: campaigns compare it.
    """

    async def scenario() -> None:
        simulation = Simulation()
        name = await simulation.wait_for_leader()
        node = simulation.nodes[name]
        epoch = node.election.epoch
        for other in NODES:
            if other != name:
                simulation.crash(other)
        simulation.net.delivery_rule = lambda source, address, method, target, body: (
            0.0,
            target.startswith("/watch"),
        )
        successor = {"node": "n9", "nonce": "n9-1", "epoch": epoch + 1, "lease": 999}
        simulation.state_service.put("pt/epoch", epoch + 1)
        simulation.state_service.put("pt/lead", successor)
        await node.watch_cache.load()
        assert node.election.role is Role.FOLLOWER
        simulation.net.delivery_rule = None
        simulation.state_service.drop("pt/lead")
        async with asyncio.timeout(20.0):
            assert await simulation.wait_for_leader() == name
        assert node.election.epoch > epoch + 1

    play(scenario())


def test_a_role_change_that_is_not_defined_is_an_error() -> None:
    async def scenario() -> None:
        election = Simulation().nodes[NODES[0]].election
        assert election.role is Role.FOLLOWER
        with pytest.raises(IllegalTransitionError):
            election._transition(Role.LEADING, "not elected")
        assert election.role is Role.FOLLOWER

    play(scenario())
