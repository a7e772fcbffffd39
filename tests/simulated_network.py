"""The network of a simulation: delays, losses, duplicates and partitions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import orjson

from petrelthread.emulator.environment import RequestHandler
from petrelthread.http import ClientResponse, NoResponseError

if TYPE_CHECKING:
    from tests.simulation import Simulation

LOST_S = 1000.0  # longer than any request waits for its answer

# Decides how a request is delivered: seconds of delay before it is carried out, and whether its
# answer is lost. None: the request is lost.
DeliveryRule = Callable[[str, str, str, str, Any], tuple[float, bool] | None]


class SimulatedNetwork:
    """Carries requests between the simulated processes, with the faults a scenario sets."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.hosts: dict[str, RequestHandler] = {}
        self.partitions: set[frozenset[str]] = set()
        self.delivery_rule: DeliveryRule | None = None
        # Machines with one-way partitions: no answer or command reaches the first, and nothing
        # that the second send arrives.
        self.not_receiving: set[str] = set()
        self.not_sending: set[str] = set()
        # By target: how many seconds an answer takes on its way back.
        self.answer_delay: Callable[[str], float] = lambda target: 0.0
        # Decides whether a request comes once more, and how many seconds later.
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
            # Bodies cross as bytes, so that nobody shares an object with anybody.
            data = orjson.loads(orjson.dumps(body)) if body is not None else None
            host = addr.partition(":")[0]
            try:
                async with asyncio.timeout(timeout):
                    return await asyncio.shield(
                        asyncio.ensure_future(self._carry(source, host, addr, method, target, data))
                    )
            except TimeoutError:
                raise NoResponseError("timeout", True) from None

        return request

    async def _carry(
        self, source: str, host: str, addr: str, method: str, target: str, body: Any
    ) -> ClientResponse:
        await asyncio.sleep(0.001)
        await self._connect(source, host, addr)
        answer_is_lost = await self._deliver(source, addr, method, target, body)
        while host in self.simulation.loop.paused:
            await asyncio.sleep(0.05)  # it lies in the socket's buffer
        handler = self.hosts.get(addr)
        if handler is None:
            raise NoResponseError("gone", True)
        if host in self.not_receiving:
            await asyncio.sleep(LOST_S)
        late = self.duplicate_rule(source, addr, method, target)
        if late is not None:
            self.simulation.background(self._again(late, source, addr, method, target, body))
        status, answer = await handler(source, method, target, body)
        if delay_s := self.answer_delay(target):
            await asyncio.sleep(delay_s)
        if answer_is_lost or source in self.not_receiving or self._partitioned(source, host):
            await asyncio.sleep(LOST_S)
        return ClientResponse(status, orjson.dumps(answer))

    def _partitioned(self, source: str, host: str) -> bool:
        return frozenset((source, host)) in self.partitions

    async def _connect(self, source: str, host: str, addr: str) -> None:
        """Refuse or swallow a request that cannot reach the process at `addr`."""
        if source in self.not_sending:
            await asyncio.sleep(LOST_S)
        if addr not in self.hosts:
            raise NoResponseError("refused", False)
        if self._partitioned(source, host):
            await asyncio.sleep(LOST_S)
            raise NoResponseError("refused", False)

    async def _deliver(self, source: str, addr: str, method: str, target: str, body: Any) -> bool:
        """Delay or lose the request as the rule says; whether its answer will be lost."""
        if self.delivery_rule is None:
            return False
        delivery = self.delivery_rule(source, addr, method, target, body)
        if delivery is None:
            await asyncio.sleep(LOST_S)
            raise NoResponseError("lost", True)
        delay_s, answer_is_lost = delivery
        if delay_s:
            await asyncio.sleep(delay_s)
        return answer_is_lost

    async def _again(
        self, late: float, source: str, addr: str, method: str, target: str, body: Any
    ) -> None:
        await asyncio.sleep(late)
        handler = self.hosts.get(addr)
        if handler is not None:
            await handler(source, method, target, body)  # nobody waits for the answer
