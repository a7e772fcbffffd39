"""Records: packed and read back without loss, and the steps an operation may take."""

from __future__ import annotations

import asyncio
from typing import Any

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.leadership import ClaimOutcome, ClaimWriter
from petrelthread.leadership.fence import Fence
from petrelthread.store import StateClient, TokenBucket
from tests.virtual import play

OK = b'{"epoch":7}'


def test_a_claim_beyond_a_limit_is_not_repeated_and_holds_up_no_other() -> None:
    """Repeated unchanged it would be refused for ever, with every other claim behind it."""
    asked: list[str] = []

    async def request(
        addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        asked.append(body["apply"][0]["put"])
        return (
            ClientResponse(400, b'{"error":"value too large"}')
            if len(asked) == 1
            else ClientResponse(200, OK)
        )

    async def main() -> None:
        client = StateClient(
            request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0)
        )
        claims = ClaimWriter(client, lambda: Fence(1, []))
        assert (await claims.claim([protocol.PutOperation("large", "x" * 9999)], "large"))[
            0
        ] is ClaimOutcome.CONFLICT
        assert (await claims.claim([protocol.PutOperation("small", 1)], "small"))[
            0
        ] is ClaimOutcome.COMMITTED
        assert asked == ["large", "small"]

    play(main())


def test_a_claim_is_never_sent_with_the_fence_of_a_later_epoch() -> None:
    """What it starts was decided on what was known in its own epoch. While it went unanswered, the
    lead was lost and won again; another leader may have placed work in between."""
    fences = [Fence(1, [protocol.Condition("pt/lead", 7)])]
    sent: list[int] = []

    async def request(
        addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        sent.append(body["when"][0]["stamp"])
        fences.append(Fence(2, [protocol.Condition("pt/lead", 9)]))
        raise NoResponseError("timeout", True)

    async def main() -> None:
        client = StateClient(
            request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0)
        )
        claims = ClaimWriter(client, lambda: fences[-1])
        async with asyncio.timeout(5.0):
            outcome, _ = await claims.claim([protocol.PutOperation("pt/r/1", [])], "r/1")
        assert outcome is ClaimOutcome.FENCED
        assert sent == [7]

    play(main())
