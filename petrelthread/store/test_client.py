"""What an answer of the state service proves."""

from __future__ import annotations

from typing import Any

import pytest

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.store import (
    LeaseExpiredError,
    StateClient,
    StateResultUnknownError,
    StateUnavailableError,
    TokenBucket,
    TransactionConflictError,
)
from tests.virtual import play


def client(outcome: ClientResponse | NoResponseError) -> StateClient:
    async def request(*args: Any, **kwargs: Any) -> ClientResponse:
        if isinstance(outcome, NoResponseError):
            raise outcome
        return outcome

    return StateClient(request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0))


@pytest.mark.parametrize(
    ("outcome", "error"),
    [
        (NoResponseError("refused", sent=False), StateUnavailableError),
        (NoResponseError("timeout", sent=True), StateResultUnknownError),
        (ClientResponse(429, b""), StateUnavailableError),
        (ClientResponse(503, b"{}"), StateUnavailableError),
        (ClientResponse(500, b""), StateResultUnknownError),
        (ClientResponse(200, b"{garbled"), StateResultUnknownError),
        (ClientResponse(200, b'{"epoch":"x"}'), StateResultUnknownError),
        (ClientResponse(409, b'{"failed":["pt/lead"]}'), TransactionConflictError),
        (ClientResponse(409, b"\xff"), StateResultUnknownError),
        (ClientResponse(400, b'{"error":"no such lease"}'), LeaseExpiredError),
        (ClientResponse(400, b'{"error":"malformed"}'), StateUnavailableError),
    ],
)
def test_a_refusal_is_told_from_a_lost_or_garbled_answer(outcome: Any, error: Any) -> None:
    with pytest.raises(error):
        play(client(outcome).transact([], [protocol.PutOperation("pt/a", 1)]))


def test_a_lease_that_has_ended_is_no_outage() -> None:
    with pytest.raises(LeaseExpiredError):
        play(client(ClientResponse(404, b"{}")).renew_lease(7, 1.0))
    with pytest.raises(StateUnavailableError):
        play(client(ClientResponse(503, b"{}")).renew_lease(7, 1.0))
    with pytest.raises(StateResultUnknownError):
        play(client(ClientResponse(200, b"[]")).grant_lease(3.0))
