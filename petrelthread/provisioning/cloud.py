"""Client of the cloud. The error type tells whether a failed call may have been carried out."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import msgspec

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.store import SendRequest, TokenBucket

T = TypeVar("T")

CALL_TIMEOUT_S = 4.0
NO_CAPACITY_TEXT = b"no capacity"  # distinguishes a 503 for lack of machines from other 503s
REFUSED_STATUSES = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.BAD_REQUEST,
)


class CloudError(Exception):
    """A call to the cloud failed, or its outcome is unknown."""


class CloudUnavailableError(CloudError):
    """The call was certainly not carried out."""


class CloudResultUnknownError(CloudError):
    """The call may have been carried out, or may be carried out later."""


class NoCapacityError(CloudError):
    """The cloud has no capacity for this offer. No machine was scaled out."""


class CloudClient:
    """Typed calls to the cloud, limited by a token bucket of calls.

    Every call raises ``CloudUnavailableError`` or ``CloudResultUnknownError`` if it fails.
    """

    def __init__(self, request: SendRequest, addr: str, budget: TokenBucket) -> None:
        self._request = request
        self._addr = addr
        self._budget = budget

    async def acquire_call(self) -> None:
        """Wait until the budget allows a call, and charge it."""
        await self._budget.acquire()

    def refund_call(self) -> None:
        """Refund a call that was charged to the budget but not made."""
        self._budget.refund()

    async def catalog(self) -> protocol.Catalog:
        """All machine types with their zones and prices."""
        response = await self._call("GET", protocol.CATALOG_PATH)
        return self._decode(response.body, protocol.Catalog)

    async def scale_out(
        self,
        idempotency_key: str,
        machine_type: str,
        zone: str,
        spot: bool,
        count: int,
        call_acquired: bool = False,
    ) -> tuple[str, ...]:
        """Scale out by up to ``count`` machines, and return the names of those granted.

        A repeated request with the same idempotency key returns the same machines.

        Args:
            idempotency_key: Identifies the request.
            machine_type: Name in the catalog.
            zone: Zone of the machines.
            spot: Request spot machines instead of on-demand ones.
            count: Maximum number of machines.
            call_acquired: The call is already charged to the budget.

        Raises:
            NoCapacityError: The cloud has no capacity for the offer at present.
        """
        body = protocol.scale_out_request(idempotency_key, machine_type, zone, spot, count)
        response = await self._call(
            "POST", protocol.MACHINES_PATH, body, call_acquired=call_acquired
        )
        return self._decode(response.body, protocol.ScaleOutResponse).machine_names

    async def scale_in(self, names: list[str]) -> None:
        """Scale in machines by name. Idempotent."""
        await self._call("POST", protocol.SCALE_IN_PATH, protocol.scale_in_request(names))

    async def list_machines(self) -> list[protocol.ListedMachine]:
        """All machines, read page by page.

        Raises:
            CloudResultUnknownError: The pages do not form a complete list.
        """
        found: list[protocol.ListedMachine] = []
        after = ""
        while True:
            target = f"{protocol.MACHINES_PATH}?limit={protocol.MAX_MACHINES_PER_LIST_PAGE}"
            if after:
                target += f"&from={quote(after)}"
            response = await self._call("GET", target)
            page = self._decode(response.body, protocol.MachineListPage)
            found += page.machines
            if not page.more:
                return found
            last = page.machines[-1].name if page.machines else ""
            if last <= after:
                # Refuse an incomplete list: machines missing from it would be quarantined.
                raise CloudResultUnknownError(
                    f"page after {after!r} goes no further, although more pages are announced"
                )
            after = last

    async def _call(
        self, method: str, target: str, body: object = None, call_acquired: bool = False
    ) -> ClientResponse:
        if not call_acquired:
            await self.acquire_call()
        try:
            response = await self._request(self._addr, method, target, body, timeout=CALL_TIMEOUT_S)
        except NoResponseError as error:
            if error.request_sent:
                raise CloudResultUnknownError(str(error)) from error
            raise CloudUnavailableError(str(error)) from error
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE and NO_CAPACITY_TEXT in response.body:
            raise NoCapacityError
        if response.status in REFUSED_STATUSES:
            raise CloudUnavailableError(f"status {response.status}: {response.body[:100]!r}")
        if response.status != HTTPStatus.OK:
            raise CloudResultUnknownError(f"status {response.status}")
        return response

    @staticmethod
    def _decode(body: bytes, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CloudResultUnknownError(f"malformed response: {error}") from error
