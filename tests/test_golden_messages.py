"""Every message, encoded and decoded, byte for byte as on file."""

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
from petrelthread.peers import PeerHeartbeat, PeerMonitor
from petrelthread.provisioning import (
    CloudClient,
    CloudResultUnknownError,
    CloudUnavailableError,
    NoCapacityError,
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
    state_client,
)
from tests.simulation import settings_of
from tests.virtual import play

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
def test_worker_heartbeats(case: str) -> None:
    report = protocol.parse_heartbeat(orjson.dumps(given("workers", "reports", case)))
    tasks = [list(leg.job_and_index) for leg in report.tasks]
    facts = {"tasks": tasks, "report": msgspec.to_builtins(report)}
    expect("workers", "reports", case, facts, ordered=False)


@pytest.mark.parametrize("case", cases("workers", "malformed reports"))
def test_malformed_worker_heartbeats(case: str) -> None:
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
def test_peer_heartbeats_received(case: str) -> None:
    async def scenario() -> None:
        method, body = given("peers", "greetings taken in", case)
        own = PeerHeartbeat("n0", 7, True, True, 3, "a", 2.5)
        received: list[PeerHeartbeat] = []
        monitor = PeerMonitor((), Requester().request, lambda: own, received.append, lambda _: 1.5)
        response = response_facts(await monitor.handle(method, orjson.dumps(body)))
        expect("peers", "greetings taken in", case, [as_data(received), response])

    play(scenario())


def test_peer_heartbeats_sent() -> None:
    async def scenario() -> None:
        requester = Requester(given("peers", "greetings sent", "answered"))
        lent: list[Any] = []
        monitor = PeerMonitor(
            settings_of("n0").siblings[:1],
            requester.request,
            lambda: PeerHeartbeat("n0", 7, False, True, 3, "a", 2.5),
            lambda heartbeat: None,
            record_loan=lambda lender, amount, asked_at: lent.append([lender, amount]),
        )
        running = asyncio.ensure_future(monitor.run())
        await asyncio.sleep(0.5)
        running.cancel()
        heard = as_data(monitor.recent(1.0))
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
