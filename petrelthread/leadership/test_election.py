"""Election: epochs, role transitions, and what a role allows during a partition."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.leadership import Role
from petrelthread.state import IllegalTransitionError
from tests.simulation import NODES, Simulation
from tests.virtual_time import run_in_virtual_time


def test_a_partitioned_leader_only_answers_workers_until_the_grace_period_ends() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        name = await simulation.wait_for_leader()
        election = simulation.nodes[name].election
        assert election.is_leader
        assert election.may_answer_workers
        assert election.fence() is not None
        simulation.network.partitions |= {
            frozenset((name, other)) for other in ("state", *NODES) if other != name
        }
        partitioned_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5.0)
        assert election.role is Role.LEASE_GRACE
        assert not election.is_leader  # no commands
        assert election.fence() is None  # no claims
        assert election.may_answer_workers  # renews the workers' leases
        while election.may_answer_workers:
            await asyncio.sleep(0.1)
        answered_s = asyncio.get_running_loop().time() - partitioned_at
        grace_s = simulation.nodes[name].settings.lease_grace_s
        assert grace_s - 2.0 < answered_s <= grace_s + 0.2

    run_in_virtual_time(scenario())


def test_observing_a_newer_epoch_ends_the_leadership() -> None:
    async def scenario() -> None:
        simulation = Simulation()
        name = await simulation.wait_for_leader()
        election = simulation.nodes[name].election
        election.observe_epoch(election.epoch)
        assert election.is_leader
        election.observe_epoch(election.epoch + 1)
        assert election.role is Role.FOLLOWER
        assert not election.may_answer_workers

    run_in_virtual_time(scenario())


def test_each_epoch_belongs_to_one_election_only() -> None:
    async def scenario(seed: int) -> None:
        simulation = Simulation(seed)
        for _ in range(4):
            name = await simulation.wait_for_leader()
            simulation.crash(name)
            await asyncio.sleep(simulation.random.uniform(0.0, 0.5))
            simulation.boot(name)
            await asyncio.sleep(simulation.random.uniform(0.0, 5.0))
        nonces_by_epoch: dict[int, set[str]] = {}
        for key, value in simulation.state_service.puts:
            if key == "pt/lead":
                nonces_by_epoch.setdefault(value["epoch"], set()).add(value["nonce"])
        assert len(nonces_by_epoch) >= 4
        assert all(len(nonces) == 1 for nonces in nonces_by_epoch.values())

    for seed in range(5):
        run_in_virtual_time(scenario(seed))


def test_a_leader_deposed_during_a_reload_can_be_elected_again() -> None:
    """A reload applies the epoch key before the leader key, while the leader still has its role.

    The revision of the epoch key must be kept nevertheless, because campaigns compare it.
    """

    async def scenario() -> None:
        simulation = Simulation()
        name = await simulation.wait_for_leader()
        node = simulation.nodes[name]
        epoch = node.election.epoch
        for other in NODES:
            if other != name:
                simulation.crash(other)
        simulation.network.delivery_rule = lambda source, address, method, target, body: (
            0.0,
            target.startswith("/watch"),
        )
        successor = {"node": "n9", "nonce": "n9-1", "epoch": epoch + 1, "lease": 999}
        simulation.state_service.put("pt/epoch", epoch + 1)
        simulation.state_service.put("pt/lead", successor)
        await node.watch_cache.load()
        assert node.election.role is Role.FOLLOWER
        simulation.network.delivery_rule = None
        simulation.state_service.drop("pt/lead")
        async with asyncio.timeout(20.0):
            assert await simulation.wait_for_leader() == name
        assert node.election.epoch > epoch + 1

    run_in_virtual_time(scenario())


def test_an_undefined_role_transition_raises_an_error() -> None:
    async def scenario() -> None:
        election = Simulation().nodes[NODES[0]].election
        assert election.role is Role.FOLLOWER
        with pytest.raises(IllegalTransitionError):
            election._transition(Role.LEADING, "not elected")
        assert election.role is Role.FOLLOWER

    run_in_virtual_time(scenario())
