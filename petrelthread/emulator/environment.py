"""Interfaces between the emulated programs, and to the network that carries their messages.

Tests deliver messages in virtual time within one process; the soak uses sockets of the loopback
interface in real time. Both run the same emulated programs.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any, NamedTuple, Protocol

from petrelthread.http import ClientResponse
from petrelthread.settings import Workers

# Handles a request, given its source, method, target and body; returns the response's status and
# body.
RequestHandler = Callable[[str, str, str, Any], Awaitable[tuple[int, Any]]]
# Sends a request to an address. Raises NoResponseError if no response arrives.
RequestSender = Callable[..., Awaitable[ClientResponse]]


class MachineDescription(NamedTuple):
    """The constant properties of an emulated machine."""

    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool


class Network(Protocol):
    """Carries requests between the emulated programs and the controllers."""

    def new_address(self, name: str) -> str:
        """Return an address for a new machine."""

    def attach(self, address: str, name: str, handler: RequestHandler) -> None:
        """Pass requests to the address on to ``handler``."""

    def detach(self, address: str) -> None:
        """Stop accepting requests to the address."""

    def requester(self, source: str) -> RequestSender:
        """Return the function that sends requests as ``source``."""


class Deployment(Protocol):
    """The controllers, and the capacity of the cloud."""

    @property
    def machine_types(self) -> tuple[dict[str, Any], ...]:
        """The machine types, as the cloud's catalog lists them."""

    @property
    def spot(self) -> int:
        """How many spot machines the cloud can rent out at once."""

    @property
    def on_demand(self) -> int:
        """How many on-demand machines the cloud can rent out at once."""

    @property
    def zone_capacity(self) -> int | None:
        """How many machines a zone can have rented at once; None without a limit."""

    @property
    def list_page_size(self) -> int:
        """The maximum number of machines on one page of the cloud's list."""

    @property
    def step_s(self) -> float:
        """Interval in seconds at which workers update the states of their tasks."""

    @property
    def nodes(self) -> tuple[str, ...]:
        """Names of the controllers."""


class EmulatedWorker(Protocol):
    """A worker as the invariant checker sees it."""

    up: bool
    faulty: bool

    def enforce_lease(self) -> None:
        """Kill all tasks if the lease has expired."""


class EmulatedMachine(Protocol):
    """A machine as the invariant checker sees it."""

    @property
    def description(self) -> MachineDescription:
        """The machine's name, address, type, zone, and whether it is spot."""

    @property
    def worker(self) -> EmulatedWorker:
        """The worker that runs on the machine."""


class EmulatedCloud(Protocol):
    """The cloud as the invariant checker sees it."""

    @property
    def machines(self) -> Mapping[str, EmulatedMachine]:
        """The currently rented machines, by name."""


class TaskObserver(Protocol):
    """Receives the workers' events about tasks, which are identified as ``JOB/INDEX``."""

    def record_restart(self, machine: str) -> None:
        """Record that a machine has restarted."""

    def record_start_command(self, task: str, attempt: int, machine: str, token: int) -> None:
        """Record that a worker has accepted a start command."""

    def record_start(self, task: str, machine: MachineDescription, now: float) -> None:
        """Record that a task runs, its image fetched."""

    def record_end(self, task: str, machine: str) -> None:
        """Record that a task no longer runs on a machine."""

    def record_completion(self, task: str) -> None:
        """Record that a task has completed its work."""


class EmulatedEnvironment(Protocol):
    """What the emulated programs and the invariant checker share."""

    jobs: dict[str, dict[str, Any]]  # JSON objects of the submissions, by job id
    failing_jobs: set[str]  # jobs that fail on every machine
    limits: dict[str, float]  # maximum cores, by team
    boot_delay_s: float  # additional boot time of machines rented from now on
    random: random.Random

    @property
    def deployment(self) -> Deployment:
        """The controllers and the capacity of the cloud."""

    @property
    def network(self) -> Network:
        """The network between all programs."""

    @property
    def checker(self) -> TaskObserver:
        """The invariant checker, as the workers see it."""

    @property
    def workers(self) -> Workers:
        """The timing settings that workers and controllers share."""

    @property
    def cloud(self) -> EmulatedCloud:
        """The emulated cloud."""

    def background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a background task."""

    def public_address(self, node: str) -> str:
        """The address at which a controller accepts requests of workers and users."""

    def task_fails(self, task: str, /) -> bool:
        """Whether the task fails on every machine."""

    def task_run_s(self, task: str, /) -> float:
        """How long the task runs, in seconds."""
