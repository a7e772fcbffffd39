"""TokenBucket: waiting, a negative level, and changes of the rate."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.store import TokenBucket
from tests.virtual_time import run_in_virtual_time


def test_requests_beyond_the_burst_wait_in_order() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        bucket = TokenBucket(rate=10.0, burst=2.0)
        started_at = loop.time()
        waited = []
        for _ in range(4):
            await bucket.acquire()
            waited.append(loop.time() - started_at)
        assert waited == pytest.approx([0.0, 0.0, 0.1, 0.2])
        assert bucket.total_acquired == 4.0

    run_in_virtual_time(main())


def test_an_amount_above_the_burst_is_granted_and_delays_the_next() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        bucket = TokenBucket(rate=10.0, burst=2.0)
        started_at = loop.time()
        await bucket.acquire(7.0)
        assert loop.time() - started_at == pytest.approx(0.5)
        assert bucket.wait_time_s(loop.time()) == pytest.approx(0.1)

    run_in_virtual_time(main())


def test_refill_before_a_rate_change_uses_the_old_rate() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        bucket = TokenBucket(rate=1.0, burst=10.0)
        await bucket.acquire(10.0)
        await asyncio.sleep(2.0)
        bucket.set_rate(100.0, loop.time())
        assert bucket.available(loop.time(), reserved_share=0.0) == 2

    run_in_virtual_time(main())


def test_available_leaves_the_reserved_share() -> None:
    bucket = TokenBucket(rate=1.0, burst=10.0)
    assert bucket.available(0.0, reserved_share=0.25) == 7


@pytest.mark.parametrize(
    ("taken", "is_low", "is_full"),
    [
        pytest.param(1.0, False, True, id="nearly nothing taken"),
        pytest.param(5.0, False, False, id="half taken"),
        pytest.param(8.0, True, False, id="nearly all taken"),
    ],
)
def test_is_low_and_is_full_show_the_demand(taken: float, is_low: bool, is_full: bool) -> None:
    async def main() -> None:
        now = asyncio.get_running_loop().time()
        bucket = TokenBucket(rate=1.0, burst=10.0)
        await bucket.acquire(taken)
        assert (bucket.is_low(now), bucket.is_full(now)) == (is_low, is_full)
        bucket.refund(taken)
        assert bucket.is_full(now)

    run_in_virtual_time(main())
