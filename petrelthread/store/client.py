"""Client of the state service.

Each failed call raises an error that says whether the request may have taken effect; see
``petrelthread.store.errors``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.store.errors import (
    LeaseExpiredError,
    StateRateLimitedError,
    StateRejectedError,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
)
from petrelthread.store.token_bucket import TokenBucket

SendRequest = Callable[..., Awaitable[ClientResponse]]
"""Sends one HTTP request: ``(address, method, target, body, timeout=seconds)``."""

T = TypeVar("T")

REQUEST_TIMEOUT_S = 1.0
LIST_TIMEOUT_S = 3.0
WATCH_MARGIN_S = 1.0  # by default added to a watch's wait time, to give its request timeout
PAGE_SIZE = 1000  # keys on one page of a listing
ERROR_EXCERPT_BYTES = 200  # part of a 400 response's body that the error's message quotes


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        # A malformed response does not show whether the request was carried out.
        raise StateResultUnknownError(f"garbled answer: {error}") from error


def _expect_ok(response: ClientResponse) -> None:
    if response.status != HTTPStatus.OK:
        raise StateResultUnknownError(f"status {response.status}")


class StateClient:
    """Client of the state service that keeps to this controller's share of its rate limits.

    Each call takes one token of ``request_bucket`` unless stated otherwise; a transaction also
    takes one token of ``write_bucket`` for each operation.

    Each method raises ``StateUnavailableError`` if the request was certainly not carried out, and
    ``StateResultUnknownError`` if that is not known.

    Attributes:
        request_bucket: limits all requests.
        write_bucket: limits written keys.
        rate_limited_at: event loop time of the latest 429 response; minus infinity if none.
        write_rate_limited: whether a transaction with operations ever got a 429 response.
    """

    def __init__(
        self,
        request: SendRequest,
        address: str,
        request_bucket: TokenBucket,
        write_bucket: TokenBucket,
        lease_request: SendRequest | None = None,
    ) -> None:
        """Create a client without sending anything.

        Args:
            request: sends a request.
            address: host and port of the state service.
            request_bucket: limits all requests.
            write_bucket: limits written keys.
            lease_request: sends lease renewals, so that they never queue behind other requests;
                ``request`` if None.
        """
        self._request = request
        self._lease_request = lease_request or request
        self._address = address
        self.request_bucket = request_bucket
        self.write_bucket = write_bucket
        self.rate_limited_at = float("-inf")
        self.write_rate_limited = False

    async def _call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        timeout: float = REQUEST_TIMEOUT_S,
        skip_rate_limit: bool = False,
        request: SendRequest | None = None,
    ) -> ClientResponse:
        if not skip_rate_limit:
            await self.request_bucket.acquire()
        request = request or self._request
        try:
            response = await request(self._address, method, target, body, timeout=timeout)
        except NoResponseError as error:
            if error.request_sent:
                raise StateResultUnknownError(str(error)) from error
            raise StateUnavailableError(str(error)) from error
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            self.rate_limited_at = asyncio.get_running_loop().time()
            raise StateRateLimitedError("status 429")
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise StateUnavailableError("status 503")
        return response

    async def list_keys(self, prefix: str, after: str | None) -> protocol.KeyPage:
        """Read one page of the keys with a prefix, in key order.

        Args:
            prefix: the prefix of the keys.
            after: last key of the previous page; None for the first page.
        """
        target = f"/keys?prefix={quote(prefix)}&limit={PAGE_SIZE}"
        if after is not None:
            target += f"&from={quote(after)}"
        response = await self._call("GET", target, timeout=LIST_TIMEOUT_S)
        _expect_ok(response)
        return _decode(response.body, protocol.KeyPage)

    async def read_key(self, key: str, timeout: float = REQUEST_TIMEOUT_S) -> Any:
        """Read the value of one key, as of a time after this call; None if it does not exist."""
        response = await self._call("GET", f"/keys/{key}", timeout=timeout)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        _expect_ok(response)
        return _decode(response.body, protocol.KeyValue).value

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        skip_rate_limit: bool = False,
        margin_s: float = WATCH_MARGIN_S,
    ) -> protocol.WatchResponse | None:
        """Wait for changes of the keys with a prefix.

        Args:
            prefix: the prefix of the keys.
            after: a revision; later changes are returned.
            wait_s: the service responds without changes after this time; 0: immediately.
            skip_rate_limit: take no token of ``request_bucket``, because the caller has taken one.
            margin_s: how long after ``wait_s`` the response may arrive.

        Returns:
            The changes, or None if the service no longer knows all changes since ``after``.
        """
        target = f"/watch?prefix={quote(prefix)}&from={after}&wait_ms={int(wait_s * 1000)}"
        response = await self._call(
            "GET", target, timeout=wait_s + margin_s, skip_rate_limit=skip_rate_limit
        )
        if response.status == HTTPStatus.GONE:
            return None
        _expect_ok(response)
        return _decode(response.body, protocol.WatchResponse)

    async def transact(
        self,
        conditions: Sequence[protocol.Condition],
        operations: Sequence[protocol.Operation],
        timeout: float = REQUEST_TIMEOUT_S,
    ) -> int:
        """Apply all operations if all conditions hold, else none (compare-and-swap).

        Returns:
            The revision of the changes.

        Raises:
            TransactionConflictError: a condition did not hold.
            LeaseExpiredError: an operation names a lease that has expired.
            StateRejectedError: the transaction is malformed or too large.
        """
        if operations:
            await self.write_bucket.acquire(len(operations))
        request = protocol.transaction_request(conditions, operations)
        try:
            response = await self._call("POST", "/multi", request, timeout)
        except StateRateLimitedError:
            self.write_rate_limited = self.write_rate_limited or bool(operations)
            raise
        if response.status == HTTPStatus.CONFLICT:
            failed = _decode(response.body, protocol.TransactionFailed)
            raise TransactionConflictError(failed.failed_keys)
        if response.status == HTTPStatus.BAD_REQUEST:
            if b"lease" in response.body:
                raise LeaseExpiredError
            raise StateRejectedError(f"status 400: {response.body[:ERROR_EXCERPT_BYTES]!r}")
        _expect_ok(response)
        return _decode(response.body, protocol.TransactionCommitted).revision

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease that expires ``ttl_s`` seconds after its last renewal; return its id."""
        response = await self._call("POST", "/grants", {"life_ms": int(ttl_s * 1000)})
        _expect_ok(response)
        return _decode(response.body, protocol.LeaseGranted).lease_id

    async def renew_lease(self, lease_id: int, timeout: float) -> None:
        """Renew a lease, without taking a token of a bucket.

        Raises:
            LeaseExpiredError: it has expired.
        """
        response = await self._call(
            "POST",
            f"/grants/{lease_id}/extend",
            {},
            timeout=timeout,
            skip_rate_limit=True,
            request=self._lease_request,
        )
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError
        _expect_ok(response)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes the keys tied to it. The response's status is ignored."""
        await self._call("DELETE", f"/grants/{lease_id}")
