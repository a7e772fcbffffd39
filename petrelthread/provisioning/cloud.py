"""Calls to the cloud. A refusal, a lost reply and a garbled one are three different things."""

from __future__ import annotations

from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.store import Request, TokenBucket

T = TypeVar("T")


class CloudUnavailableError(Exception):
    """Surely not carried out."""


class CloudResultUnknownError(Exception):
    """May have been carried out, or may still be."""


class NoCapacityError(Exception):
    """None available for this type, zone and kind."""


class CloudClient:
    def __init__(self, request: Request, addr: str, budget: TokenBucket) -> None:
        self._request = request
        self._addr = addr
        self._bucket = budget

    async def acquire_call(self) -> None:
        """Wait until a call may be made, and count it."""
        await self._bucket.acquire()

    def refund_call(self) -> None:
        """The turn was not taken after all."""
        self._bucket.refund()

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = 4.0,
        call_acquired: bool = False,
    ) -> ClientResponse:
        if not call_acquired:
            await self.acquire_call()
        try:
            reply = await self._request(self._addr, method, target, body, timeout=timeout)
        except NoResponseError as error:
            if error.request_sent:
                raise CloudResultUnknownError(str(error)) from None
            raise CloudUnavailableError(str(error)) from None
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacityError
        if reply.status in (429, 503, 400):
            raise CloudUnavailableError(f"status {reply.status}: {reply.body[:100]!r}")
        if reply.status != 200:
            raise CloudResultUnknownError(f"status {reply.status}")
        return reply

    @staticmethod
    def _decode(body: bytes, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CloudResultUnknownError(f"garbled answer: {error}") from None

    async def catalog(self) -> protocol.Catalog:
        reply = await self._call("GET", protocol.CATALOG_PATH)
        return self._decode(reply.body, protocol.Catalog)

    async def scale_out(
        self,
        idempotency_key: str,
        machine_type: str,
        zone: str,
        spot: bool,
        count: int,
        call_acquired: bool = False,
    ) -> tuple[str, ...]:
        """``paid``: its turn has been waited for already."""
        body = protocol.scale_out_request(idempotency_key, machine_type, zone, spot, count)
        reply = await self._call("POST", protocol.MACHINES_PATH, body, call_acquired=call_acquired)
        return self._decode(reply.body, protocol.ScaleOutResponse).machine_names

    async def scale_in(self, names: list[str]) -> None:
        await self._call("POST", protocol.SCALE_IN_PATH, protocol.scale_in_request(names))

    async def list_machines(self) -> list[protocol.ListedMachine]:
        """All machines, page by page. CloudUnsure if the pages do not add up to a whole list."""
        found: list[protocol.ListedMachine] = []
        after = ""
        while True:
            target = f"{protocol.MACHINES_PATH}?limit={protocol.MAX_LIST_PAGE}"
            if after:
                target += f"&from={quote(after)}"
            reply = await self._call("GET", target)
            page = self._decode(reply.body, protocol.MachineListPage)
            found += page.machines
            if not page.more:
                return found
            last = page.machines[-1].name if page.machines else ""
            if last <= after:
                # Taken for a whole list, what it lacks would count as gone; read on, it never ends.
                raise CloudResultUnknownError(
                    f"page after {after!r} goes no further, though more is to come"
                )
            after = last
