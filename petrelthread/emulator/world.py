"""What the stand-ins know of each other, and of what carries their messages.

Tests carry messages in virtual time within one process, the soak over sockets of the loopback
interface in real time. The stand-ins are the same.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

from petrelthread.http import ClientResponse
from petrelthread.settings import Workers

if TYPE_CHECKING:
    from petrelthread.emulator.judge import Judge

# Source, method, target and body of a request; status and body of its answer.
Handler = Callable[[str, str, str, Any], Awaitable[tuple[int, Any]]]


class Network(Protocol):
    """Carries requests between the stand-ins and the controllers, as far as the faults let it."""

    def new_address(self, name: str) -> str:
        """An address for a new machine."""

    def attach(self, address: str, name: str, handler: Handler) -> None:
        """Requests to the address go to ``handler`` from now on."""

    def detach(self, address: str) -> None:
        """Nobody answers at the address any more."""

    def requester(self, source: str) -> Callable[..., Awaitable[ClientResponse]]:
        """What carries the requests of ``source``. Raises NoAnswer."""


class Stock(Protocol):
    """What the cloud has, and how the machines are run."""

    @property
    def hulls(self) -> tuple[dict[str, Any], ...]: ...
    @property
    def spot(self) -> int: ...
    @property
    def ordinary(self) -> int: ...
    @property
    def zone_capacity(self) -> int | None: ...
    @property
    def pages(self) -> int: ...
    @property
    def step_s(self) -> float: ...
    @property
    def nodes(self) -> tuple[str, ...]: ...


class World(Protocol):
    """Everything that the stand-ins share."""

    jobs: dict[str, dict[str, Any]]  # as submitted, by id
    mistaken: set[str]  # jobs that fail on every machine
    limits: dict[str, float]  # cores by team
    late_boots_s: float  # by how much machines rented now come up late
    random: random.Random

    @property
    def made_of(self) -> Stock: ...
    @property
    def net(self) -> Network: ...
    @property
    def judge(self) -> Judge: ...
    @property
    def workers(self) -> Workers: ...
    @property
    def cloud(self) -> Any: ...

    def background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something that nobody waits for."""

    def public_address(self, node: str) -> str:
        """Where workers and users reach a controller."""

    def is_bad(self, leg: str) -> bool:
        """Whether the task fails wherever it runs."""

    def ran_s(self, leg: str) -> float:
        """How long the task runs, in seconds."""
