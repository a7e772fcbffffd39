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

HEARTBEAT_PATH = "/peer/v1/hello"
EVERY_S = 1.0


class Heartbeat(msgspec.Struct):
    node: str
    epoch: int = 0
    leading: bool = False
    state_ok: bool = False
    workers: int = 0  # reports taken in lately, answered with 200 or not
    zone: str = ""
    asks: float = 0.0  # writes a second of the state service beyond its share, in a greeting
    lends: float = 0.0  # what it gives of its own for a while, in the answer


class Heard(msgspec.Struct):
    heartbeat: Heartbeat
    at: float


class Heartbeats:
    def __init__(
        self,
        siblings: tuple[Sibling, ...],
        request: Request,
        mine: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        lend: Callable[[Heartbeat], float] = lambda heartbeat: 0.0,
        took: Callable[[str, float, float], None] = lambda lender, amount, asked_at: None,
    ) -> None:
        self._siblings = siblings
        self._request = request
        self._mine = mine
        self._on_heartbeat = on_heartbeat
        self._lend = lend
        self._took = took
        self.heard: dict[str, Heard] = {}
        self.wake = asyncio.Event()

    def take(self, heartbeat: Heartbeat) -> None:
        self.heard[heartbeat.node] = Heard(heartbeat, asyncio.get_running_loop().time())
        self._on_heartbeat(heartbeat)

    def fresh(self, within_s: float) -> list[Heartbeat]:
        now = asyncio.get_running_loop().time()
        return [h.heartbeat for h in self.heard.values() if now - h.at <= within_s]

    async def handle(self, method: str, body: bytes) -> Response:
        if method != "POST":
            return error_response(405, "use POST")
        try:
            heartbeat = msgspec.convert(orjson.loads(body), Heartbeat)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return error_response(400, str(error))
        self.take(heartbeat)
        mine = msgspec.structs.replace(self._mine(), lends=self._lend(heartbeat))
        return json_response(200, msgspec.to_builtins(mine))

    async def run(self) -> None:
        await asyncio.gather(*(self._greet(sibling) for sibling in self._siblings))

    async def _greet(self, sibling: Sibling) -> None:
        while True:
            body = msgspec.to_builtins(self._mine())
            asked_at = asyncio.get_running_loop().time()
            try:
                reply = await self._request(
                    sibling.peer_addr, "POST", HEARTBEAT_PATH, body, timeout=0.8
                )
                if reply.status == 200:
                    heartbeat = msgspec.convert(orjson.loads(reply.body), Heartbeat)
                    self.take(heartbeat)
                    self._took(heartbeat.node, heartbeat.lends, asked_at)
            except (NoResponseError, orjson.JSONDecodeError, msgspec.ValidationError) as error:
                log.debug("sibling %s: %s", sibling.host_name, error)
            await asyncio.sleep(EVERY_S)
