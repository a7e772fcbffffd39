"""Each controller greets each sibling about once a second and after every change of leader."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec
import orjson

from petrelthread.http import NoResponseError, Response, json_response
from petrelthread.http.server import error_response
from petrelthread.settings import Sibling
from petrelthread.store import Request

log = logging.getLogger(__name__)

PEER_HEARTBEAT_PATH = "/peer/v1/hello"
HEARTBEAT_INTERVAL_S = 1.0


class PeerHeartbeat(msgspec.Struct):
    """What a controller tells its siblings about itself; rates are writes a second."""

    node: str
    epoch: int = 0
    is_leader: bool = msgspec.field(name="leading", default=False)
    state_service_ok: bool = msgspec.field(name="state_ok", default=False)
    worker_heartbeats: int = msgspec.field(name="workers", default=0)  # received lately
    zone: str = ""
    requested_write_rate: float = msgspec.field(name="asks", default=0.0)  # in a request
    lent_write_rate: float = msgspec.field(name="lends", default=0.0)  # in a response


class ReceivedHeartbeat(msgspec.Struct):
    heartbeat: PeerHeartbeat
    received_at: float


class PeerMonitor:
    def __init__(
        self,
        siblings: tuple[Sibling, ...],
        request: Request,
        own_heartbeat: Callable[[], PeerHeartbeat],
        on_heartbeat: Callable[[PeerHeartbeat], None],
        lend: Callable[[PeerHeartbeat], float] = lambda heartbeat: 0.0,
        record_loan: Callable[[str, float, float], None] = lambda lender, amount, asked_at: None,
    ) -> None:
        self._siblings = siblings
        self._request = request
        self._own_heartbeat = own_heartbeat
        self._on_heartbeat = on_heartbeat
        self._lend = lend
        self._record_loan = record_loan
        self.last_received: dict[str, ReceivedHeartbeat] = {}
        self.wake = asyncio.Event()

    def record(self, heartbeat: PeerHeartbeat) -> None:
        self.last_received[heartbeat.node] = ReceivedHeartbeat(
            heartbeat, asyncio.get_running_loop().time()
        )
        self._on_heartbeat(heartbeat)

    def recent(self, within_s: float) -> list[PeerHeartbeat]:
        now = asyncio.get_running_loop().time()
        return [h.heartbeat for h in self.last_received.values() if now - h.received_at <= within_s]

    async def handle(self, method: str, body: bytes) -> Response:
        if method != "POST":
            return error_response(405, "use POST")
        try:
            heartbeat = msgspec.convert(orjson.loads(body), PeerHeartbeat)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return error_response(400, str(error))
        self.record(heartbeat)
        mine = msgspec.structs.replace(self._own_heartbeat(), lent_write_rate=self._lend(heartbeat))
        return json_response(200, msgspec.to_builtins(mine))

    async def run(self) -> None:
        await asyncio.gather(*(self._send_heartbeats(sibling) for sibling in self._siblings))

    async def _send_heartbeats(self, sibling: Sibling) -> None:
        while True:
            body = msgspec.to_builtins(self._own_heartbeat())
            asked_at = asyncio.get_running_loop().time()
            try:
                reply = await self._request(
                    sibling.peer_addr, "POST", PEER_HEARTBEAT_PATH, body, timeout=0.8
                )
                if reply.status == 200:
                    heartbeat = msgspec.convert(orjson.loads(reply.body), PeerHeartbeat)
                    self.record(heartbeat)
                    self._record_loan(heartbeat.node, heartbeat.lent_write_rate, asked_at)
            except (NoResponseError, orjson.JSONDecodeError, msgspec.ValidationError) as error:
                log.debug("sibling %s: %s", sibling.host_name, error)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
