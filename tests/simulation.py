"""Runs the controllers and all emulated programs in one process, in virtual time.

The invariant checker observes every task start and every response when it happens, so that the
whole scenario is checked and not only its final state.
"""

from __future__ import annotations

import asyncio
import contextvars
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import orjson

from petrelthread.background_tasks import BackgroundTasks
from petrelthread.controller import Controller
from petrelthread.emulator.cloud import Cloud
from petrelthread.emulator.invariant_checker import InvariantChecker
from petrelthread.emulator.state_service import StateService
from petrelthread.emulator.worker import Worker
from petrelthread.emulator.workload import job_spec as job_spec
from petrelthread.http import NoResponseError
from petrelthread.settings import Settings, parse
from tests.simulated_network import SimulatedNetwork
from tests.virtual_time import PROCESS, VirtualLoop

SETTINGS = """
host_name = "{name}"
zone = "a"
bind = "{name}:1"
peer_listen = "{name}:2"
{siblings}
[endpoints]
cloud = "cloud:1"
state = "state:1"
[cluster]
count = 3
zones = ["a", "b"]
skew_ms = 100.0
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 12.0
[[cluster.teams]]
name = "blue"
cpus = 4.0
cpus_max = 12.0
[[cluster.teams]]
name = "guest"
[[cluster.objectives]]
kind = "finished"
class = "batch"
within_s = 120.0
share = 0.8
[[cluster.objectives]]
kind = "wait"
class = "rush"
within_s = 9.0
share = 0.8
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 36.0
[cluster.state]
rps = 200.0
write_rps = 60.0
value_kb = 4.0
txn_ops = 8
[cluster.cloud]
rps = 10.0
list_lag_s = 4.0
"""
MACHINE_TYPES: list[dict[str, Any]] = [
    {
        "sku": "small",
        "cores": 4.0,
        "accelerators": 0.0,
        "ram_gb": 8.0,
        "local_gb": 20.0,
        "fetch_gb_per_s": 1.0,
        "hourly": 0.3,
        "low_price": 0.1,
        "startup_s": 5.0,
        "roosts": ["a", "b"],
    }
]


NODES = ("n0", "n1", "n2")


@dataclass(frozen=True)
class Deployment:
    """The controllers and machines of a simulation; the defaults are a minimal cluster."""

    text: str = SETTINGS
    nodes: tuple[str, ...] = NODES
    node_zones: tuple[str, ...] = ("a",)
    machine_types: tuple[dict[str, Any], ...] = tuple(MACHINE_TYPES)
    spot: int = 6
    on_demand: int = 6
    step_s: float = 0.1  # interval at which workers advance their tasks
    list_page_size: int = 500  # machines per page of the cloud's list
    zone_capacity: int | None = None

    def zone_of(self, name: str) -> str:
        return self.node_zones[self.nodes.index(name) % len(self.node_zones)]

    def settings_of(self, name: str) -> Settings:
        siblings = "".join(
            f'[[siblings]]\nhost_name = "{n}"\nzone = "{self.zone_of(n)}"\npeer_addr = "{n}:2"\n'
            for n in self.nodes
            if n != name
        )
        text = self.text.format(name=name, siblings=siblings)
        return parse(text.replace('zone = "a"', f'zone = "{self.zone_of(name)}"', 1))


SMALL = Deployment()


def settings_of(name: str) -> Settings:
    return SMALL.settings_of(name)


class Simulation:
    """The controllers, workers, cloud, state service and invariant checker of one scenario."""

    def __init__(self, seed: int = 1, deployment: Deployment = SMALL) -> None:
        self.deployment = deployment
        cluster = deployment.settings_of(deployment.nodes[0]).cluster
        self.workers, self.state_limits = cluster.workers, cluster.state
        self.limits = {team.name: team.max_cores for team in cluster.teams}
        self.random = random.Random(seed)
        self.run_s = 5.0
        self.run_s_by_job: dict[str, float] = {}  # by job id; others run for run_s
        self.run_time_spread_s = 0.0  # range of run times within a job
        self.boot_delay_s = 0.0  # extra boot time of machines rented from now on
        self.failing_jobs: set[str] = set()  # jobs whose tasks fail on every machine
        self.failing_tasks: set[str] = set()  # tasks that fail on every machine
        self.jobs: dict[str, dict[str, Any]] = {}
        self.checker = InvariantChecker(self)
        self.network = SimulatedNetwork(self)
        self.state_service = StateService(cluster.state.txn_ops, self.checker.record_put)
        self.cloud = Cloud(self)
        self.network.hosts["state:1"] = self.state_service.handle
        self.network.hosts["cloud:1"] = self.cloud.handle
        self.nodes: dict[str, Controller] = {}
        self._controller_tasks: dict[str, asyncio.Task[None]] = {}
        self._background_tasks = BackgroundTasks()
        for name in deployment.nodes:
            self.boot(name)

    def background(self, work: Any) -> None:
        self._background_tasks.start(work)

    def public_address(self, node: str) -> str:
        return f"{node}:1"

    def task_fails(self, task_id: str) -> bool:
        return task_id in self.failing_tasks or task_id.rpartition("/")[0] in self.failing_jobs

    def task_run_s(self, task_id: str) -> float:
        job_id, _, task = task_id.rpartition("/")
        if self.jobs[job_id]["shape"] == "service":
            return math.inf
        extra_s = int(task) * 0.37 % 1.0 * self.run_time_spread_s
        return self.run_s_by_job.get(job_id, self.run_s) + extra_s

    # ---- controllers -------------------------------------------------------------------------

    def boot(self, name: str) -> None:
        node = Controller(
            self.deployment.settings_of(name), self.network.requester(name), self.random
        )
        self.nodes[name] = node
        context = contextvars.copy_context()
        context.run(PROCESS.set, name)
        self._controller_tasks[name] = context.run(asyncio.ensure_future, node.run())

        async def public(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            data = orjson.dumps(body) if body is not None else b""
            response = await node.handle(method, target, data)
            return response.status, orjson.loads(response.body)

        async def peer(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            response = await node.handle_peer(method, target, orjson.dumps(body))
            return response.status, orjson.loads(response.body)

        self.network.hosts[f"{name}:1"] = public
        self.network.hosts[f"{name}:2"] = peer

    def crash(self, name: str) -> None:
        self._controller_tasks.pop(name).cancel()
        self.nodes.pop(name)
        del self.network.hosts[f"{name}:1"], self.network.hosts[f"{name}:2"]

    @property
    def loop(self) -> VirtualLoop:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        return loop

    async def pause(self, name: str, for_s: float) -> None:
        """Suspend a controller: clocks advance, and requests to it wait until it resumes."""
        self.loop.paused.add(name)
        await asyncio.sleep(for_s)
        self.loop.resume(name)

    @property
    def leader(self) -> str | None:
        return next((n for n, node in self.nodes.items() if node.election.is_leader), None)

    async def wait_for_leader(self) -> str:
        while self.leader is None:
            await asyncio.sleep(0.1)
        return self.leader

    # ---- users ---------------------------------------------------------------------------------

    async def ask(self, node: str, method: str, target: str, body: Any = None) -> tuple[int, Any]:
        response = await self.network.requester("user")(
            f"{node}:1", method, target, body, timeout=5.0
        )
        return response.status, orjson.loads(response.body)

    async def ask_admin(self, node: str, path: str) -> tuple[int, Any]:
        request = self.network.requester("operator")
        response = await request(f"{node}:2", "GET", f"/admin/v1/{path}", timeout=5.0)
        return response.status, orjson.loads(response.body)

    async def submit(
        self, spec: dict[str, Any], tries: int = 60, nodes: Sequence[str] = ()
    ) -> None:
        self.jobs[spec["name_id"]] = spec
        for _ in range(tries):
            for node in nodes or self.deployment.nodes:
                try:
                    status, response = await self.ask(node, "POST", "/v2/runs", spec)
                except NoResponseError:
                    continue
                self.checker.record_answer(spec["name_id"], status, response)
                if status in (200, 201):
                    return
            await asyncio.sleep(1.0)
        raise AssertionError(f"{spec['name_id']} was not accepted")

    async def cancel(self, job_id: str) -> str:
        while True:
            for node in self.deployment.nodes:
                status = await self.try_to_cancel(job_id, node)
                if status is not None:
                    return status
            await asyncio.sleep(1.0)

    async def try_to_cancel(self, job_id: str, node: str) -> str | None:
        """Send one cancel request to one controller. The job's status if the response has one."""
        self.checker.cancel_requested.add(job_id)
        try:
            status, response = await self.ask(node, "POST", f"/v2/runs/{job_id}/withdraw")
        except NoResponseError:
            return None
        self.checker.record_answer(job_id, status, response)
        if status != 200:
            return None
        if response["status"] == "aborted":
            self.checker.cancelled_at.setdefault(job_id, asyncio.get_running_loop().time())
        return str(response["status"])

    async def poll(self) -> None:
        for job_id in self.jobs:
            for node in self.deployment.nodes:
                try:
                    status, response = await self.ask(node, "GET", f"/v2/runs/{job_id}")
                except NoResponseError:
                    continue
                self.checker.record_answer(job_id, status, response)
        self.checker.check_answers()
        self.checker.check_waiting_jobs()

    async def wait_until_jobs_final(self, within_s: float) -> None:
        """Query every job on every controller until all jobs have a final status."""
        end = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < end:
            await self.poll()
            self.checker.check_cancellations()
            assert not self.checker.violations, self.checker.violations
            if all(self.checker.statuses.get(j) in ("done", "aborted") for j in self.jobs):
                return
            await asyncio.sleep(1.0)
        statuses = {j: self.checker.statuses.get(j) for j in self.jobs}
        raise AssertionError(f"jobs without a final status after {within_s} s: {statuses}")

    async def run_without_faults(self, for_s: float) -> None:
        """Tell the checker that all faults have ended; users keep querying jobs every 5 s."""
        self.checker.faults_ended_at = asyncio.get_running_loop().time()
        for _ in range(int(for_s / 5.0)):
            await asyncio.sleep(5.0)
            await self.poll()
            self.checker.check_cancellations()

    async def wait_until_running(self, count: int) -> list[str]:
        """Wait until at least ``count`` tasks run, and return the ids of all that run."""
        while True:
            running = [
                task_id for task_id, machines in self.checker.machines_by_task.items() if machines
            ]
            if len(running) >= count:
                return running
            await asyncio.sleep(0.1)

    async def machines_of_running_tasks(self, count: int) -> set[str]:
        """Wait until at least ``count`` tasks run, and return the names of their machines."""
        return {
            self.worker_running(task_id).name for task_id in await self.wait_until_running(count)
        }

    def worker_running(self, task_id: str) -> Worker:
        name = next(iter(self.checker.machines_by_task[task_id]))
        worker: Worker = self.cloud.machines[name].worker
        return worker
