"""What an answer of the state service proves."""

from __future__ import annotations

from typing import Any

import pytest

from petrelthread.http import NoAnswer, Reply
from petrelthread.store import (
    Budget,
    Conflict,
    NoSuchLease,
    StateClient,
    StateDown,
    StateUnsure,
)
from tests.virtual import play


def client(outcome: Reply | NoAnswer) -> StateClient:
    async def request(*args: Any, **kwargs: Any) -> Reply:
        if isinstance(outcome, NoAnswer):
            raise outcome
        return outcome

    return StateClient(request, "state:1", Budget(100.0, 100.0), Budget(100.0, 100.0))


@pytest.mark.parametrize(
    ("outcome", "error"),
    [
        (NoAnswer("refused", sent=False), StateDown),
        (NoAnswer("timeout", sent=True), StateUnsure),
        (Reply(429, b""), StateDown),
        (Reply(503, b"{}"), StateDown),
        (Reply(500, b""), StateUnsure),
        (Reply(200, b"{garbled"), StateUnsure),
        (Reply(200, b'{"epoch":"x"}'), StateUnsure),
        (Reply(409, b'{"failed":["pt/lead"]}'), Conflict),
        (Reply(409, b"\xff"), StateUnsure),
        (Reply(400, b'{"error":"no such lease"}'), NoSuchLease),
        (Reply(400, b'{"error":"malformed"}'), StateDown),
    ],
)
def test_a_refusal_is_told_from_a_lost_or_garbled_answer(outcome: Any, error: Any) -> None:
    with pytest.raises(error):
        play(client(outcome).multi([], [{"put": "pt/a", "v": 1}]))


def test_a_lease_that_has_ended_is_no_outage() -> None:
    with pytest.raises(NoSuchLease):
        play(client(Reply(404, b"{}")).extend(7, 1.0))
    with pytest.raises(StateDown):
        play(client(Reply(503, b"{}")).extend(7, 1.0))
    with pytest.raises(StateUnsure):
        play(client(Reply(200, b"[]")).grant(3.0))
