"""Every stored key is encoded and decoded byte for byte as in the golden files."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest

from petrelthread import protocol
from petrelthread.leadership import Election, Role
from petrelthread.state import (
    Attempt,
    ClusterState,
    InternedNames,
    Job,
    JobRecord,
    Placement,
    decode_job,
    encode,
    epoch_of,
    pack_finished_tasks,
    pack_round_records,
)
from petrelthread.store import WatchCache
from tests.golden_data import ScriptedRequester, case_input, case_names, expect, state_client
from tests.virtual_time import run_in_virtual_time

NOW = 1_700_000_000.123456


@pytest.mark.parametrize("case", case_names("stored_keys", "submissions"))
def test_job_records_are_stored_and_read(case: str) -> None:
    spec = protocol.parse_job(orjson.dumps(case_input("stored_keys", "submissions", case)))
    record = JobRecord.from_spec(spec, NOW)
    stored = encode(record)
    expect("stored_keys", "submissions", case, stored)
    assert decode_job(stored) == record
    names = InternedNames()
    job = Job(0, spec.job_id, decode_job(stored), names)
    types = (
        None
        if job.machine_types is None
        else sorted(names.machine_types.name(at) for at in job.machine_types)
    )
    zone = None if job.zone is None else names.zones.name(job.zone)
    strings = [names.teams.name(job.team), names.job_classes.name(job.job_class), types, zone]
    flags = [job.single_zone, job.spread_zones, job.spot_allowed, job.is_gang, job.is_service]
    amounts = [
        job.cores,
        job.accelerators,
        job.ram_gb,
        job.image_size_gb,
        job.accepted_at,
        job.deadline_s,
    ]
    times = [job.estimated_run_s, job.checkpoint_interval_s, job.grace_period_s]
    facts = [
        *strings,
        job.priority,
        job.task_count,
        names.images.name(job.image),
        *flags,
        *amounts,
        *times,
    ]
    expect("stored_keys", "descriptions read", case, facts)


def attempt_facts(cluster_state: ClusterState, attempt: Attempt) -> list[Any]:
    machine = cluster_state.names.machines.name(attempt.machine)
    epoch = epoch_of(attempt.number)
    return [
        attempt.task,
        attempt.number,
        epoch,
        machine,
        attempt.incarnation,
        attempt.stop_requested_at > 0,
    ]


@pytest.mark.parametrize("case", case_names("stored_keys", "keys read"))
def test_stored_keys_are_read_into_the_cluster_state(case: str) -> None:
    cluster_state = ClusterState(InternedNames(["red"], ["a", "b"]))
    for revision, (key, value) in enumerate(case_input("stored_keys", "keys read", case), 1):
        cluster_state.on_key(key, value, revision)
    jobs = {
        job.id: [job.status, job.finished_count, job.pending_count]
        + [
            attempt_facts(cluster_state, attempt)
            for _, attempt in sorted(job.live_attempts.items())
        ]
        for job in cluster_state.jobs.values()
    }
    machines = sorted(cluster_state.recorded_machines())
    expect(
        "stored_keys", "keys read", case, [jobs, machines, cluster_state.machines_by_suspect_job]
    )


@pytest.mark.parametrize("case", case_names("stored_keys", "rounds"))
def test_round_records_are_stored(case: str) -> None:
    placements, limit = case_input("stored_keys", "rounds", case)
    expect(
        "stored_keys",
        "rounds",
        case,
        encode(pack_round_records([Placement(*entry) for entry in placements], limit)),
    )


@pytest.mark.parametrize("case", case_names("stored_keys", "finished tasks"))
def test_finished_task_records_are_stored(case: str) -> None:
    finished, limit = case_input("stored_keys", "finished tasks", case)
    expect("stored_keys", "finished tasks", case, encode(pack_finished_tasks(finished, limit)))


def test_leader_and_epoch_keys_are_stored_and_read() -> None:
    async def scenario() -> None:
        responses = case_input("stored_keys", "election", "won, then the token raised")
        requester = ScriptedRequester(*responses)
        client = state_client(requester)
        raised_tokens: list[int] = []

        class Listener:
            def on_role_changed(self, role: Role) -> None: ...

            async def on_elected(self) -> None: ...

            def on_fencing_token_raised(self, token: int) -> None:
                raised_tokens.append(token)

        cache = WatchCache(client, lambda key, value, revision: None, 0.15)
        rng = random.Random(1)
        election = Election("n1", client, cache, 10.0, rng, Listener())
        election.on_key("epoch", 6, 17)
        await election._campaign()
        await election._token_raiser.write(8)
        requests = requester.requests
        expect("stored_keys", "election", "won, then the token raised", [requests, raised_tokens])
        leader = case_input("stored_keys", "election", "another's lead read")
        election.on_key("lead", leader, 99)
        facts = [election.leader_name, election.highest_known_epoch, election.may_answer_workers]
        expect("stored_keys", "election", "another's lead read", facts)

    run_in_virtual_time(scenario())
