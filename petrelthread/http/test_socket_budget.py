"""How the sockets of a controller are divided among its duties."""

from __future__ import annotations

import pytest

from petrelthread.http import divide_sockets


@pytest.mark.parametrize("limit", [64, 200, 1000, 1518, 1844])
@pytest.mark.parametrize("siblings", [0, 2, 4])
def test_all_shares_together_stay_within_the_limit(limit: int, siblings: int) -> None:
    shares = divide_sockets(limit, siblings)
    assert sum(shares) < limit
    assert min(shares) >= 8
    if limit >= 1500:  # 970 workers, and users beside them, keep their connections open
        assert shares.public * 0.9 > 970 + 100
