"""The serving side: one coroutine a connection, whole requests in, whole responses out."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import h11
import orjson

from petrelthread.http.turn_gate import Kind, TurnGate
from petrelthread.wire import CHECKIN_PATH, MAX_BODY

log = logging.getLogger(__name__)

IDLE_S = 75.0
BODY_S = 10.0
LINE_MOST = 8 * 1024
STALE_S = 15.0
BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTED_AT_ONCE = 32  # in one turn of the event loop
REPORT_BEGINS = f"POST {CHECKIN_PATH} ".encode()
READ_AHEAD = 128 * 1024  # bytes of a connection that may wait to be parsed


class Response(NamedTuple):
    status: int
    body: bytes
    retry_after_s: int | None = None


Handler = Callable[[str, str, bytes], Awaitable[Response]]


def answer(status: int, body: Any, retry_after_s: int | None = None) -> Response:
    return Response(status, orjson.dumps(body), retry_after_s)


def refusal(status: int, reason: str, retry_after_s: int | None = None) -> Response:
    return answer(status, {"error": reason}, retry_after_s)


class _TooLarge(Exception):
    pass


def _kind_of(data: bytes) -> Kind:
    return Kind.WORKER if data.startswith(REPORT_BEGINS) else Kind.USER


class Server:
    """Serves one address. ``room`` says how many connections may be open at once.

    When they are, those that have been silent for ``stale_s`` give way: workers that were cut off
    or taken leave theirs half open. If none has, a tenth of the room is for connections that get
    one answer and are closed, so that users are told something; beyond that they are refused.
    """

    def __init__(
        self,
        handler: Handler,
        room: int,
        stale_s: float = STALE_S,
        gate: TurnGate | None = None,
    ) -> None:
        """``gate``: what keeps each turn of the event loop short; one of its own by default."""
        self._handler = handler
        self._gate = gate or TurnGate()
        self._room = room
        self._kept = max(1, room - max(1, room // 10))
        self._stale_s = stale_s
        self._open = 0
        # Waiting for a request, the longest first, and since when.
        self._waiting: dict[asyncio.StreamWriter, float] = {}

    @property
    def open(self) -> int:
        return self._open

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Serve an IPv4 address."""
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((host, port))
        except OSError:
            bound.close()
            raise
        return await self.listen_on(bound)

    async def listen_on(self, bound: socket.socket) -> asyncio.Server:
        """Serve a socket that is bound already."""
        # asyncio accepts as many connections in one go as its backlog is long: after a take-over
        # that kept the event loop busy for seconds. The kernel's own queue is another matter.
        server = await asyncio.start_server(
            self._serve, sock=bound, limit=READ_AHEAD, backlog=ACCEPTED_AT_ONCE
        )
        bound.listen(BACKLOG)
        return server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open += 1
        try:
            if self._open > self._kept:
                self._make_room()
            if self._open <= self._room:
                await self._requests(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except Exception:
            log.exception("connection handler failed")
        finally:
            self._open -= 1
            self._waiting.pop(writer, None)
            writer.close()

    def _make_room(self) -> None:
        """Close what has been silent the longest, if that is long."""
        oldest = next(iter(self._waiting), None)
        now = asyncio.get_running_loop().time()
        if oldest is not None and now - self._waiting[oldest] > self._stale_s:
            del self._waiting[oldest]
            oldest.transport.abort()

    async def _requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        loop = asyncio.get_running_loop()
        while True:
            try:
                self._waiting[writer] = loop.time()
                async with asyncio.timeout(IDLE_S):
                    event = await self._next(conn, reader, writer, begins=True)
                self._waiting.pop(writer, None)
                if not isinstance(event, h11.Request):
                    return
                # h11 bounds only what is still incomplete, and takes any version number.
                if len(event.target) > LINE_MOST:
                    raise h11.RemoteProtocolError("line too long")
                if event.http_version not in (b"1.0", b"1.1"):
                    raise h11.RemoteProtocolError("version not supported")
                async with asyncio.timeout(BODY_S):
                    body = await self._body(conn, reader, writer)
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    self._send(conn, writer, refusal(400, f"bad HTTP: {error}"), close=True)
                    await writer.drain()
                return
            except _TooLarge:
                # 400 rather than 413: users retry every status that the protocol does not list.
                self._send(conn, writer, refusal(400, "body over 64 KiB"), close=True)
                await writer.drain()
                return
            try:
                method = event.method.decode("ascii")
                target = event.target.decode("ascii", "replace")
                response = await self._handler(method, target, body)
            except Exception:
                log.exception("request handler failed")
                response = refusal(503, "internal trouble", 1)
            self._send(conn, writer, response, close=self._open > self._kept)
            await writer.drain()
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _next(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        begins: bool = False,
    ) -> Any:
        """The next event of the connection. ``begins``: it is to be the head of a request, which
        waits for its turn before it is parsed."""
        while True:
            event = conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            if conn.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                writer.write(conn.send(go_on) or b"")
            data = await reader.read(65536)
            if begins and data:
                begins = False
                self._waiting.pop(writer, None)  # not silent: it is we who take our time
                held_back = await self._gate.turn(_kind_of(data))
                if held_back and (reader.at_eof() or writer.is_closing()):
                    return h11.ConnectionClosed()  # nobody waits for the answer any more
            conn.receive_data(data)

    async def _body(
        self, conn: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next(conn, reader, writer)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY:
                    raise _TooLarge
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise h11.RemoteProtocolError("connection ended within a request")

    @staticmethod
    def _send(
        conn: h11.Connection, writer: asyncio.StreamWriter, response: Response, close: bool
    ) -> None:
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ]
        if response.retry_after_s is not None:
            headers.append(("Retry-After", str(response.retry_after_s)))
        if close:
            headers.append(("Connection", "close"))
        head = conn.send(h11.Response(status_code=response.status, headers=headers)) or b""
        data = conn.send(h11.Data(data=response.body)) or b""
        end = conn.send(h11.EndOfMessage()) or b""
        writer.write(head + data + end)
