"""PeerMonitor: well-formed and malformed heartbeats, and the responses to them."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.peers import PeerHeartbeat, PeerMonitor
from petrelthread.settings import Sibling
from petrelthread.store import SendRequest
from tests.virtual_time import run_in_virtual_time


async def refuse(*_args: object, **_kwargs: object) -> ClientResponse:
    raise NoResponseError("refused", request_sent=False)


def make_monitor(received: list[PeerHeartbeat], request: SendRequest = refuse) -> PeerMonitor:
    sibling = Sibling("n1", "n1:2", "a")
    return PeerMonitor((sibling,), request, lambda: PeerHeartbeat("n0", 3), received.append)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"null", b'{"epoch":1}', b'{"node":7}', b'{"node":"n1","epoch":"x"}'],
    ids=["empty", "list", "null", "no node", "node no string", "epoch no number"],
)
def test_malformed_heartbeats_get_400_and_are_not_recorded(body: bytes) -> None:
    received: list[PeerHeartbeat] = []
    monitor = make_monitor(received)
    response = run_in_virtual_time(monitor.handle("POST", body))
    assert response.status == 400
    assert b"error" in response.body
    assert not received
    assert not monitor.last_received


def test_a_heartbeat_is_answered_with_this_controllers_epoch_and_expires() -> None:
    received: list[PeerHeartbeat] = []

    async def scenario() -> None:
        monitor = make_monitor(received)
        body = orjson.dumps({"node": "n1", "epoch": 4, "state_ok": True, "later_field": 1})
        response = await monitor.handle("POST", body)
        assert response.status == 200
        assert orjson.loads(response.body)["epoch"] == 3
        assert [heartbeat.epoch for heartbeat in received] == [4]
        assert [heartbeat.node for heartbeat in monitor.recent_heartbeats(3.0)] == ["n1"]
        await asyncio.sleep(4.0)
        assert not monitor.recent_heartbeats(3.0)

    run_in_virtual_time(scenario())


def test_heartbeats_continue_after_failed_and_malformed_responses() -> None:
    outcomes: list[ClientResponse | NoResponseError] = [
        NoResponseError("refused", request_sent=False),
        ClientResponse(200, b"{"),
        ClientResponse(200, b'{"node":1}'),
    ]
    received: list[PeerHeartbeat] = []

    async def request(*_args: object, **_kwargs: object) -> ClientResponse:
        outcome = outcomes.pop(0) if outcomes else ClientResponse(200, b'{"node":"n1","epoch":9}')
        if isinstance(outcome, NoResponseError):
            raise outcome
        return outcome

    async def scenario() -> None:
        task = asyncio.ensure_future(make_monitor(received, request).run())
        await asyncio.sleep(3.5)
        task.cancel()

    run_in_virtual_time(scenario())
    assert [heartbeat.epoch for heartbeat in received] == [9]
