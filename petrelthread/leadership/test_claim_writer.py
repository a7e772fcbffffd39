"""Claims that are rejected, unanswered, or overtaken by another epoch."""

from __future__ import annotations

import asyncio
from typing import Any

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.leadership import ClaimOutcome, ClaimWriter, Fence
from petrelthread.store import Request, StateClient, TokenBucket
from tests.virtual import play

COMMITTED = ClientResponse(200, b'{"epoch":7}')
VALUE_TOO_LARGE = ClientResponse(400, b'{"error":"value too large"}')


def state_client(request: Request) -> StateClient:
    return StateClient(request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0))


def test_a_claim_beyond_a_limit_is_not_repeated_and_holds_up_no_other() -> None:
    """Repeated unchanged it would be refused for ever, with every other claim behind it."""
    asked: list[str] = []

    async def request(
        addr: str, method: str, target: str, body: dict[str, Any], timeout: float
    ) -> ClientResponse:
        asked.append(body["apply"][0]["put"])
        return VALUE_TOO_LARGE if len(asked) == 1 else COMMITTED

    async def main() -> None:
        claims = ClaimWriter(state_client(request), lambda: Fence(1, []))
        large = await claims.claim([protocol.PutOperation("large", "x" * 9999)], "large")
        assert large.outcome is ClaimOutcome.CONFLICT
        small = await claims.claim([protocol.PutOperation("small", 1)], "small")
        assert small.outcome is ClaimOutcome.COMMITTED
        assert asked == ["large", "small"]

    play(main())


def test_a_claim_is_never_sent_with_the_fence_of_a_later_epoch() -> None:
    """Its content was decided on the state as known in its own epoch.

    While it went unanswered, the leadership was lost and won again; another leader may have placed
    tasks in between.
    """
    fences = [Fence(1, [protocol.Condition("pt/lead", 7)])]
    sent: list[int] = []

    async def request(
        addr: str, method: str, target: str, body: dict[str, Any], timeout: float
    ) -> ClientResponse:
        sent.append(body["when"][0]["stamp"])
        fences.append(Fence(2, [protocol.Condition("pt/lead", 9)]))
        raise NoResponseError("timeout", request_sent=True)

    async def main() -> None:
        claims = ClaimWriter(state_client(request), lambda: fences[-1])
        async with asyncio.timeout(5.0):
            result = await claims.claim([protocol.PutOperation("pt/r/1", [])], "r/1")
        assert result.outcome is ClaimOutcome.FENCED
        assert sent == [7]

    play(main())
