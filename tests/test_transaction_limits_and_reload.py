"""4,000 machines: claims stay within the limits of a transaction, and a reload reads all pages."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson

from petrelthread import protocol
from petrelthread.benchmark.populated_leader import PopulatedLeader
from petrelthread.emulator.state_service import StateService
from petrelthread.http import ClientResponse
from petrelthread.state import ClusterState, InternedNames, encode, epoch_base_number
from petrelthread.store import KEY_PREFIX, StateClient, TokenBucket, WatchCache

MACHINE_COUNT = 4000
MAX_BODY_BYTES = 64 * 1024  # of one transaction, by PROTOCOL
ROUND_BUDGET_S = 10.0  # long enough that the number of rounds does not depend on the test machine


def test_starts_beyond_the_limits_of_one_transaction_are_claimed_in_several_rounds() -> None:
    """2,000 free machines and 4,000 waiting tasks: each claim is within every limit."""

    async def main() -> None:
        leader = PopulatedLeader(MACHINE_COUNT)
        node, state = leader.controller, leader.settings.cluster.state
        node.scheduler.round_budget_s = ROUND_BUDGET_S
        job = leader.add_pending_job(MACHINE_COUNT, 0)
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
                <= MAX_BODY_BYTES
            )
            node.scheduler._applier.apply(claim, now)
            rounds += 1
            assert claim.has_postponed is bool(job.pending_count)
        assert 3 <= rounds <= 20
        for machine in node.fleet.machines.values():
            assert node.cluster_state.usage.machine(machine.index).cores <= 4.0

    asyncio.run(main())


def test_a_reload_of_several_pages_restores_all_attempts_and_scale_out_records() -> None:
    async def main() -> None:
        leader = PopulatedLeader(MACHINE_COUNT)
        store = StateService(8, lambda key, value, keys: None)
        pages = 0

        async def request(
            addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
        ) -> ClientResponse:
            nonlocal pages
            pages += target.startswith("/keys?")
            status, response = await store.handle("node", method, target, body)
            return ClientResponse(status, orjson.dumps(response))

        for number in range(MACHINE_COUNT):  # one record per machine: several pages of keys
            scale_out = {"t": "small", "z": "a", "s": True, "n": 1, "at": 1.0}
            store.put(f"{KEY_PREFIX}c/3-{number}", scale_out | {"m": [f"host-{number:06d}"]})
        recorded_attempts = {
            (attempt.job.id, attempt.task, machine)
            for machine, attempts in leader.state.attempts_by_machine.items()
            for attempt in attempts.values()
        }
        for job in leader.state.jobs.values():
            store.put(f"{KEY_PREFIX}j/{job.id}", leader.stored_record(job))
        for n, (job_id, task, machine) in enumerate(sorted(recorded_attempts)):
            name = leader.state.names.machines.name(machine)
            store.put(
                f"{KEY_PREFIX}r/{epoch_base_number(3) + n + 1}", [[name, 1, [[job_id, [task]]]]]
            )
        reloaded = ClusterState(InternedNames(["red"], ["a"]))
        client = StateClient(request, "state:1", TokenBucket(1e6, 1e6), TokenBucket(1e6, 1e6))
        await WatchCache(client, reloaded.on_key, 0.1).load()
        assert pages >= (MACHINE_COUNT + len(recorded_attempts)) // 1000
        assert len(reloaded.scale_out_records) == MACHINE_COUNT
        reloaded_attempts = {
            (a.job.id, a.task, reloaded.names.machines.name(machine))
            for machine, attempts in reloaded.attempts_by_machine.items()
            for a in attempts.values()
        }
        machine_name = leader.state.names.machines.name
        assert reloaded_attempts == {
            (job_id, task, machine_name(machine)) for job_id, task, machine in recorded_attempts
        }

    asyncio.run(main())
