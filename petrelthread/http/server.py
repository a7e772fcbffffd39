"""The serving side: one coroutine a connection, whole requests in, whole responses out."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any, NamedTuple

import h11
import orjson

from petrelthread.http.load_shedder import Admission, LoadShedder, RequestSource
from petrelthread.protocol import HEARTBEAT_PATH, MAX_BODY_BYTES

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 10.0
MAX_LINE_BYTES = 8 * 1024
DEFAULT_STALE_AFTER_S = 15.0
LISTEN_BACKLOG = 8192  # connections that may wait to be accepted; the kernel may allow fewer
MAX_ACCEPTS_PER_TURN = 32  # in one turn of the event loop
WORKER_REQUEST_PREFIX = f"POST {HEARTBEAT_PATH} ".encode()
MAX_HEAD_BYTES = 16 * 1024  # bytes of a request's head
CACHED_HEADS = 512  # heads of responses, by status and length
READ_BUFFER_BYTES = 128 * 1024  # bytes of a connection that may wait to be parsed


class Response(NamedTuple):
    status: int
    body: bytes
    retry_after_s: int | None = None


Handler = Callable[[str, str, bytes], Awaitable[Response]]


def json_response(status: int, body: Any, retry_after_s: int | None = None) -> Response:
    return Response(status, orjson.dumps(body), retry_after_s)


def error_response(status: int, reason: str, retry_after_s: int | None = None) -> Response:
    return json_response(status, {"error": reason}, retry_after_s)


def _new_connection() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)


def _head(response: Response, close: bool) -> bytes:
    """Status line and headers of a whole response."""
    return _head_bytes(response.status, len(response.body), response.retry_after_s, close)


@lru_cache(maxsize=CACHED_HEADS)
def _head_bytes(status: int, length: int, retry_after_s: int | None, close: bool) -> bytes:
    """Written by h11 once for each kind of response: to write each anew took a third of the time
    that a worker's report costs in h11."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(length))]
    if retry_after_s is not None:
        headers.append(("Retry-After", str(retry_after_s)))
    if close:
        headers.append(("Connection", "close"))
    return _new_connection().send(h11.Response(status_code=status, headers=headers)) or b""


OVERLOADED_RETRY_S = 2
OVERLOADED = error_response(503, "too many requests wait here", OVERLOADED_RETRY_S)


class _BodyTooLargeError(Exception):
    pass


def _request_source(data: bytes) -> RequestSource:
    return RequestSource.WORKER if data.startswith(WORKER_REQUEST_PREFIX) else RequestSource.USER


class Server:
    """Serves one address. ``room`` says how many connections may be open at once.

    When they are, those that have been silent for ``stale_s`` give way: workers that were cut off
    or taken leave theirs half open. If none has, a tenth of the room is for connections that get
    one answer and are closed, so that users are told something; beyond that they are refused.
    """

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        stale_after_s: float = DEFAULT_STALE_AFTER_S,
        load_shedder: LoadShedder | None = None,
    ) -> None:
        """``gate``: what keeps each turn of the event loop short; one of its own by default."""
        self._handler = handler
        self._load_shedder = load_shedder or LoadShedder()
        self._room = max_connections
        self._kept = max(1, max_connections - max(1, max_connections // 10))
        self._stale_s = stale_after_s
        self._open = 0
        # Waiting for a request, the longest first, and since when.
        self._waiting: dict[asyncio.StreamWriter, float] = {}

    @property
    def open_connections(self) -> int:
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
            self._serve, sock=bound, limit=READ_BUFFER_BYTES, backlog=MAX_ACCEPTS_PER_TURN
        )
        bound.listen(LISTEN_BACKLOG)
        return server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open += 1
        try:
            if self._open > self._kept:
                self._make_room()
            if self._open <= self._room:
                await self._requests(reader, writer)
            else:
                self._load_shedder.record_refused_connection()
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
        conn = _new_connection()
        loop = asyncio.get_running_loop()
        while True:
            try:
                self._waiting[writer] = loop.time()
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    event = await self._next(conn, reader, writer, begins=True)
                self._waiting.pop(writer, None)
                if not isinstance(event, h11.Request):
                    return
                # h11 bounds only what is still incomplete, and takes any version number.
                if len(event.target) > MAX_LINE_BYTES:
                    raise h11.RemoteProtocolError("line too long")
                if event.http_version not in (b"1.0", b"1.1"):
                    raise h11.RemoteProtocolError("version not supported")
                async with asyncio.timeout(BODY_TIMEOUT_S):
                    body = await self._body(conn, reader, writer)
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    self._refuse(writer, f"bad HTTP: {error}")
                    await writer.drain()
                return
            except _BodyTooLargeError:
                # 400 rather than 413: users retry every status that the protocol does not list.
                self._refuse(writer, "body over 64 KiB")
                await writer.drain()
                return
            try:
                method = event.method.decode("ascii")
                target = event.target.decode("ascii", "replace")
                response = await self._handler(method, target, body)
            except Exception:
                log.exception("request handler failed")
                response = error_response(503, "internal trouble", 1)
            # The request asked for the connection to be closed, or we do.
            close = conn.their_state is not h11.DONE or self._open > self._kept
            head_only = event.method == b"HEAD"
            writer.write(_head(response, close) + (b"" if head_only else response.body))
            await writer.drain()
            if close:
                return
            unread, _ = conn.trailing_data
            conn = _new_connection()
            if unread:
                conn.receive_data(unread)

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
                kind = _request_source(data)
                turn = await self._load_shedder.admit(kind)
                if turn is Admission.SHED:
                    if kind is RequestSource.USER:
                        writer.write(_head(OVERLOADED, close=True) + OVERLOADED.body)
                    return h11.ConnectionClosed()
                if turn is Admission.DELAYED and (reader.at_eof() or writer.is_closing()):
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
                if size > MAX_BODY_BYTES:
                    raise _BodyTooLargeError
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise h11.RemoteProtocolError("connection ended within a request")

    @staticmethod
    def _refuse(writer: asyncio.StreamWriter, reason: str) -> None:
        response = error_response(400, reason)
        writer.write(_head(response, close=True) + response.body)
