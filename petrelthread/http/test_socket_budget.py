"""Tests of how a controller's sockets are divided among their purposes."""

from __future__ import annotations

import pytest

from petrelthread.http import divide_sockets


@pytest.mark.parametrize("limit", [64, 200, 1000, 1518, 1844])
@pytest.mark.parametrize("siblings", [0, 2, 4])
def test_sum_of_shares_stays_below_the_limit(limit: int, siblings: int) -> None:
    shares = divide_sockets(limit, siblings)
    assert sum(shares) < limit
    assert min(shares) >= 8
    if limit >= 1500:  # nine tenths are kept alive: enough for 970 workers and 100 users
        assert shares.public * 0.9 > 970 + 100
