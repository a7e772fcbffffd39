"""Interfaces between the emulated programs, and to what carries their messages.

Tests carry messages in virtual time within one process; the soak uses sockets of the loopback
interface in real time. The emulated programs are the same in both.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any, NamedTuple, Protocol

from petrelthread.http import ClientResponse
from petrelthread.settings import Workers

# Serves a request, given its source, method, target and body: the status and body of the response.
RequestHandler = Callable[[str, str, str, Any], Awaitable[tuple[int, Any]]]
# Sends a request to an address. Raises NoResponseError.
RequestSender = Callable[..., Awaitable[ClientResponse]]


class MachineDescription(NamedTuple):
    """What does not change about an emulated machine."""

    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool


class Network(Protocol):
    """Carries requests between the emulated programs and the controllers."""

    def new_address(self, name: str) -> str:
        """An address for a new machine."""

    def attach(self, address: str, name: str, handler: RequestHandler) -> None:
        """Have ``handler`` serve requests to the address."""

    def detach(self, address: str) -> None:
        """Stop serving requests to the address."""

    def requester(self, source: str) -> RequestSender:
        """What sends the requests of ``source``."""


class Deployment(Protocol):
    """The controllers, and the machines that the cloud has."""

    @property
    def machine_types(self) -> tuple[dict[str, Any], ...]:
        """The machine types of the cloud's catalogue, as it shows them."""

    @property
    def spot(self) -> int:
        """How many spot machines there are."""

    @property
    def on_demand(self) -> int:
        """How many on-demand machines there are."""

    @property
    def zone_capacity(self) -> int | None:
        """How many machines a zone has, or None without a limit."""

    @property
    def list_page_size(self) -> int:
        """How many machines a page of the cloud's list holds."""

    @property
    def step_s(self) -> float:
        """Interval at which workers advance their tasks."""

    @property
    def nodes(self) -> tuple[str, ...]:
        """Names of the controllers."""


class SimulatedWorker(Protocol):
    """A worker as the invariant checker sees it."""

    up: bool
    faulty: bool

    def expire(self) -> None:
        """Kill all tasks if the lease has expired."""


class SimulatedMachine(Protocol):
    """A machine as the invariant checker sees it."""

    @property
    def description(self) -> MachineDescription:
        """Its name, type, zone and kind."""

    @property
    def worker(self) -> SimulatedWorker:
        """The worker that runs on it."""


class SimulatedCloud(Protocol):
    """The cloud as the invariant checker sees it."""

    @property
    def machines(self) -> Mapping[str, SimulatedMachine]:
        """The machines that are rented now, by name."""


class TaskObserver(Protocol):
    """Told by workers of what happens to tasks, given as ``JOB/INDEX``."""

    def record_start_command(self, task: str, machine: str, token: int) -> None:
        """A worker has accepted a start command."""

    def record_start(self, task: str, machine: MachineDescription, now: float) -> None:
        """A task has begun to run."""

    def record_leave(self, task: str, machine: str) -> None:
        """A task is no longer on a machine."""

    def record_completion(self, task: str) -> None:
        """A task has completed its work."""


class SimulatedEnvironment(Protocol):
    """Everything that the emulated programs share."""

    jobs: dict[str, dict[str, Any]]  # as submitted, by id
    failing_jobs: set[str]  # jobs that fail on every machine
    limits: dict[str, float]  # cores by team
    boot_delay_s: float  # by how much machines rented now boot late
    random: random.Random

    @property
    def deployment(self) -> Deployment:
        """The controllers and machines."""

    @property
    def net(self) -> Network:
        """The network between all programs."""

    @property
    def checker(self) -> TaskObserver:
        """Checks what the workers do."""

    @property
    def workers(self) -> Workers:
        """The settings that workers and controllers share."""

    @property
    def cloud(self) -> SimulatedCloud:
        """The emulated cloud."""

    def background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something as a task of its own."""

    def public_address(self, node: str) -> str:
        """Where workers and users reach a controller."""

    def task_fails(self, task: str, /) -> bool:
        """Whether the task fails on every machine."""

    def task_run_s(self, task: str, /) -> float:
        """How long the task runs, in seconds."""
