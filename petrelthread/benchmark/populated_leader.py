"""A leader with many machines, built in this process; all of its network requests fail."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

import msgspec

from petrelthread import protocol
from petrelthread.controller import Controller
from petrelthread.emulator.workload import job_spec
from petrelthread.fleet import Health
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.settings import Settings, parse
from petrelthread.state import ClusterState, Job, JobRecord, KeyKind, encode, epoch_base_number

EPOCH = 3
MACHINE_CORES = 4.0
TASK_CORES = 2.0
IMAGES = 20
RUNNING_JOBS = 20  # fixed, so that benchmark runs differ in the number of machines only
TASKS_PER_WAITING_JOB = 200
ZONE = "a"
TEAM = "red"

SETTINGS = """
host_name = "n0"
zone = "a"
bind = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
count = 1
zones = ["a"]
skew_ms = 250.0
[[cluster.teams]]
name = "red"
cpus = 100.0
cpus_max = 1e9
[cluster.workers]
report_s = 4.0
lease_s = 22.0
cancel_s = 52.0
[cluster.state]
rps = 150.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 8
[cluster.cloud]
rps = 6.0
list_lag_s = 8.0
"""

MACHINE_TYPE = protocol.MachineType(
    name="small",
    cores=MACHINE_CORES,
    accelerators=0.0,
    ram_gb=8.0,
    local_disk_gb=40.0,
    fetch_gb_per_s=0.6,
    on_demand_price=0.26,
    spot_price=0.09,
    boot_s=25.0,
    zones=(ZONE,),
)


async def fail_request(*_request: Any, **_options: Any) -> ClientResponse:
    """Fail any network request, as if no host were reachable."""
    raise NoResponseError("no network", False)


class PopulatedLeader:
    """A controller that leads, with ``machines`` machines: half of them full, half empty."""

    def __init__(self, machines: int, seed: int = 1) -> None:
        self.settings: Settings = parse(SETTINGS)
        self.controller = Controller(self.settings, fail_request, random.Random(seed))
        self._random = random.Random(seed)
        self._job_count = 0
        self._newest_job: Job | None = None
        self._stored: dict[int, list[Any]] = {}
        self._tasks_per_job = max(1, machines // RUNNING_JOBS)
        self.state: ClusterState = self.controller.cluster_state
        now = asyncio.get_running_loop().time()
        self.controller.fleet.begin_leadership(EPOCH, now)
        self.controller.scheduler.begin_epoch(EPOCH)
        self.controller.provisioner.machine_types[self.state.names.machine_types.index("small")] = (
            MACHINE_TYPE
        )
        self.heartbeats = [self._add_machine(number, now) for number in range(machines)]

    def add_pending_job(self, tasks: int, image: int, **attributes: Any) -> Job:
        """Add a job to the cluster state, as if it had been read from the state service.

        ``attributes`` are attributes of ``protocol.JobSpec`` that differ from the defaults.
        """
        self._job_count += 1
        spec = job_spec(
            f"wk-{self._job_count:06d}",
            tasks,
            team=TEAM,
            image=f"img-{image:02d}",
            image_size_gb=1.5,
            **{"cores": TASK_CORES, **attributes},
        )
        record = JobRecord.from_spec(msgspec.convert(spec, protocol.JobSpec), time.time())
        job = self._newest_job = self.state.add_job(str(spec["name_id"]), record)
        self._stored[job.index] = encode(record)
        return job

    def stored_record(self, job: Job) -> list[Any]:
        """Return the job's record as the state service stores it."""
        return self._stored[job.index]

    def _add_machine(self, number: int, now: float) -> protocol.WorkerHeartbeat:
        """Register a machine, with tasks if ``number`` is odd, and return its heartbeat."""
        fleet = self.controller.fleet
        name = f"host-{number:06d}"
        machine = fleet.get_or_add(name, now)
        machine.machine_type, machine.zone, machine.spot = 0, 0, True
        machine.scale_out_key = KeyKind.SCALE_OUT.key(f"{EPOCH}-{number // 50}")
        for _ in range(IMAGES // 2):
            image = self.state.names.images.index(f"img-{self._random.randrange(IMAGES):02d}")
            machine.use_image(image, 1.5, MACHINE_TYPE.local_disk_gb)
        tasks = self._run_tasks(number, machine.index) if number % 2 else []
        heartbeat = protocol.WorkerHeartbeat(
            name, 1, 1, f"10.0.0.1:{number}", "small", ZONE, True, EPOCH, None, tasks
        )
        fleet.on_heartbeat(heartbeat, now, answered=True)
        machine.transition(Health.UP)
        return heartbeat

    def _run_tasks(self, number: int, machine: int) -> list[protocol.TaskReport]:
        tasks = []
        for _ in range(int(MACHINE_CORES / TASK_CORES)):
            job = self._newest_job
            if job is None or job.pending_count == 0:
                job = self.add_pending_job(self._tasks_per_job, self._random.randrange(IMAGES))
            task = next(job.pending_tasks())
            # A round of the previous epoch; the machine's heartbeat confirms its attempts.
            attempt = epoch_base_number(EPOCH - 1) + 1 + number
            self.state.add_attempt(attempt, job, task, machine, 1)
            task_id = protocol.task_id(job.id, task)
            tasks.append(protocol.TaskReport(task_id, attempt, protocol.TaskState.RUNNING))
        return tasks
