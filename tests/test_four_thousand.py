"""4,000 machines through the real path: claims within one transaction, a reload page by page."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson

from petrelthread import protocol
from petrelthread.benchmark.populated import PopulatedLeader
from petrelthread.emulator.state_service import StateService
from petrelthread.http import ClientResponse
from petrelthread.state import ClusterState, InternedNames, encode, epoch_base_number
from petrelthread.store import KEY_PREFIX, StateClient, TokenBucket, WatchCache

MACHINES = 4000
BODY_MOST = 64 * 1024  # PROTOCOL: of one transaction
ROUND_BUDGET_S = 10.0  # so that the number of rounds does not depend on this machine


def test_more_starts_than_one_transaction_takes_go_out_in_several() -> None:
    """2,000 free machines and 4,000 waiting tasks: each claim is within every limit."""

    async def main() -> None:
        leader = PopulatedLeader(MACHINES)
        node, state = leader.controller, leader.settings.cluster.state
        node.scheduler.round_budget_s = ROUND_BUDGET_S
        job = leader.accept(MACHINES, 0)
        now = asyncio.get_running_loop().time()
        rounds = 0
        while job.pending_count:
            decision = node.scheduler.decide(now)
            claim = node.scheduler.claim_builder.build(decision.starts, decision.preemptions, now)
            assert claim.records
            assert len(claim.operations) <= state.txn_ops
            for operation in claim.operations:
                value = getattr(operation, "value", None)
                assert len(orjson.dumps(encode(value))) <= state.value_kb * 1024
            conditions = [protocol.Condition(key, 0) for key in claim.absent_keys]
            assert len(conditions) + 3 <= 4 * state.txn_ops
            assert (
                len(orjson.dumps(protocol.transaction_request(conditions, claim.operations)))
                <= BODY_MOST
            )
            node.scheduler._applier.apply(claim, now)
            rounds += 1
            assert claim.has_more is bool(job.pending_count)
        assert 3 <= rounds <= 20
        for machine in node.fleet.machines.values():
            assert node.cluster_state.usage.machine(machine.index).cores <= 4.0

    asyncio.run(main())


def test_a_reload_reads_all_pages_and_knows_what_the_leader_knew() -> None:
    async def main() -> None:
        leader = PopulatedLeader(MACHINES)
        store = StateService(8, lambda key, value, keys: None)
        pages = 0

        async def request(
            addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
        ) -> ClientResponse:
            nonlocal pages
            pages += target.startswith("/keys?")
            status, answer = await store.handle("node", method, target, body)
            return ClientResponse(status, orjson.dumps(answer))

        for number in range(MACHINES):  # a rental record a machine: several pages of keys
            rented = {"t": "small", "z": "a", "s": True, "n": 1, "at": 1.0}
            store.put(f"{KEY_PREFIX}c/3-{number}", rented | {"m": [f"host-{number:06d}"]})
        running = {
            (attempt.job.id, attempt.task, machine)
            for machine, there in leader.state.attempts_by_machine.items()
            for attempt in there.values()
        }
        for job in leader.state.jobs:
            store.put(f"{KEY_PREFIX}j/{job.id}", leader.stored(job))
        for n, (job_id, task, machine) in enumerate(sorted(running)):
            name = leader.state.names.machines.name(machine)
            store.put(
                f"{KEY_PREFIX}r/{epoch_base_number(3) + n + 1}", [[name, 1, [[job_id, [task]]]]]
            )
        known = ClusterState(InternedNames(["red"], ["a"]))
        client = StateClient(request, "state:1", TokenBucket(1e6, 1e6), TokenBucket(1e6, 1e6))
        await WatchCache(client, known.on_key, 0.1).load()
        assert pages >= (MACHINES + len(running)) // 1000
        assert len(known.scale_out_records) == MACHINES
        found = {
            (a.job.id, a.task, known.names.machines.name(machine))
            for machine, there in known.attempts_by_machine.items()
            for a in there.values()
        }
        named = leader.state.names.machines.name
        assert found == {(job_id, task, named(machine)) for job_id, task, machine in running}

    asyncio.run(main())
