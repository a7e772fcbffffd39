"""Token buckets that limit the rate of outgoing requests."""

from __future__ import annotations

import asyncio

LOW_LEVEL_SHARE = 0.3  # share of the burst below which the level counts as low
FULL_LEVEL_SHARE = 0.8  # share of the burst above which the level counts as full


class TokenBucket:
    """A token bucket, refilled with ``rate`` tokens per second up to ``burst`` tokens.

    The level may become negative: ``acquire`` takes its tokens immediately and then sleeps until
    they are refilled, so that callers proceed in order and an amount may exceed the burst.

    Attributes:
        rate: tokens per second; change it with ``set_rate``.
        burst: maximum level, at least 1.
        total_acquired: tokens taken since the start.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = max(burst, 1.0)
        self.total_acquired = 0.0
        self._level = self.burst
        self._refilled_at: float | None = None

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._level = min(self.burst, self._level + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    async def acquire(self, amount: float = 1.0) -> None:
        """Take tokens immediately, then wait until the level is no longer negative."""
        loop = asyncio.get_running_loop()
        self._refill(loop.time())
        self._level -= amount
        self.total_acquired += amount
        if self._level < 0:
            await asyncio.sleep(-self._level / self.rate)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from ``now`` on; the refill until then is at the old rate."""
        self._refill(now)
        self.rate = rate

    def refund(self, amount: float = 1.0) -> None:
        """Return tokens that were acquired and not used."""
        self._level = min(self.burst, self._level + amount)

    def available(self, now: float, reserved_share: float) -> int:
        """How many whole tokens can be taken such that ``reserved_share`` of the burst remains."""
        self._refill(now)
        return max(0, int(self._level - self.burst * reserved_share))

    def is_low(self, now: float) -> bool:
        """Whether few tokens are left, because demand exceeds the rate."""
        self._refill(now)
        return self._level < self.burst * LOW_LEVEL_SHARE

    def is_full(self, now: float) -> bool:
        """Whether most tokens are left, because few were taken recently."""
        self._refill(now)
        return self._level > self.burst * FULL_LEVEL_SHARE

    def wait_time_s(self, now: float) -> float:
        """Seconds that ``acquire`` of one token would wait now."""
        self._refill(now)
        return max(0.0, (1.0 - self._level) / self.rate)
