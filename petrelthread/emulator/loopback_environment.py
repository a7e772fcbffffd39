"""Emulated programs, their links, and controllers as real processes on the loopback interface."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from petrelthread import protocol
from petrelthread.background_tasks import BackgroundTasks
from petrelthread.emulator.cloud import Cloud
from petrelthread.emulator.faults import CLOUD, STATE, LinkFaults
from petrelthread.emulator.invariant_checker import InvariantChecker, job_id_of
from petrelthread.emulator.loopback import LoopbackNetwork, forwarder
from petrelthread.emulator.processes import (
    CANCEL_S,
    HEARTBEAT_INTERVAL_S,
    LEASE_S,
    TEAMS,
    TXN_OPS,
    ZONES,
    Addresses,
    ControllerProcess,
    settings_text,
)
from petrelthread.emulator.state_service import StateService
from petrelthread.emulator.workload import PlannedJob
from petrelthread.settings import UNLIMITED, Workers
from petrelthread.state import JobRecord, encode
from petrelthread.store import KEY_PREFIX

PEER_TIMEOUT_S = 0.8
SPOT_SHARE = 2 / 3  # of all machines
BOOT_S = 1.5


@dataclass(frozen=True)
class LoopbackOptions:
    """Size of the environment, duration of the faults, and the checkout under test."""

    seconds: float = 40.0
    controllers: int = 3
    machines: int = 12
    sources: Path = Path(__file__).parents[2]  # the checkout whose controllers run


@dataclass(frozen=True)
class LoopbackDeployment:
    """The controllers, and a cloud with few machines in each zone."""

    machines: int
    nodes: tuple[str, ...]
    list_page_size: int = 500
    step_s: float = 0.05

    @property
    def machine_types(self) -> tuple[dict[str, Any], ...]:
        """The one machine type of the catalog."""
        return (
            {
                "sku": "small",
                "cores": 4.0,
                "accelerators": 0.0,
                "ram_gb": 8.0,
                "local_gb": 20.0,
                "fetch_gb_per_s": 1.0,
                "hourly": 0.3,
                "low_price": 0.1,
                "startup_s": BOOT_S,
                "roosts": list(ZONES),
            },
        )

    @property
    def spot(self) -> int:
        """How many spot machines the cloud can rent out at once."""
        return math.ceil(self.machines * SPOT_SHARE)

    @property
    def on_demand(self) -> int:
        """How many on-demand machines the cloud can rent out at once."""
        return self.machines - self.spot

    @property
    def zone_capacity(self) -> int:
        """How many machines a zone can have rented at once."""
        return math.ceil(self.machines / len(ZONES))


class LoopbackEnvironment:
    """Owns the emulated programs, their links and the controllers' processes."""

    def __init__(self, seed: int, options: LoopbackOptions, directory: Path) -> None:
        self.random = random.Random(seed)
        names = tuple(f"node-{index}" for index in range(options.controllers))
        self.deployment = LoopbackDeployment(options.machines, names)
        self.workers = Workers(report_s=HEARTBEAT_INTERVAL_S, lease_s=LEASE_S, cancel_s=CANCEL_S)
        self.limits = {team: max_cores or UNLIMITED for team, _, max_cores in TEAMS}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.failing_jobs: set[str] = set()
        self.boot_delay_s = 0.0
        self.run_s: dict[str, float] = {}
        self.faults = LinkFaults(self.random)
        self.network = LoopbackNetwork(self.faults)
        self.checker = InvariantChecker(self)
        self.state_service = StateService(TXN_OPS, self.checker.record_put)
        self.cloud = Cloud(self)
        self.controllers: list[ControllerProcess] = []
        self._public_addresses = {name: self.network.reserve_for_process(name) for name in names}
        self._peer_addresses = {name: self.network.reserve_for_process(name) for name in names}
        self._options = options
        self._directory = directory
        self._background_tasks = BackgroundTasks()

    # ---- interface to the emulated programs --------------------------------------------------

    def background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a background task."""
        self._background_tasks.start(work)

    def public_address(self, node: str) -> str:
        """The address at which a controller accepts requests of workers and users."""
        return self._public_addresses[node]

    def task_fails(self, _task: str) -> bool:
        """Always False: tasks of a soak fail only on faulty machines."""
        return False

    def task_run_s(self, task: str) -> float:
        """How long the task runs, in seconds."""
        job_id = job_id_of(task)
        return math.inf if self.jobs[job_id]["shape"] == "service" else self.run_s[job_id]

    # ---- start and end -----------------------------------------------------------------------

    async def start(self) -> None:
        """Open the links and start the controllers."""
        for index, name in enumerate(self.deployment.nodes):
            addresses = await self._addresses(name)
            text = settings_text(name, ZONES[index % len(ZONES)], addresses)
            controller = ControllerProcess(name, self._options.sources, self._directory, text)
            self.controllers.append(controller)
            controller.start()

    async def _addresses(self, name: str) -> Addresses:
        siblings = []
        for other in self.deployment.nodes:
            if other != name:
                forward = forwarder(
                    self.network.requester(name), self._peer_addresses[other], PEER_TIMEOUT_S
                )
                siblings.append((other, await self.network.open_link(name, other, forward)))
        return Addresses(
            self._public_addresses[name],
            self._peer_addresses[name],
            await self.network.open_link(name, STATE, self.state_service.handle),
            await self.network.open_link(name, CLOUD, self.cloud.handle),
            tuple(siblings),
        )

    def add_job(self, job: PlannedJob) -> None:
        """Add a job. A job of the backlog is written to the state service at once."""
        self.jobs[job.job_id] = job.spec
        self.run_s[job.job_id] = job.run_s
        if job.submit_s < 0:
            spec = msgspec.convert(job.spec, protocol.JobSpec)
            value = encode(JobRecord.from_spec(spec, time.time() + job.submit_s))
            self.state_service.put(f"{KEY_PREFIX}j/{job.job_id}", value)
            self.checker.record_answer(job.job_id, 201, {"status": "queued"})

    @property
    def leader(self) -> str | None:
        """The name of the leader as recorded in the state service."""
        value = self.state_service.keys.get(f"{KEY_PREFIX}lead")
        return None if value is None else str(value.value["node"])

    def close(self) -> None:
        """Kill all controllers, remove all machines and close all links."""
        for controller in self.controllers:
            controller.kill()
        for name in list(self.cloud.machines):
            self.cloud.remove(name)
        self._background_tasks.cancel_all()
        self.network.close()
