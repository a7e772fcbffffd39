"""Every message and stored value, encoded and decoded, byte for byte as on file."""

from __future__ import annotations

import asyncio
import http.client
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import orjson
import pytest

from petrelthread import protocol
from petrelthread.cli import main
from petrelthread.controller import Controller
from petrelthread.leadership import Election, Role
from petrelthread.peers import PeerHeartbeat, PeerMonitor
from petrelthread.provisioning import (
    CloudClient,
    CloudResultUnknownError,
    CloudUnavailableError,
    NoCapacityError,
)
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
from petrelthread.store import (
    LeaseExpiredError,
    StateClient,
    StateRateLimitedError,
    StateRejectedError,
    StateResultUnknownError,
    StateUnavailableError,
    TokenBucket,
    TransactionConflictError,
    WatchCache,
)
from tests.golden_data import (
    FIXTURES,
    Requester,
    cases,
    expect,
    given,
    response_facts,
)
from tests.simulation import settings_of
from tests.virtual import play

NOW = 1_700_000_000.123456


def state_client(requester: Requester) -> StateClient:
    return StateClient(requester.request, "state:1", TokenBucket(1e6, 1e6), TokenBucket(1e6, 1e6))


# ---- stored keys -------------------------------------------------------------------------------


@pytest.mark.parametrize("case", cases("stored_keys", "submissions"))
def test_description_as_stored(case: str) -> None:
    spec = protocol.parse_job(orjson.dumps(given("stored_keys", "submissions", case)))
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


@pytest.mark.parametrize("case", cases("stored_keys", "keys read"))
def test_stored_keys_are_read(case: str) -> None:
    cluster_state = ClusterState(InternedNames(["red"], ["a", "b"]))
    for stamp, (key, value) in enumerate(given("stored_keys", "keys read", case), 1):
        cluster_state.on_key(key, value, stamp)
    jobs = {
        job.id: [job.status, job.done_count, job.pending_count]
        + [
            attempt_facts(cluster_state, attempt)
            for _, attempt in sorted(job.live_attempts.items())
        ]
        for job in cluster_state.jobs
    }
    machines = sorted(cluster_state.recorded_machines())
    expect(
        "stored_keys", "keys read", case, [jobs, machines, cluster_state.machines_by_failing_job]
    )


@pytest.mark.parametrize("case", cases("stored_keys", "rounds"))
def test_rounds_as_stored(case: str) -> None:
    placements, limit = given("stored_keys", "rounds", case)
    expect(
        "stored_keys",
        "rounds",
        case,
        encode(pack_round_records([Placement(*entry) for entry in placements], limit)),
    )


@pytest.mark.parametrize("case", cases("stored_keys", "finished tasks"))
def test_finished_tasks_as_stored(case: str) -> None:
    done, limit = given("stored_keys", "finished tasks", case)
    expect("stored_keys", "finished tasks", case, encode(pack_finished_tasks(done, limit)))


def test_lead_and_epoch_as_stored() -> None:
    async def scenario() -> None:
        replies = given("stored_keys", "election", "won, then the token raised")
        requester = Requester(*replies)
        client = state_client(requester)
        shown: list[int] = []

        class Listener:
            def on_role_changed(self, role: Role) -> None: ...

            async def on_elected(self) -> None: ...

            def on_fencing_token_raised(self, token: int) -> None:
                shown.append(token)

        cache = WatchCache(client, lambda key, value, stamp: None, 0.15)
        randomness = random.Random(1)
        election = Election("n1", client, cache, 10.0, randomness, Listener())
        election.on_key("epoch", 6, 17)
        await election._campaign()
        await election._token_raiser.write(8)
        asked = requester.asked
        expect("stored_keys", "election", "won, then the token raised", [asked, shown])
        lead = given("stored_keys", "election", "another's lead read")
        election.on_key("lead", lead, 99)
        facts = [election.leader_name, election.highest_known_epoch, election.may_answer_workers]
        expect("stored_keys", "election", "another's lead read", facts)

    play(scenario())


# ---- users and workers -------------------------------------------------------------------------


@pytest.mark.parametrize("case", cases("users", "answers about a job"))
def test_answers_about_a_job(case: str) -> None:
    produced = protocol.job_response(*given("users", "answers about a job", case))
    expect("users", "answers about a job", case, produced)


@pytest.mark.parametrize("case", cases("users", "malformed submissions"))
def test_malformed_submissions(case: str) -> None:
    with pytest.raises(protocol.BadRequestError) as refused:
        protocol.parse_job(given("users", "malformed submissions", case).encode())
    expect("users", "malformed submissions", case, str(refused.value))


@pytest.mark.parametrize("case", cases("workers", "reports"))
def test_reports(case: str) -> None:
    report = protocol.parse_heartbeat(orjson.dumps(given("workers", "reports", case)))
    tasks = [list(leg.job_and_index) for leg in report.tasks]
    facts = {"tasks": tasks, "report": msgspec.to_builtins(report)}
    expect("workers", "reports", case, facts, ordered=False)


@pytest.mark.parametrize("case", cases("workers", "malformed reports"))
def test_malformed_reports(case: str) -> None:
    with pytest.raises(protocol.BadRequestError) as refused:
        protocol.parse_heartbeat(given("workers", "malformed reports", case).encode())
    expect("workers", "malformed reports", case, str(refused.value))


def test_commands() -> None:
    orders: list[protocol.Command] = [
        protocol.StartCommand(protocol.task_id("wk-000412", 4), 4194307),
        protocol.StopCommand(protocol.task_id("wk-000377", 1), 4194305, 10.0),
        protocol.StopCommand(protocol.task_id("wk-000377", 2), 4194305, 0),
        protocol.ForgetCommand(protocol.task_id("wk-000398", 0), 4194306),
    ]
    expect("workers", "commands", "answer to a report", protocol.heartbeat_response(4, orders))
    expect("workers", "commands", "answer without commands", protocol.heartbeat_response(4, []))
    expect("workers", "commands", "direct", protocol.command_request(4, 2, orders))
    expect("workers", "commands", "sent to another node", protocol.redirect_response("n2"))
    expect("workers", "commands", "sent away", protocol.redirect_response(None))


@pytest.mark.parametrize("case", cases("users", "requests before the state is read"))
def test_requests_before_the_state_is_read(case: str) -> None:
    async def scenario() -> None:
        requester = Requester([503, {}])
        controller = Controller(settings_of("n0"), requester.request, random.Random(1))
        method, target, body = given("users", "requests before the state is read", case)
        data = b"" if body is None else orjson.dumps(body)
        response = await controller.handle(method, target, data)
        expect("users", "requests before the state is read", case, response_facts(response))

    play(scenario())


# ---- cloud and state service -------------------------------------------------------------------


def as_data(value: Any) -> Any:
    return orjson.loads(orjson.dumps(msgspec.to_builtins(value)))


async def outcome(call: Awaitable[Any], failures: dict[str, type[Exception]]) -> Any:
    try:
        return as_data(await call)
    except tuple(failures.values()) as error:
        [says] = [says for says, kind in failures.items() if kind is type(error)]
        return (
            [says, list(error.failed_keys)] if isinstance(error, TransactionConflictError) else says
        )


CLOUD_FAILURES: dict[str, type[Exception]] = {
    "not carried out": CloudUnavailableError,
    "unsure": CloudResultUnknownError,
    "no capacity": NoCapacityError,
}
CLOUD_CALLS: dict[str, Callable[[CloudClient], Awaitable[Any]]] = {
    "catalogue": lambda client: client.catalog(),
    "rent spot": lambda client: client.scale_out("4-17", "g8", "a", True, 12),
    "rent ordinary": lambda client: client.scale_out("4-18", "m2", "b", False, 1),
    "return": lambda client: client.scale_in(["host-000231", "host-000232"]),
    "list": lambda client: client.list_machines(),
}


@pytest.mark.parametrize("case", cases("cloud", "calls"))
def test_calls_to_the_cloud(case: str) -> None:
    async def scenario() -> None:
        name, replies = given("cloud", "calls", case)
        requester = Requester(*replies)
        client = CloudClient(requester.request, "cloud:1", TokenBucket(1e6, 1e6))
        result = await outcome(CLOUD_CALLS[name](client), CLOUD_FAILURES)
        expect("cloud", "calls", case, [requester.asked, result])

    play(scenario())


STATE_FAILURES: dict[str, type[Exception]] = {
    "too often": StateRateLimitedError,
    "refused for ever": StateRejectedError,
    "not carried out": StateUnavailableError,
    "unsure": StateResultUnknownError,
    "lease over": LeaseExpiredError,
    "conditions failed": TransactionConflictError,
}
CONDITIONS = [protocol.Condition("pt/lead", 412), protocol.Condition("pt/j/wk-000001", 0)]
CHANGES: list[protocol.Operation] = [
    protocol.PutOperation("pt/j/wk-000001", ["red", 1.0, None]),
    protocol.PutOperation("pt/lead", {"node": "n1"}, 7),
    protocol.DeleteOperation("pt/c/4-1"),
]
STATE_CALLS: dict[str, Callable[[StateClient], Awaitable[Any]]] = {
    "first page": lambda client: client.list_keys("pt/", None),
    "next page": lambda client: client.list_keys("pt/", "pt/j/wk-000412"),
    "watch": lambda client: client.watch("pt/", 431, 10.0),
    "watch without waiting": lambda client: client.watch("pt/", 431, 0.0, True),
    "transaction": lambda client: client.transact(CONDITIONS, CHANGES),
    "comparison alone": lambda client: client.transact(CONDITIONS, []),
    "grant": lambda client: client.grant_lease(3.0),
    "extend": lambda client: client.renew_lease(7, 0.9),
    "revoke": lambda client: client.revoke_lease(7),
}


@pytest.mark.parametrize("case", cases("state_service", "calls"))
def test_calls_to_the_state_service(case: str) -> None:
    async def scenario() -> None:
        name, reply = given("state_service", "calls", case)
        requester = Requester(reply)
        result = await outcome(STATE_CALLS[name](state_client(requester)), STATE_FAILURES)
        expect("state_service", "calls", case, [requester.asked, result])

    play(scenario())


def test_keys_and_changes_as_read() -> None:
    async def scenario() -> None:
        replies = given("state_service", "reading", "two pages, then a watch")
        requester, told = Requester(*replies), []
        cache = WatchCache(state_client(requester), lambda *key: told.append(list(key)), 0.15)
        await cache.load()
        assert await cache.refresh()
        asked = requester.asked
        expect("state_service", "reading", "two pages, then a watch", [asked, told])

    play(scenario())


# ---- between controllers -----------------------------------------------------------------------


@pytest.mark.parametrize("case", cases("peers", "greetings taken in"))
def test_greetings_taken_in(case: str) -> None:
    async def scenario() -> None:
        method, body = given("peers", "greetings taken in", case)
        mine = PeerHeartbeat("n0", 7, True, True, 3, "a", 2.5)
        taken: list[PeerHeartbeat] = []
        greetings = PeerMonitor((), Requester().request, lambda: mine, taken.append, lambda _: 1.5)
        response = response_facts(await greetings.handle(method, orjson.dumps(body)))
        expect("peers", "greetings taken in", case, [as_data(taken), response])

    play(scenario())


def test_greetings_sent() -> None:
    async def scenario() -> None:
        requester = Requester(given("peers", "greetings sent", "answered"))
        lent: list[Any] = []
        greetings = PeerMonitor(
            settings_of("n0").siblings[:1],
            requester.request,
            lambda: PeerHeartbeat("n0", 7, False, True, 3, "a", 2.5),
            lambda heartbeat: None,
            record_loan=lambda lender, amount, asked_at: lent.append([lender, amount]),
        )
        running = asyncio.ensure_future(greetings.run())
        await asyncio.sleep(0.5)
        running.cancel()
        heard = as_data(greetings.recent(1.0))
        expect("peers", "greetings sent", "answered", [requester.asked, heard, lent])

    play(scenario())


# ---- command line ------------------------------------------------------------------------------


@pytest.mark.parametrize("case", cases("admin", "command line"))
def test_command_line(
    case: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    arguments, replies = given("admin", "command line", case)
    asked: list[Any] = []

    class Connection:
        def __init__(self, host: str, port: int, timeout: float) -> None:
            asked.append([host, port])

        def request(self, method: str, path: str, body: bytes | None, headers: Any) -> None:
            asked.append([method, path, body.decode() if body else None, headers])

        def getresponse(self) -> Connection:
            self.status, self.answer = replies[len(asked) // 2 - 1]
            return self

        def read(self) -> bytes:
            return orjson.dumps(self.answer)

    monkeypatch.setattr(http.client, "HTTPConnection", Connection)
    code = main([*arguments, "--address", "10.0.0.1:8081"])
    printed = capsys.readouterr().out
    if code == 0:
        assert printed == json.dumps(replies[-1][1], indent=2) + "\n"
    expect("admin", "command line", case, [asked, code, printed.splitlines()])


def test_every_fixture_file_is_compared() -> None:
    partners = ["admin", "cloud", "peers", "state_service", "stored_keys", "users", "workers"]
    assert sorted(FIXTURES) == partners
