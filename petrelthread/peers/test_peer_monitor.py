"""What siblings may say."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.peers import PeerHeartbeat, PeerMonitor
from petrelthread.settings import Sibling
from tests.virtual import play


async def nobody(*args: Any, **kwargs: Any) -> ClientResponse:
    raise NoResponseError("refused", request_sent=False)


def heartbeats(heard: list[PeerHeartbeat], request: Any = nobody) -> PeerMonitor:
    sibling = Sibling("n1", "n1:2", "a")
    return PeerMonitor((sibling,), request, lambda: PeerHeartbeat("n0", 3), heard.append)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"null", b'{"epoch":1}', b'{"node":7}', b'{"node":"n1","epoch":"x"}']
)
def test_malformed_hellos_are_400_and_change_nothing(body: bytes) -> None:
    heard: list[PeerHeartbeat] = []
    node = heartbeats(heard)
    response = play(node.handle("POST", body))
    assert response.status == 400
    assert b"error" in response.body
    assert not heard and not node.last_received


def test_a_hello_is_answered_with_ours_and_ages() -> None:
    heard: list[PeerHeartbeat] = []

    async def scenario() -> None:
        node = heartbeats(heard)
        body = orjson.dumps({"node": "n1", "epoch": 4, "state_ok": True, "later_field": 1})
        response = await node.handle("POST", body)
        assert response.status == 200
        assert orjson.loads(response.body)["epoch"] == 3
        assert [heartbeat.epoch for heartbeat in heard] == [4]
        assert [heartbeat.node for heartbeat in node.recent(3.0)] == ["n1"]
        await asyncio.sleep(4.0)
        assert not node.recent(3.0)

    play(scenario())


def test_garbled_answers_and_refusals_do_not_end_the_greeting() -> None:
    replies: list[Any] = [
        NoResponseError("refused", False),
        ClientResponse(200, b"{"),
        ClientResponse(200, b'{"node":1}'),
    ]
    heard: list[PeerHeartbeat] = []

    async def request(*args: Any, **kwargs: Any) -> ClientResponse:
        reply = replies.pop(0) if replies else ClientResponse(200, b'{"node":"n1","epoch":9}')
        if isinstance(reply, NoResponseError):
            raise reply
        return reply

    async def scenario() -> None:
        task = asyncio.ensure_future(heartbeats(heard, request).run())
        await asyncio.sleep(3.5)
        task.cancel()

    play(scenario())
    assert [heartbeat.epoch for heartbeat in heard] == [9]
