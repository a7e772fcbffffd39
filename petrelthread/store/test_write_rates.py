"""Division of the write limit, and how a controller learns that the limit was lowered."""

from __future__ import annotations

import pytest

from petrelthread import protocol
from petrelthread.http import ClientResponse
from petrelthread.store import StateClient, StateRateLimitedError, TokenBucket, WriteRates
from tests.virtual_time import run_in_virtual_time


@pytest.mark.parametrize("controllers", [1, 2, 5])
def test_the_shares_of_all_controllers_stay_within_the_limit(controllers: int) -> None:
    rates = WriteRates.divide(25.0, controllers)
    used = rates.leader + (controllers - 1) * rates.follower
    assert 0.5 * 25.0 < used <= 25.0 - rates.unused + 1e-9
    assert rates.unused > 0


@pytest.mark.parametrize(
    ("operations", "shows"),
    [([protocol.PutOperation("pt/a", 1)], True), ([], False)],
    ids=["write", "conditions only"],
)
def test_only_a_rate_limited_write_shows_that_the_write_limit_was_lowered(
    operations: list[protocol.Operation], shows: bool
) -> None:
    async def refused(*args: object, **kwargs: object) -> ClientResponse:
        return ClientResponse(429, b"")

    client = StateClient(refused, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0))
    with pytest.raises(StateRateLimitedError):
        run_in_virtual_time(client.transact([], operations))
    assert client.write_rate_limited is shows
