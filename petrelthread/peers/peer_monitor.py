"""Exchanges heartbeats with the sibling controllers and keeps the newest one from each."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import orjson

from petrelthread.http import NoResponseError, Response, error_response, json_response
from petrelthread.peers.peer_heartbeat import PEER_HEARTBEAT_PATH, PeerHeartbeat
from petrelthread.settings import Sibling
from petrelthread.store import SendRequest

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0  # from a response or failure to the next request
HEARTBEAT_TIMEOUT_S = 0.8


class ReceivedHeartbeat(NamedTuple):
    """A sibling's heartbeat and the event loop time at which it was received."""

    heartbeat: PeerHeartbeat
    received_at: float


def _lend_nothing(_borrower: PeerHeartbeat) -> float:
    return 0.0


def _ignore_loan(_lender: str, _write_rate: float, _requested_at: float) -> None:
    """Do nothing."""


class PeerMonitor:
    """Sends this controller's heartbeat to each sibling and answers theirs.

    Heartbeats are hints about epochs, reachability and unused write rate. A failed or malformed
    exchange is ignored, and the sibling is retried after ``HEARTBEAT_INTERVAL_S``.
    """

    def __init__(
        self,
        siblings: tuple[Sibling, ...],
        request: SendRequest,
        own_heartbeat: Callable[[], PeerHeartbeat],
        on_heartbeat: Callable[[PeerHeartbeat], None],
        lend: Callable[[PeerHeartbeat], float] = _lend_nothing,
        record_loan: Callable[[str, float, float], None] = _ignore_loan,
    ) -> None:
        """Monitor ``siblings``.

        Args:
            siblings: The other controllers.
            request: Sends an HTTP request to a sibling.
            own_heartbeat: Returns this controller's heartbeat.
            on_heartbeat: Called with each heartbeat received, in a request or in a response.
            lend: Returns the write rate, per second, lent to the sender of a request.
            record_loan: Called with the lender's name, the write rate that its response lends and
                the time at which the request was sent.
        """
        self._siblings = siblings
        self._request = request
        self._own_heartbeat = own_heartbeat
        self._on_heartbeat = on_heartbeat
        self._lend = lend
        self._record_loan = record_loan
        self.last_received: dict[str, ReceivedHeartbeat] = {}  # by the sender's host name

    def record(self, heartbeat: PeerHeartbeat) -> None:
        """Keep a heartbeat that was just received and pass it to ``on_heartbeat``."""
        received_at = asyncio.get_running_loop().time()
        self.last_received[heartbeat.node] = ReceivedHeartbeat(heartbeat, received_at)
        self._on_heartbeat(heartbeat)

    def recent_heartbeats(self, within_s: float) -> list[PeerHeartbeat]:
        """Return the newest heartbeat of each sibling, if received within ``within_s`` seconds."""
        now = asyncio.get_running_loop().time()
        return [
            received.heartbeat
            for received in self.last_received.values()
            if now - received.received_at <= within_s
        ]

    async def handle(self, method: str, body: bytes) -> Response:
        """Answer a sibling's request at ``PEER_HEARTBEAT_PATH``."""
        if method != "POST":
            return error_response(405, "use POST")
        try:
            heartbeat = msgspec.convert(orjson.loads(body), PeerHeartbeat)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return error_response(400, str(error))
        self.record(heartbeat)
        own = self._own_heartbeat()  # built before lending, which changes its rates
        response = msgspec.structs.replace(own, lent_write_rate=self._lend(heartbeat))
        return json_response(200, msgspec.to_builtins(response))

    async def run(self) -> None:
        """Send heartbeats to all siblings until cancelled."""
        await asyncio.gather(*(self._send_heartbeats(sibling) for sibling in self._siblings))

    async def _send_heartbeats(self, sibling: Sibling) -> None:
        while True:
            try:
                await self._send_heartbeat(sibling)
            except (NoResponseError, orjson.JSONDecodeError, msgspec.ValidationError) as error:
                log.debug("peer heartbeat to %s failed: %s", sibling.host_name, error)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self, sibling: Sibling) -> None:
        """Send one heartbeat, and record the response if its status is 200."""
        body = msgspec.to_builtins(self._own_heartbeat())
        requested_at = asyncio.get_running_loop().time()
        response = await self._request(
            sibling.peer_addr, "POST", PEER_HEARTBEAT_PATH, body, timeout=HEARTBEAT_TIMEOUT_S
        )
        if response.status != HTTPStatus.OK:
            return
        heartbeat = msgspec.convert(orjson.loads(response.body), PeerHeartbeat)
        self.record(heartbeat)
        self._record_loan(heartbeat.node, heartbeat.lent_write_rate, requested_at)
