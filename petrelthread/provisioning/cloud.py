"""Calls to the cloud. A refusal, a lost reply and a garbled one are three different things."""

from __future__ import annotations

from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.store import Request, TokenBucket

T = TypeVar("T")


class CloudDown(Exception):
    """Surely not carried out."""


class CloudUnsure(Exception):
    """May have been carried out, or may still be."""


class NoCapacity(Exception):
    """None available for this type, zone and kind."""


class CloudClient:
    def __init__(self, request: Request, addr: str, budget: TokenBucket) -> None:
        self._request = request
        self._addr = addr
        self._budget = budget

    async def turn(self) -> None:
        """Wait until a call may be made, and count it."""
        await self._budget.acquire()

    def not_used(self) -> None:
        """The turn was not taken after all."""
        self._budget.refund()

    async def _call(
        self, method: str, target: str, body: Any = None, timeout: float = 4.0, paid: bool = False
    ) -> ClientResponse:
        if not paid:
            await self.turn()
        try:
            reply = await self._request(self._addr, method, target, body, timeout=timeout)
        except NoResponseError as error:
            if error.request_sent:
                raise CloudUnsure(str(error)) from None
            raise CloudDown(str(error)) from None
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity
        if reply.status in (429, 503, 400):
            raise CloudDown(f"status {reply.status}: {reply.body[:100]!r}")
        if reply.status != 200:
            raise CloudUnsure(f"status {reply.status}")
        return reply

    @staticmethod
    def _decode(body: bytes, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CloudUnsure(f"garbled answer: {error}") from None

    async def catalog(self) -> protocol.Catalog:
        reply = await self._call("GET", protocol.CATALOG_PATH)
        return self._decode(reply.body, protocol.Catalog)

    async def rent(
        self, charter: str, machine_type: str, zone: str, spot: bool, count: int, paid: bool = False
    ) -> tuple[str, ...]:
        """``paid``: its turn has been waited for already."""
        body = protocol.rent_request(charter, machine_type, zone, spot, count)
        reply = await self._call("POST", protocol.HOSTS_PATH, body, paid=paid)
        return self._decode(reply.body, protocol.Rented).perches

    async def give_back(self, names: list[str]) -> None:
        await self._call("POST", protocol.RETURN_PATH, protocol.return_request(names))

    async def list(self) -> list[protocol.Listed]:
        """All machines, page by page. CloudUnsure if the pages do not add up to a whole list."""
        found: list[protocol.Listed] = []
        after = ""
        while True:
            target = f"{protocol.HOSTS_PATH}?limit={protocol.LIST_MOST}"
            if after:
                target += f"&from={quote(after)}"
            reply = await self._call("GET", target)
            page = self._decode(reply.body, protocol.HostList)
            found += page.perches
            if not page.more:
                return found
            last = page.perches[-1].name_id if page.perches else ""
            if last <= after:
                # Taken for a whole list, what it lacks would count as gone; read on, it never ends.
                raise CloudUnsure(f"page after {after!r} goes no further, though more is to come")
            after = last
