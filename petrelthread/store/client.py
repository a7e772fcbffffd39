"""Calls to the state service. A lost answer is told apart from a refusal, always."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError

Request = Callable[..., Awaitable[ClientResponse]]
T = TypeVar("T")


class StateUnavailableError(Exception):
    """The request was surely not carried out: 503, 429, or it never left."""


class StateRateLimitedError(StateUnavailableError):
    """Refused for its rate alone: others were a moment earlier. Worth another try at once."""


class StateRejectedError(StateUnavailableError):
    """Never carried out as it stands: malformed, or beyond a limit. Not to be repeated unchanged"""


class StateResultUnknownError(Exception):
    """The request may have been carried out, or may still be."""


class TransactionConflictError(Exception):
    """A condition did not hold; nothing was applied."""

    def __init__(self, failed: tuple[str, ...]) -> None:
        super().__init__(f"conditions failed: {', '.join(failed)}")
        self.failed_keys = failed


class LeaseExpiredError(Exception):
    """The lease is over."""


LOW_LEVEL_SHARE = 0.3
FULL_LEVEL_SHARE = 0.8


class TokenBucket:
    """A token bucket. All controllers together must stay below the service's limits."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = max(burst, 1.0)
        self._level = self.burst
        self._at: float | None = None
        self.total_acquired = 0.0  # in all

    def _refill(self, now: float) -> None:
        if self._at is not None:
            self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    async def acquire(self, amount: float = 1.0) -> None:
        """Wait until there is room; large amounts go into debt rather than never pass."""
        loop = asyncio.get_running_loop()
        self._refill(loop.time())
        self._level -= amount
        self.total_acquired += amount
        if self._level < 0:
            await asyncio.sleep(-self._level / self.rate)

    def set_rate(self, rate: float, now: float) -> None:
        self._refill(now)  # what has come so far came at the old rate
        self.rate = rate

    def refund(self, amount: float = 1.0) -> None:
        """Of what was taken, this was not used."""
        self._level = min(self.burst, self._level + amount)

    def available(self, now: float, reserved_share: float) -> int:
        """How much may be taken now and still leave a share of the burst for what is urgent."""
        self._refill(now)
        return max(0, int(self._level - self.burst * reserved_share))

    def is_low(self, now: float) -> bool:
        """Little is left: more than this rate is asked for."""
        self._refill(now)
        return self._level < self.burst * LOW_LEVEL_SHARE

    def is_full(self, now: float) -> bool:
        """Next to nothing was asked for lately."""
        self._refill(now)
        return self._level > self.burst * FULL_LEVEL_SHARE

    def wait_time_s(self, now: float) -> float:
        """How long a request made now would have to wait."""
        self._refill(now)
        return max(0.0, (1.0 - self._level) / self.rate)


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        # A garbled answer proves nothing about what was done.
        raise StateResultUnknownError(f"garbled answer: {error}") from None


class StateClient:
    def __init__(
        self,
        request: Request,
        addr: str,
        reads: TokenBucket,
        writes: TokenBucket,
        lease_request: Request | None = None,
    ) -> None:
        """``lease_request``: what carries renewals of the lease, if not ``request``: they are to
        wait behind nothing else."""
        self._request = request
        self._lease_request = lease_request or request
        self._addr = addr
        self.request_bucket = reads
        self.write_bucket = writes
        self.rate_limited_at = float("-inf")  # when the service last found our rates too high
        self.write_rate_limited = False  # it found the rate of our writes too high at least once

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = 1.0,
        urgent: bool = False,
        request: Request | None = None,
    ) -> ClientResponse:
        if not urgent:
            await self.request_bucket.acquire()
        request = request or self._request
        try:
            reply = await request(self._addr, method, target, body, timeout=timeout)
        except NoResponseError as error:
            if error.request_sent:
                raise StateResultUnknownError(str(error)) from None
            raise StateUnavailableError(str(error)) from None
        if reply.status == 429:
            self.rate_limited_at = asyncio.get_running_loop().time()
            raise StateRateLimitedError("status 429")
        if reply.status == 503:
            raise StateUnavailableError("status 503")
        return reply

    async def list_keys(self, prefix: str, after: str | None) -> protocol.KeyPage:
        target = f"/keys?prefix={quote(prefix)}&limit=1000"
        if after is not None:
            target += f"&from={quote(after)}"
        reply = await self._call("GET", target, timeout=3.0)
        if reply.status != 200:
            raise StateResultUnknownError(f"status {reply.status}")
        return _decode(reply.body, protocol.KeyPage)

    async def watch(
        self, prefix: str, after: int, wait_s: float, urgent: bool = False
    ) -> protocol.WatchResponse | None:
        """What changed after a revision; None when the service no longer knows."""
        target = f"/watch?prefix={quote(prefix)}&from={after}&wait_ms={int(wait_s * 1000)}"
        reply = await self._call("GET", target, timeout=wait_s + 1.0, urgent=urgent)
        if reply.status == 410:
            return None
        if reply.status != 200:
            raise StateResultUnknownError(f"status {reply.status}")
        return _decode(reply.body, protocol.WatchResponse)

    async def transact(
        self,
        conditions: Sequence[protocol.Condition],
        operations: Sequence[protocol.Operation],
        timeout: float = 1.0,
    ) -> int:
        if operations:
            await self.write_bucket.acquire(len(operations))
        try:
            reply = await self._call(
                "POST", "/multi", protocol.transaction_request(conditions, operations), timeout
            )
        except StateRateLimitedError:
            self.write_rate_limited = self.write_rate_limited or bool(operations)
            raise
        if reply.status == 200:
            return _decode(reply.body, protocol.TransactionCommitted).revision
        if reply.status == 409:
            raise TransactionConflictError(
                _decode(reply.body, protocol.TransactionFailed).failed_keys
            )
        if reply.status == 400 and b"lease" in reply.body:
            raise LeaseExpiredError
        if reply.status == 400:
            raise StateRejectedError(f"status 400: {reply.body[:200]!r}")
        raise StateResultUnknownError(f"status {reply.status}")

    async def grant_lease(self, ttl_s: float) -> int:
        reply = await self._call("POST", "/grants", {"life_ms": int(ttl_s * 1000)})
        if reply.status != 200:
            raise StateResultUnknownError(f"status {reply.status}")
        return _decode(reply.body, protocol.LeaseGranted).lease_id

    async def renew_lease(self, lease: int, timeout: float) -> None:
        target = f"/grants/{lease}/extend"
        reply = await self._call(
            "POST", target, {}, timeout=timeout, urgent=True, request=self._lease_request
        )
        if reply.status == 404:
            raise LeaseExpiredError
        if reply.status != 200:
            raise StateResultUnknownError(f"status {reply.status}")

    async def revoke_lease(self, lease: int) -> None:
        await self._call("DELETE", f"/grants/{lease}")
