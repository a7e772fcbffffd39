"""Links between real processes on the loopback interface, with faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from petrelthread.background_tasks import BackgroundTasks
from petrelthread.emulator.environment import RequestHandler, RequestSender
from petrelthread.emulator.faults import LinkFaults
from petrelthread.http import (
    Client,
    ClientResponse,
    NoResponseError,
    Response,
    Server,
    json_response,
)

HOST = "127.0.0.1"
HANG_S = 60.0  # longer than any request timeout
CONTROLLER = "controller"  # source of direct commands: a machine has one port for all controllers
MAX_CONNECTIONS = 256  # accepted by one emulated program
CLIENT_CONNECTIONS = 16  # opened by one worker or controller, or by all users


def ignore_cancelled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Exception handler for an event loop that ends with open connections.

    Their tasks are cancelled, which asyncio's streams would report as an error.
    """
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def reserve_port() -> socket.socket:
    """Return a socket that is bound to a free port.

    While the socket is open and does not listen, a controller can listen on the port, and the
    system assigns the port to no other program.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, 0))
    return bound


def address_of(bound: socket.socket) -> str:
    """The address of a bound socket, as host:port."""
    return f"{HOST}:{bound.getsockname()[1]}"


class LoopbackNetwork:
    """Gives each emulated program a port, and names each link so that faults can apply to it."""

    def __init__(self, faults: LinkFaults) -> None:
        self._faults = faults
        self._bound: dict[str, socket.socket] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._names: dict[str, str] = {}  # name of the program that listens, by address
        self._background = BackgroundTasks()

    # ---- listening ---------------------------------------------------------------------------

    def new_address(self, name: str) -> str:
        """Reserve a port. Requests to it are refused until ``attach``."""
        bound = reserve_port()
        address = address_of(bound)
        self._bound[address] = bound
        self._names[address] = name
        return address

    def reserve_for_process(self, name: str) -> str:
        """Reserve a port on which the process ``name`` itself will listen."""
        return self.new_address(name)

    def attach(self, address: str, name: str, handler: RequestHandler) -> None:
        """Handle requests of any controller at a reserved address."""
        self._background.start(self._listen(address, CONTROLLER, name, handler))

    async def open_link(self, source: str, name: str, handler: RequestHandler) -> str:
        """Handle the requests of one source. Returns the address to which it sends them."""
        address = self.new_address(name)
        await self._listen(address, source, name, handler)
        return address

    def detach(self, address: str) -> None:
        """Stop listening and free the port."""
        server = self._servers.pop(address, None)
        if server is not None:
            server.close()
        bound = self._bound.pop(address, None)
        if bound is not None:
            bound.close()

    async def _listen(self, address: str, source: str, name: str, handler: RequestHandler) -> None:
        bound = self._bound.get(address)
        if bound is None:
            return  # detached before this task ran
        server = Server(self._handler_with_faults(source, name, handler), MAX_CONNECTIONS)
        self._servers[address] = await server.listen_on(bound)

    def _handler_with_faults(
        self, source: str, name: str, handler: RequestHandler
    ) -> Callable[[str, str, bytes], Awaitable[Response]]:
        async def serve(method: str, target: str, body: bytes) -> Response:
            delivery = self._faults.delivery(source, name, target)
            if delivery.lost:
                await asyncio.sleep(HANG_S)
            if delivery.delay_s:
                await asyncio.sleep(delivery.delay_s)
            content = orjson.loads(body) if body else None
            status, response = await handler(source, method, target, content)
            copy_delay_s = self._faults.copy_delay_s(target)
            if copy_delay_s is not None:
                self._background.start(
                    self._deliver_copy(copy_delay_s, handler, source, method, target, content)
                )
            if delivery.response_lost:
                await asyncio.sleep(HANG_S)
            return json_response(status, response)

        return serve

    @staticmethod
    async def _deliver_copy(
        delay_s: float, handler: RequestHandler, source: str, method: str, target: str, body: Any
    ) -> None:
        await asyncio.sleep(delay_s)
        await handler(source, method, target, body)  # nobody waits for the response

    # ---- sending -----------------------------------------------------------------------------

    def requester(self, source: str) -> RequestSender:
        """Return the function that sends requests of a worker, a controller or the users."""
        client = Client(CLIENT_CONNECTIONS)

        async def request(
            address: str, method: str, target: str, body: Any = None, timeout: float = 2.0
        ) -> ClientResponse:
            name = self._names.get(address, address)
            duplicate_after_s = self._faults.duplicate_delay_s(target)
            if duplicate_after_s is not None:
                self._background.start(
                    self._send_duplicate(client, duplicate_after_s, address, method, target, body)
                )
            cut = frozenset((source, name)) in self._faults.cut
            if cut or source in self._faults.not_sending:
                await asyncio.sleep(timeout)
                raise NoResponseError("request lost", True)
            response = await client.request(address, method, target, body, timeout)
            if source in self._faults.not_receiving:
                await asyncio.sleep(timeout)
                raise NoResponseError("response lost", True)
            return response

        return request

    @staticmethod
    async def _send_duplicate(
        client: Client, delay_s: float, address: str, method: str, target: str, body: Any
    ) -> None:
        await asyncio.sleep(delay_s)
        with contextlib.suppress(NoResponseError):  # the response to a duplicate is not used
            await client.request(address, method, target, body)

    def close(self) -> None:
        """Cancel background tasks and free all ports."""
        self._background.cancel_all()
        for address in [*self._servers, *self._bound]:
            self.detach(address)


def forwarder(requester: RequestSender, address: str, timeout_s: float) -> RequestHandler:
    """Return a handler that forwards requests to an address."""

    async def forward(_source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
        try:
            response = await requester(address, method, target, body, timeout_s)
        except NoResponseError:
            await asyncio.sleep(timeout_s)
            return 503, {"error": "no answer"}
        return response.status, orjson.loads(response.body)

    return forward
