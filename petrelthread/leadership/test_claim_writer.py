"""Claims that are rejected or get no response, or whose epoch ends before they are written."""

from __future__ import annotations

import asyncio
from typing import Any

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.leadership import ClaimOutcome, ClaimWriter, Fence
from petrelthread.store import SendRequest, StateClient, TokenBucket
from tests.virtual_time import run_in_virtual_time

COMMITTED = ClientResponse(200, b'{"epoch":7}')
VALUE_TOO_LARGE = ClientResponse(400, b'{"error":"value too large"}')


def state_client(request: SendRequest) -> StateClient:
    return StateClient(request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0))


def test_a_rejected_claim_is_not_retried_and_does_not_block_the_next() -> None:
    """Every retry of a claim that exceeds a size limit is rejected, and claims are sequential."""
    requested_keys: list[str] = []

    async def request(
        addr: str, method: str, target: str, body: dict[str, Any], timeout: float
    ) -> ClientResponse:
        requested_keys.append(body["apply"][0]["put"])
        return VALUE_TOO_LARGE if len(requested_keys) == 1 else COMMITTED

    async def main() -> None:
        claims = ClaimWriter(state_client(request), lambda: Fence(1, []))
        large = await claims.claim([protocol.PutOperation("large", "x" * 9999)], "large")
        assert large.outcome is ClaimOutcome.CONFLICT
        small = await claims.claim([protocol.PutOperation("small", 1)], "small")
        assert small.outcome is ClaimOutcome.COMMITTED
        assert requested_keys == ["large", "small"]

    run_in_virtual_time(main())


def test_a_claim_without_response_is_fenced_rather_than_retried_in_a_later_epoch() -> None:
    """The claim is based on the state known in the epoch in which it was requested.

    The controller loses the leadership and is elected again while the claim is in flight, so
    another leader may have placed tasks in between.
    """
    fences = [Fence(1, [protocol.Condition("pt/lead", 7)])]
    sent_revisions: list[int] = []

    async def request(
        addr: str, method: str, target: str, body: dict[str, Any], timeout: float
    ) -> ClientResponse:
        sent_revisions.append(body["when"][0]["stamp"])
        fences.append(Fence(2, [protocol.Condition("pt/lead", 9)]))
        raise NoResponseError("timeout", request_sent=True)

    async def main() -> None:
        claims = ClaimWriter(state_client(request), lambda: fences[-1])
        async with asyncio.timeout(5.0):
            result = await claims.claim([protocol.PutOperation("pt/r/1", [])], "r/1")
        assert result.outcome is ClaimOutcome.FENCED
        assert sent_revisions == [7]

    run_in_virtual_time(main())
