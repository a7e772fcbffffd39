"""The server side of one connection: reads complete requests, writes complete responses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from petrelthread.http.connection_table import ConnectionTable
from petrelthread.http.load_shedder import Admission, LoadShedder, RequestSource
from petrelthread.http.responses import Response, encode_response, error_response
from petrelthread.protocol import HEARTBEAT_PATH, MAX_BODY_BYTES

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 75.0  # a complete request head must arrive within this time
BODY_TIMEOUT_S = 10.0
MAX_TARGET_BYTES = 8 * 1024
MAX_HEAD_BYTES = 16 * 1024
READ_SIZE_BYTES = 64 * 1024
HTTP_VERSIONS = (b"1.0", b"1.1")
WORKER_REQUEST_PREFIX = f"POST {HEARTBEAT_PATH} ".encode()
OVERLOADED_RETRY_S = 2
OVERLOADED_RESPONSE = error_response(503, "too many requests wait here", OVERLOADED_RETRY_S)
HANDLER_FAILED_RETRY_S = 1
HANDLER_FAILED_RESPONSE = error_response(503, "internal trouble", HANDLER_FAILED_RETRY_S)

Handler = Callable[[str, str, bytes], Awaitable[Response]]  # method, target and body


class BodyTooLargeError(Exception):
    """The body of a request is larger than the protocol allows."""


class HttpRequest(NamedTuple):
    """A complete request."""

    method: str
    target: str
    body: bytes


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)


def _request_source(data: bytes) -> RequestSource:
    """Classify a request by its first bytes, before it is parsed."""
    return RequestSource.WORKER if data.startswith(WORKER_REQUEST_PREFIX) else RequestSource.USER


def _check_head(head: h11.Request) -> None:
    """Check what h11 does not: it limits only incomplete heads and accepts any HTTP version."""
    if len(head.target) > MAX_TARGET_BYTES:
        raise h11.RemoteProtocolError("line too long")
    if head.http_version not in HTTP_VERSIONS:
        raise h11.RemoteProtocolError("version not supported")


class ServerConnection:
    """Reads the requests of one connection and writes the handler's responses."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        load_shedder: LoadShedder,
        table: ConnectionTable,
    ) -> None:
        """Serve the connection of ``reader`` and ``writer``; the caller closes ``writer``."""
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._load_shedder = load_shedder
        self._table = table
        self._parser = _new_parser()

    async def serve(self) -> None:
        """Respond to requests until either side closes the connection.

        Raises:
            OSError: The connection failed.
            TimeoutError: The head or body of a request did not arrive in time.
        """
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._refuse(f"bad HTTP: {error}")
                return
            except BodyTooLargeError:
                # Status 400, not 413: users retry on every status that the protocol does not list.
                await self._refuse("body over 64 KiB")
                return
            if request is None:
                return
            response = await self._handle(request)
            close = await self._respond(response, head_only=request.method == "HEAD")
            if close:
                return
            self._start_next_request()

    async def _read_request(self) -> HttpRequest | None:
        """Read the next request; None if the connection is closed or the request is shed."""
        self._table.mark_idle(self._writer)
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            head = await self._read_head()
        self._table.mark_busy(self._writer)
        if head is None:
            return None
        _check_head(head)
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await self._read_body()
        target = head.target.decode("ascii", "replace")
        return HttpRequest(head.method.decode("ascii"), target, body)

    async def _read_head(self) -> h11.Request | None:
        """Read a request's head; the load shedder must admit the request before it is parsed."""
        admitted = False
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event if isinstance(event, h11.Request) else None
            data = await self._reader.read(READ_SIZE_BYTES)
            if data and not admitted:
                self._table.mark_busy(self._writer)  # waits for admission, not for the client
                admitted = await self._is_admitted(data)
                if not admitted:
                    return None
            self._parser.receive_data(data)

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive_body_data()
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    raise BodyTooLargeError
                parts.append(bytes(event.data))
            else:
                raise h11.RemoteProtocolError("connection ended within a request")

    async def _receive_body_data(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._parser.send(continue_response) or b"")
        self._parser.receive_data(await self._reader.read(READ_SIZE_BYTES))

    async def _is_admitted(self, data: bytes) -> bool:
        """Wait until the request that begins with ``data`` may be parsed; False if it must not."""
        source = _request_source(data)
        admission = await self._load_shedder.admit(source)
        if admission is Admission.SHED:
            # A worker gets no response: once disconnected, it retries with another controller.
            if source is RequestSource.USER:
                self._writer.write(encode_response(OVERLOADED_RESPONSE, close=True))
            return False
        if admission is Admission.DELAYED:  # the client may have disconnected meanwhile
            return not (self._reader.at_eof() or self._writer.is_closing())
        return True

    async def _handle(self, request: HttpRequest) -> Response:
        """Call the handler; an exception from it becomes a response that asks for a retry."""
        try:
            return await self._handler(request.method, request.target, request.body)
        except Exception:
            log.exception("request handler failed")
            return HANDLER_FAILED_RESPONSE

    async def _respond(self, response: Response, head_only: bool) -> bool:
        """Send a response; return whether the connection must be closed after it."""
        client_closes = self._parser.their_state is not h11.DONE
        close = client_closes or self._table.is_crowded
        self._writer.write(encode_response(response, close, head_only))
        await self._writer.drain()
        return close

    def _start_next_request(self) -> None:
        """Create a new parser and pass it the data that the client has already sent ahead."""
        unread, _ = self._parser.trailing_data
        self._parser = _new_parser()
        if unread:
            self._parser.receive_data(unread)

    async def _refuse(self, reason: str) -> None:
        """Respond to a malformed request with status 400; the caller reads no further requests."""
        self._writer.write(encode_response(error_response(400, reason), close=True))
        await self._writer.drain()
