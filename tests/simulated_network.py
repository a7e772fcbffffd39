"""The network of a simulation: delays, losses, duplicates and partitions."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import orjson

from petrelthread.emulator.environment import RequestHandler
from petrelthread.http import ClientResponse, NoResponseError
from tests.virtual_time import PROCESS

if TYPE_CHECKING:
    from tests.simulation import Simulation

LOST_MESSAGE_DELAY_S = 1000.0  # longer than any request waits for its response

# Decides, given source, address, method, target and body, how a request is delivered: seconds of
# delay before the handler is called, and whether the response is lost. None: the request is lost.
DeliveryRule = Callable[[str, str, str, str, Any], tuple[float, bool] | None]


class SimulatedNetwork:
    """Delivers requests between the simulated processes, with the faults that a scenario sets."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.hosts: dict[str, RequestHandler] = {}
        self.partitions: set[frozenset[str]] = set()
        self.delivery_rule: DeliveryRule | None = None
        # Hosts with an asymmetric partition: those in `not_receiving` get no request or response,
        # and no request of those in `not_sending` is delivered.
        self.not_receiving: set[str] = set()
        self.not_sending: set[str] = set()
        # Seconds of delay of a response, by the target of its request.
        self.response_delay: Callable[[str], float] = lambda target: 0.0
        # Seconds after which a request is delivered a second time; None: it is not duplicated.
        self.duplicate_rule: Callable[[str, str, str, str], float | None] = lambda *request: None

    def new_address(self, name: str) -> str:
        return f"{name}:9"

    def attach(self, address: str, name: str, handler: RequestHandler) -> None:
        self.hosts[address] = handler

    def detach(self, address: str) -> None:
        self.hosts.pop(address, None)

    def requester(self, source: str) -> Callable[..., Awaitable[ClientResponse]]:
        async def request(
            addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
        ) -> ClientResponse:
            # Encoding and decoding the body keeps processes from sharing mutable objects.
            data = orjson.loads(orjson.dumps(body)) if body is not None else None
            host = addr.partition(":")[0]
            try:
                async with asyncio.timeout(timeout):
                    return await asyncio.shield(
                        asyncio.ensure_future(
                            self._transmit(source, host, addr, method, target, data)
                        )
                    )
            except TimeoutError:
                raise NoResponseError("timeout", True) from None

        return request

    async def _transmit(
        self, source: str, host: str, addr: str, method: str, target: str, body: Any
    ) -> ClientResponse:
        await asyncio.sleep(0.001)
        await self._connect(source, host, addr)
        response_is_lost = await self._deliver(source, addr, method, target, body)
        while host in self.simulation.loop.paused:
            await asyncio.sleep(0.05)  # the request waits in the socket buffer
        handler = self.hosts.get(addr)
        if handler is None:
            raise NoResponseError("host detached", True)
        if host in self.not_receiving:
            await asyncio.sleep(LOST_MESSAGE_DELAY_S)
        duplicate_delay_s = self.duplicate_rule(source, addr, method, target)
        if duplicate_delay_s is not None:
            self.simulation.background(
                self._redeliver(duplicate_delay_s, source, addr, method, target, body)
            )
        status, response = await self._handle(host, lambda: handler(source, method, target, body))
        if delay_s := self.response_delay(target):
            await asyncio.sleep(delay_s)
        if response_is_lost or source in self.not_receiving or self._partitioned(source, host):
            await asyncio.sleep(LOST_MESSAGE_DELAY_S)
        return ClientResponse(status, orjson.dumps(response))

    async def _handle(self, host: str, handle: Callable[[], Awaitable[Any]]) -> Any:
        """Run a request's handler in the process of its host, not in that of the sender.

        A pause of the sender then spares it and all that it starts, such as the workers of machines
        that the sender has rented.
        """

        async def run() -> Any:
            return await handle()

        context = contextvars.copy_context()
        context.run(PROCESS.set, host if host in self.simulation.nodes else "")
        return await asyncio.get_running_loop().create_task(run(), context=context)

    def _partitioned(self, source: str, host: str) -> bool:
        return frozenset((source, host)) in self.partitions

    async def _connect(self, source: str, host: str, addr: str) -> None:
        """Raise if the connection is refused; if partitioned, wait until the request times out."""
        if source in self.not_sending:
            await asyncio.sleep(LOST_MESSAGE_DELAY_S)
        if addr not in self.hosts:
            raise NoResponseError("refused", False)
        if self._partitioned(source, host):
            await asyncio.sleep(LOST_MESSAGE_DELAY_S)
            raise NoResponseError("refused", False)

    async def _deliver(self, source: str, addr: str, method: str, target: str, body: Any) -> bool:
        """Apply the delivery rule to the request. Returns whether its response is lost."""
        if self.delivery_rule is None:
            return False
        delivery = self.delivery_rule(source, addr, method, target, body)
        if delivery is None:
            await asyncio.sleep(LOST_MESSAGE_DELAY_S)
            raise NoResponseError("lost", True)
        delay_s, response_is_lost = delivery
        if delay_s:
            await asyncio.sleep(delay_s)
        return response_is_lost

    async def _redeliver(
        self, delay_s: float, source: str, addr: str, method: str, target: str, body: Any
    ) -> None:
        await asyncio.sleep(delay_s)
        handler = self.hosts.get(addr)
        if handler is not None:
            host = addr.partition(":")[0]
            await self._handle(host, lambda: handler(source, method, target, body))  # no response
