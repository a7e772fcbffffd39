"""Errors of the state service client: which responses prove that a request was not carried out."""

from __future__ import annotations

import pytest

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.store import (
    LeaseExpiredError,
    StateClient,
    StateResultUnknownError,
    StateServiceError,
    StateUnavailableError,
    TokenBucket,
    TransactionConflictError,
)
from tests.virtual_time import run_in_virtual_time


def client_receiving(outcome: ClientResponse | NoResponseError) -> StateClient:
    async def request(*args: object, **kwargs: object) -> ClientResponse:
        if isinstance(outcome, NoResponseError):
            raise outcome
        return outcome

    return StateClient(request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0))


@pytest.mark.parametrize(
    ("outcome", "error"),
    [
        pytest.param(
            NoResponseError("refused", request_sent=False), StateUnavailableError, id="not sent"
        ),
        pytest.param(
            NoResponseError("timeout", request_sent=True), StateResultUnknownError, id="timeout"
        ),
        pytest.param(ClientResponse(429, b""), StateUnavailableError, id="429"),
        pytest.param(ClientResponse(503, b"{}"), StateUnavailableError, id="503"),
        pytest.param(ClientResponse(500, b""), StateResultUnknownError, id="500"),
        pytest.param(ClientResponse(200, b"{garbled"), StateResultUnknownError, id="200 no JSON"),
        pytest.param(
            ClientResponse(200, b'{"epoch":"x"}'), StateResultUnknownError, id="200 wrong type"
        ),
        pytest.param(
            ClientResponse(409, b'{"failed":["pt/lead"]}'), TransactionConflictError, id="409"
        ),
        pytest.param(ClientResponse(409, b"\xff"), StateResultUnknownError, id="409 no UTF-8"),
        pytest.param(
            ClientResponse(400, b'{"error":"no such lease"}'), LeaseExpiredError, id="400 lease"
        ),
        pytest.param(
            ClientResponse(400, b'{"error":"malformed"}'), StateUnavailableError, id="400 other"
        ),
    ],
)
def test_transaction_error_shows_whether_it_may_have_been_applied(
    outcome: ClientResponse | NoResponseError, error: type[StateServiceError]
) -> None:
    with pytest.raises(error):
        run_in_virtual_time(
            client_receiving(outcome).transact([], [protocol.PutOperation("pt/a", 1)])
        )


def test_lease_calls_distinguish_expiry_outage_and_unknown_result() -> None:
    with pytest.raises(LeaseExpiredError):
        run_in_virtual_time(client_receiving(ClientResponse(404, b"{}")).renew_lease(7, 1.0))
    with pytest.raises(StateUnavailableError):
        run_in_virtual_time(client_receiving(ClientResponse(503, b"{}")).renew_lease(7, 1.0))
    with pytest.raises(StateResultUnknownError):
        run_in_virtual_time(client_receiving(ClientResponse(200, b"[]")).grant_lease(3.0))
