"""A small deployment on loopback: stand-ins after PROTOCOL and real controller processes."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parent))

from http_pipes import Caller, Listener, Reset, reserve_port
from state_service import Bucket, StateService

ROOT = Path(__file__).resolve().parents[2]
REPORT_TIMEOUT_S, COMMAND_HANG_S, LEAST_REPORT_GAP_S = 4.0, 60.0, 0.5
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, POLL_S = 5.0, 2.0, 5.0
FINAL = ("done", "aborted")
LIMIT_S = 116.0  # for one case
OK, MISSING, MISDIRECTED = 200, 404, 421
GRANITE_OBJECTIVES = """[[cluster.objectives]]
kind = "finished"
class = "route-backfill"
within_s = 180.0
share = 0.8
[[cluster.objectives]]
kind = "deadline"
class = "billing-rollup"
share = 0.8
times = 1.0
[[cluster.objectives]]
kind = "wait"
class = "billing-rollup"
within_s = 4.0
share = 0.8
"""
VELOTUNIS_OBJECTIVES = """[[cluster.objectives]]
kind = "finished"
class = "fare-reconcile"
within_s = 250.0
share = 0.78
[[cluster.objectives]]
kind = "deadline"
class = "rebalance-plan"
share = 0.88
times = 1.0
[[cluster.objectives]]
kind = "wait"
class = "rebalance-plan"
within_s = 40.0
share = 0.88
"""


@dataclass
class Site:
    """Settings of the deployment, as in its site file."""

    zones: tuple[str, ...]
    node_zones: tuple[str, ...]
    report_s: float
    lease_s: float
    cancel_s: float
    state: dict[str, float]
    cloud: dict[str, float]
    teams: int
    team_name: str
    cpus: float
    cpus_max: float
    sku: dict[str, Any]
    machines: int
    boot_s: float
    skew_ms: float
    limits: str
    objectives: str
    spot: int | None = None  # spot machines among ``machines``; None: any share


def granite(machines: int, boot_s: float) -> Site:
    """granite-meter-ops: ../given/kit/sites/granite-meter-ops.toml and BRIEF."""
    sku = {
        "sku": "yard-small",
        "cores": 4,
        "accelerators": 0,
        "ram_gb": 8,
        "local_gb": 40,
        "fetch_gb_per_s": 0.6,
        "hourly": 0.26,
        "low_price": 0.09,
        "startup_s": 25,
        "roosts": ["merrimack-dc"],
    }
    return Site(
        zones=("merrimack-dc",),
        node_zones=("merrimack-dc",) * 3,
        report_s=3.0,
        lease_s=22.0,
        cancel_s=52.0,
        state={"rps": 100.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 8},
        cloud={"rps": 5.0, "list_lag_s": 8.0},
        teams=16,
        team_name="meter-platform",
        cpus=8.0,
        cpus_max=70.0,
        sku=sku,
        machines=machines,
        boot_s=boot_s,
        skew_ms=250.0,
        limits="cpu = 0.288\nram_mb = 186.0\nmax_connections = 1500\n",
        objectives=GRANITE_OBJECTIVES,
    )


def velotunis(machines: int, boot_s: float) -> Site:
    """velotunis-core: ../given/kit/sites/velotunis-core.toml and BRIEF; its smallest machine."""
    zones = ("lac-zone", "medina-zone", "marsa-zone")
    sku = {
        "sku": "petit-node",
        "cores": 4,
        "accelerators": 0,
        "ram_gb": 32,
        "local_gb": 35,
        "fetch_gb_per_s": 0.25,
        "hourly": 0.2,
        "low_price": 0.05,
        "startup_s": 30,
        "roosts": list(zones),
    }
    return Site(
        zones=zones,
        node_zones=zones,
        report_s=1.5,
        lease_s=12.0,
        cancel_s=37.0,
        state={"rps": 200.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 12},
        cloud={"rps": 3.0, "list_lag_s": 6.0},
        teams=16,
        team_name="flotte-ops",
        cpus=16.0,
        cpus_max=24.0,
        sku=sku,
        machines=machines,
        boot_s=boot_s,
        skew_ms=1000.0,
        limits="cpu = 0.36\nram_mb = 146.0\nmax_connections = 1000\n",
        objectives=VELOTUNIS_OBJECTIVES,
    )


@dataclass
class Run:
    """One attempt of a task on a worker."""

    status: str
    changed_at: float
    cause: str | None = None


class Worker:
    """One machine and its worker."""

    def __init__(self, world: World, name: str, zone: str, spot: bool) -> None:
        self._world, self.name, self.zone, self.spot = world, name, zone, spot
        self.rented_at = world.now()
        self.listener = Listener(self._handle)
        self._bound = reserve_port()
        self.address = f"127.0.0.1:{self._bound.getsockname()[1]}"
        self.up = self.gone = self.cut = False
        self.flight, self.tick, self.baton = 1, 0, 0
        self.runs: dict[tuple[str, int], Run] = {}
        self._images: dict[str, float] = {}  # image: when it is here
        self._renewed_at = 0.0
        self._node = world.random.randrange(len(world.controllers))
        self._changed = asyncio.Event()
        self._token_reported_at = 0.0
        self._caller = Caller()
        self._tasks = [asyncio.create_task(self._live())]

    def remove(self) -> None:
        """End the machine and everything on it."""
        self.gone = True
        for task in self._tasks:
            task.cancel()
        self.listener.close()
        self._bound.close()
        self._kill_all("machine gone")

    def _kill_all(self, why: str) -> None:
        for (leg, number), run in self.runs.items():
            if run.status == "running":
                self._world.ended(leg, self.name, number, why)
        self.runs.clear()

    async def _live(self) -> None:
        await asyncio.sleep(self._world.site.boot_s * self._world.random.uniform(0.8, 1.2))
        self.up = True
        self._renewed_at = self._world.now()
        await self.listener.open(self._bound)
        self._tasks.append(asyncio.create_task(self._report_forever()))
        while True:
            await asyncio.sleep(0.05)
            self._advance()

    def _advance(self) -> None:
        now = self._world.now()
        if now - self._renewed_at > self._world.site.lease_s:
            self._kill_all("lease over")
            self.flight += 1
            self._renewed_at = now
            self._changed.set()
            self._world.note(f"{self.name} begins session {self.flight}")
        for (leg, number), run in list(self.runs.items()):
            job = self._world.jobs[leg.partition("/")[0]]
            if run.status == "fetching" and now >= self._images.get(job["bundle"], 0.0):
                run.status, run.changed_at = "running", now
                self._world.started(leg, self.name, number)
                if leg in self._world.finished:
                    self._end(leg, number, run, "done")
                self._changed.set()
            elif run.status == "running" and now >= run.changed_at + self._world.run_s(leg):
                self._end(leg, number, run, "done")

    def _end(self, leg: str, number: int, run: Run, cause: str) -> None:
        if run.status == "running":
            self._world.ended(leg, self.name, number, cause)
        run.status, run.cause = "ended", cause
        if cause == "done":
            self._world.finished.add(leg)
        self._changed.set()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["leg"], order["try"])
            run = self.runs.get(key)
            if order["verb"] == "launch" and run is None:
                self._launch(*key)
            elif order["verb"] == "halt" and run is not None and run.status != "ended":
                self._end(*key, run, "stopped")
            elif order["verb"] == "forget" and run is not None and run.status == "ended":
                del self.runs[key]
                self._changed.set()

    def _launch(self, leg: str, number: int) -> None:
        world = self._world
        now = world.now()
        job = world.jobs.get(leg.partition("/")[0])
        live = [other for other, run in self.runs.items() if run.status != "ended"]
        used = sum(world.jobs[other.partition("/")[0]]["cores"] for other, _ in live)
        cause = None
        if job is None or int(leg.partition("/")[2]) >= job["legs"]:
            cause = "unknown"
        elif any(other == leg for other, _ in live):
            cause = "in_use"
        elif used + job["cores"] > world.site.sku["cores"] + 1e-6:
            cause = "full"
        world.note(f"{self.name} told to launch {leg} try {number}: {cause or 'accepted'}")
        self.runs[leg, number] = Run("ended" if cause else "fetching", now, cause)
        if cause is None and job is not None:
            fetch_s = job["size_gb"] / world.site.sku["fetch_gb_per_s"]
            self._images.setdefault(job["bundle"], now + fetch_s)
        self._changed.set()

    def _report(self) -> dict[str, Any]:
        self.tick += 1
        legs = []
        for (leg, number), run in self.runs.items():
            entry = {"leg": leg, "try": number, "status": run.status}
            if run.cause is not None:
                entry["cause"] = run.cause
            legs.append(entry)
        return {
            "perch": self.name,
            "addr": self.address,
            "hull": self._world.site.sku["sku"],
            "roost": self.zone,
            "driftwood": self.spot,
            "flight": self.flight,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": None,
            "legs": legs,
        }

    async def _handle(self, _method: str, target: str, body: Any) -> tuple[int, Any]:
        if self.cut:
            await asyncio.sleep(COMMAND_HANG_S)
            raise Reset
        if target == "/show":
            return 200, self._report()
        if "baton" not in body or "flight" not in body:
            return 400, {}
        if body["baton"] < self.baton or body["flight"] != self.flight:
            return 409, self._report()
        self._adopt(body["baton"])
        self._execute(body["orders"])
        return 200, self._report()

    def _adopt(self, baton: int) -> None:
        now = self._world.now()
        if baton > self.baton:
            self.baton = baton
            if now - self._token_reported_at > self._world.site.lease_s / 2:
                self._token_reported_at = now
                self._changed.set()

    async def _report_forever(self) -> None:
        while True:
            self._changed.clear()
            sent_at, flight = self._world.now(), self.flight
            pause_s = await self._report_once(sent_at, flight)
            if pause_s is not None:
                await asyncio.sleep(pause_s)
                continue
            await asyncio.sleep(LEAST_REPORT_GAP_S)
            wait_s = self._world.site.report_s * self._world.random.uniform(0.75, 1.25)
            try:
                async with asyncio.timeout(wait_s - LEAST_REPORT_GAP_S):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _report_once(self, sent_at: float, flight: int) -> float | None:
        """Send one report; return the pause before the next node, None to stay."""
        nodes = self._world.controllers
        if self.cut:
            await asyncio.sleep(REPORT_TIMEOUT_S)
            answer = None
        else:
            address = nodes[self._node].public
            answer = await self._caller.call(
                address, "POST", "/checkin", self._report(), REPORT_TIMEOUT_S
            )
        if answer is not None and answer[0] == OK and not self.cut:
            content = answer[1]
            if content.get("baton", -1) >= self.baton and flight == self.flight:
                self._renewed_at = max(self._renewed_at, sent_at)
                self._adopt(content["baton"])
                self._execute(content["orders"])
            return None
        names = [node.name for node in nodes]
        home = answer[1].get("home") if answer is not None and answer[0] == MISDIRECTED else None
        if home in names and names.index(home) != self._node:
            self._node = names.index(home)
            return self._world.random.uniform(0.0, 0.5)
        self._node = (self._node + 1) % len(nodes)
        return 1.0


class Cloud:
    """Rents machines; its list lags."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.machines: dict[str, Worker] = {}
        self._answers: dict[str, list[str]] = {}
        self._deleted: list[tuple[float, dict[str, Any]]] = []
        self._count = 0
        self._calls = Bucket(2 * world.site.cloud["rps"])
        self._calls_at: list[float] = []
        self.down = False

    async def handle(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Answer one call."""
        await asyncio.sleep(self._world.random.uniform(0.1, 0.25))
        if self.down:
            return 503, {"error": "trouble"}
        now = self._world.now()
        rate = self._world.site.cloud["rps"]
        self._calls_at = [at for at in self._calls_at if at > now - 2.0]
        if len(self._calls_at) >= 2 * rate + 2:
            return 429, {"error": "too many"}
        self._calls_at.append(now)
        url = urlsplit(target)
        if url.path == "/catalog":
            return 200, {"hulls": [self._world.site.sku]}
        if url.path == "/hosts/return":
            for name in body["perches"]:
                self.remove(name)
            self._world.note(f"cloud: returned {' '.join(body['perches'])}")
            return 200, {}
        if method == "POST":
            return self._rent(body)
        return self._list({k: v[0] for k, v in parse_qs(url.query).items()})

    def remove(self, name: str) -> None:
        """End a machine."""
        worker = self.machines.pop(name, None)
        if worker is not None:
            self._deleted.append((self._world.now(), self._entry(worker)))
            worker.remove()

    def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        charter = body["charter"]
        if charter not in self._answers:
            free = self._free(body["driftwood"])
            count = min(body["count"], free, 50)
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(count):
                self._count += 1
                name = f"host-{self._count:06d}"
                self.machines[name] = Worker(self._world, name, body["roost"], body["driftwood"])
                names.append(name)
            self._answers[charter] = names
            self._world.note(f"cloud: rented {' '.join(names)}")
        return 200, {"perches": self._answers[charter]}

    def _free(self, spot: bool) -> int:
        site = self._world.site
        if site.spot is None:
            return site.machines - len(self.machines)
        limit = site.spot if spot else site.machines - site.spot
        return limit - sum(worker.spot == spot for worker in self.machines.values())

    def _entry(self, worker: Worker) -> dict[str, Any]:
        return {
            "name_id": worker.name,
            "addr": worker.address,
            "hull": self._world.site.sku["sku"],
            "roost": worker.zone,
            "driftwood": worker.spot,
            "status": "running" if worker.up else "starting",
            "held_s": round(self._world.now() - worker.rented_at, 1),
        }

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        as_of = self._world.now() - self._world.site.cloud["list_lag_s"]
        entries = [self._entry(w) for w in self.machines.values() if w.rented_at <= as_of]
        entries += [
            entry
            for at, entry in self._deleted
            if at > as_of and self._world.now() - entry["held_s"] <= as_of
        ]
        entries.sort(key=lambda entry: entry["name_id"])
        entries = [entry for entry in entries if entry["name_id"] > query.get("from", "")]
        limit = min(500, int(query.get("limit", "500")))
        return 200, {"perches": entries[:limit], "more": len(entries) > limit}


class Controller:
    """One controller process, started with the command of the deploy file."""

    def __init__(self, world: World, index: int) -> None:
        self._world = world
        self.name = f"perch-{index}"
        self.zone = world.site.node_zones[index]
        self._sockets = [reserve_port(), reserve_port()]
        self.public, self.peer = (f"127.0.0.1:{bound.getsockname()[1]}" for bound in self._sockets)
        self._settings = world.directory / f"{self.name}.toml"
        self.log = world.directory / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self.unexpected_ends = 0
        self.healthy = False  # as the load balancer sees it
        self._probes: list[bool] = []

    def on_probe(self, ready: bool) -> None:
        """Apply a probe of the load balancer: two failures or two successes in a row count."""
        self._probes = [*self._probes[-1:], ready]
        if not self.healthy:
            self.healthy = all(self._probes) and (len(self._probes) > 1 or ready)
        elif not any(self._probes):
            self.healthy = False

    def write_settings(self, state: str, cloud: str, siblings: list[Controller]) -> None:
        """Write the settings file."""
        site = self._world.site
        parts = [
            f'host_name = "{self.name}"\nzone = "{self.zone}"\nbind = "{self.public}"\n'
            f'peer_listen = "{self.peer}"\n'
        ]
        parts += [
            f'[[siblings]]\nhost_name = "{s.name}"\nzone = "{s.zone}"\npeer_addr = "{s.peer}"\n'
            for s in siblings
        ]
        zones = ", ".join(f'"{zone}"' for zone in site.zones)
        parts.append(
            f'[endpoints]\ncloud = "{cloud}"\nstate = "{state}"\n[cluster]\n'
            f"count = {len(siblings) + 1}\nzones = [{zones}]\nskew_ms = {site.skew_ms}\n"
        )
        parts += [
            f'[[cluster.teams]]\nname = "{name}"\ncpus = {site.cpus}\n'
            f"cpus_max = {site.cpus_max}\ngpus = 0.0\ngpus_max = 0.0\n"
            for name in self._world.team_names
        ]
        parts.append(site.objectives)
        state_limits = "\n".join(f"{name} = {value}" for name, value in site.state.items())
        cloud_limits = "\n".join(f"{name} = {value}" for name, value in site.cloud.items())
        parts.append(
            f"[cluster.workers]\nreport_s = {site.report_s}\nlease_s = {site.lease_s}\n"
            f"gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = {site.cancel_s}\n"
            f"[cluster.state]\n{state_limits}\n[cluster.cloud]\n{cloud_limits}\n"
            f"[cluster.machine_limits]\n{site.limits}"
        )
        self._settings.write_text("".join(parts), encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/service.toml").read_text(encoding="utf-8"))
        command = [*deploy["run"].split(), str(self._settings)]
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stderr=log, stdout=log
            )
        self._world.note(f"{self.name} started as process {self._process.pid}")

    @property
    def running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.poll() is None

    def check(self) -> None:
        """Restart the process if it ended by itself."""
        if self._process is not None and not self.running:
            self.unexpected_ends += 1
            self._world.note(f"{self.name} ended by itself with {self._process.returncode}")
            self.start()

    def memory_mb(self) -> float:
        """Memory that only this process holds: anonymous pages, without files and libraries."""
        if self._process is None or not self.running:
            return 0.0
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="utf-8")
        lines = [line for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None
            self._world.note(f"{self.name} killed")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.running:
            self._process.send_signal(number)
            self._world.note(f"{self.name}: {number.name}")


@dataclass
class Seen:
    """What users were told of one job."""

    accepted_at: float | None = None
    final: str | None = None
    final_at: float = 0.0
    cancelled: bool = False
    polls: list[tuple[float, int]] = field(default_factory=list)


class World:
    """All parts, the record and the rules."""

    def __init__(self, site: Site, record: Path, seed: int = 1) -> None:
        self.site = site
        self.random = random.Random(seed)
        self._record = record.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.directory = Path(tempfile.mkdtemp(prefix="petrelthread-review-"))
        self.team_names = [f"{site.team_name}-{n:02d}" for n in range(site.teams)]
        self.jobs: dict[str, dict[str, Any]] = {}
        self.times: dict[str, float] = {}
        self.finished: set[str] = set()
        self.on: dict[str, dict[str, int]] = {}  # machines that each task is on, with the try
        self.seen: dict[str, Seen] = {}
        self.broken: list[str] = []
        self.starts = 0
        self.controllers: list[Controller] = []
        self.state = StateService(site.state)
        self.cloud = Cloud(self)
        self.listeners: list[Listener] = []
        self._caller = Caller()
        self._tasks: set[asyncio.Task[Any]] = set()

    # ---- record and rules ------------------------------------------------------------------

    def now(self) -> float:
        """Seconds on the steady clock."""
        return time.monotonic()

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._record.flush()

    def breaks(self, rule: str, text: str) -> None:
        """Record a broken rule."""
        self.broken.append(rule)
        self.note(f"RULE BROKEN {rule}: {text}")

    def run_s(self, leg: str) -> float:
        """How long a task runs."""
        return self.times[leg.partition("/")[0]]

    def started(self, leg: str, machine: str, number: int) -> None:
        """A task is on a machine from now on."""
        self.starts += 1
        job_id = leg.partition("/")[0]
        places = self.on.setdefault(leg, {})
        self.note(f"{leg} try {number} starts on {machine}")
        if places:
            where = ", ".join(f"{name} (try {n})" for name, n in places.items())
            self.breaks("ran_twice", f"{leg} starts on {machine} while it is on {where}")
        places[machine] = number
        seen = self.seen.get(job_id)
        if seen is not None and seen.final == "aborted":
            late_s = self.now() - seen.final_at
            self.note(f"{leg} starts {late_s:.2f} s after its cancellation was confirmed")
            if late_s > self.site.cancel_s:
                self.breaks("ran_cancelled", f"{leg} starts {late_s:.1f} s after cancellation")
        self._check_quota(self.jobs[job_id]["crew"])

    def _check_quota(self, crew: str) -> None:
        used = sum(
            self.jobs[leg.partition("/")[0]]["cores"] * len(places)
            for leg, places in self.on.items()
            if self.jobs[leg.partition("/")[0]]["crew"] == crew
        )
        if used > self.site.cpus_max + 1e-6:
            self.breaks("quota", f"{crew} uses {used:g} cores of {self.site.cpus_max:g}")

    def ended(self, leg: str, machine: str, number: int, why: str) -> None:
        """A task is no longer on a machine."""
        self.on.get(leg, {}).pop(machine, None)
        self.note(f"{leg} try {number} ends on {machine}: {why}")

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job is on a machine past the deadline."""
        for leg, places in self.on.items():
            seen = self.seen.get(leg.partition("/")[0])
            if not places or seen is None or seen.final != "aborted":
                continue
            late_s = self.now() - seen.final_at
            if late_s > self.site.cancel_s:
                self.breaks("ran_cancelled", f"{leg} on {', '.join(places)} after {late_s:.1f} s")
                seen.final_at = float("inf")

    # ---- users -----------------------------------------------------------------------------

    def spec(self, job_id: str, legs: int, run_s: float, **fields: Any) -> dict[str, Any]:
        """A job of the class billing-rollup unless ``fields`` say otherwise."""
        job = {
            "name_id": job_id,
            "jobclass": "billing-rollup",
            "crew": self.random.choice(self.team_names),
            "shape": "array",
            "rank": "high",
            "legs": legs,
            "cores": 2.0,
            "accelerators": 0.0,
            "ram_gb": 1.9,
            "bundle": f"img-{self.random.randrange(4):02d}",
            "size_gb": 0.6,
            "hulls": None,
            "roost": None,
            "same_place": False,
            "scatter": False,
            "driftwood": True,
            "guess_s": run_s,
            "mark_s": 0.0,
            "stow_s": 0.0,
            "due_s": None,
            **fields,
        }
        self.jobs[job_id] = job
        self.times[job_id] = run_s
        return job

    def answered(self, job_id: str, what: str, status: int, body: Any, asked_at: float) -> None:
        """Record an answer to a user and check it against what was told before."""
        seen = self.seen.setdefault(job_id, Seen())
        told = body.get("status") if isinstance(body, dict) else None
        self.note(f"user: {what} {job_id}: {status} {told or ''}")
        if status in (200, 201) and seen.accepted_at is None:
            seen.accepted_at = self.now()
        if status == MISSING and seen.accepted_at is not None and seen.accepted_at < asked_at:
            self.breaks("forgotten", f"{what} {job_id}: 404 after it was accepted")
        if what == "submit" and status in (400, 422) and seen.accepted_at is not None:
            self.breaks("forgotten", f"submit {job_id}: {status} after it was accepted")
        if status not in (200, 201):
            return
        if seen.final is not None and told != seen.final and seen.final_at < asked_at:
            self.breaks("went_back", f"{job_id} called {told} after {seen.final}")
        if told == "aborted" and not seen.cancelled:
            self.breaks("went_back", f"{job_id} called aborted, nobody cancelled it")
        if told == "done" and not all(
            f"{job_id}/{n}" in self.finished for n in range(self.jobs[job_id]["legs"])
        ):
            self.breaks("not_done", f"{job_id} called done too early")
        if told in FINAL and seen.final is None:
            seen.final, seen.final_at = told, self.now()

    async def ask(
        self, node: Controller, method: str, job_id: str, suffix: str = "", timeout: float = 2.0
    ) -> tuple[int, Any] | None:
        """Send one request of a user about a job to a node."""
        what = {"GET": "query"}.get(method, "cancel" if suffix else "submit")
        target = "/v2/runs" if what == "submit" else f"/v2/runs/{job_id}{suffix}"
        body = self.jobs[job_id] if what == "submit" else None
        asked_at = self.now()
        if what == "cancel":
            self.seen.setdefault(job_id, Seen()).cancelled = True
        answer = await self._caller.call(node.public, method, target, body, timeout)
        if answer is None:
            return None
        self.answered(job_id, what, answer[0], answer[1], asked_at)
        return answer[0], answer[1]

    async def insist(self, method: str, job_id: str, suffix: str = "") -> tuple[int, Any] | None:
        """Repeat a submission or cancellation for up to 60 s until it is answered."""
        ends_at = self.now() + 60.0
        while self.now() < ends_at:
            node = self.random.choice([c for c in self.controllers if c.healthy] or [None])
            answer = None
            for _ in range(3):  # the load balancer tries up to three nodes for a connection
                if node is None or node.running:
                    break
                node = self.random.choice([c for c in self.controllers if c.healthy] or [None])
            if node is not None:
                answer = await self.ask(node, method, job_id, suffix, SUBMIT_TIMEOUT_S)
            if answer is not None and answer[0] in (200, 201, 400, 422):
                return answer
            await asyncio.sleep(self.random.uniform(1.0, 1.5))
        return None

    def background(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine until the world ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # ---- life ------------------------------------------------------------------------------

    async def open(self) -> None:
        """Open the stand-ins and start the controllers."""
        self.controllers += [Controller(self, n) for n in range(len(self.site.node_zones))]
        for controller in self.controllers:
            addresses = []
            for handler in (self._state_link(controller.name), self.cloud.handle):
                listener = Listener(handler)
                addresses.append(await listener.open())
                self.listeners.append(listener)
            siblings = [other for other in self.controllers if other is not controller]
            controller.write_settings(addresses[0], addresses[1], siblings)
        for controller in self.controllers:
            controller.start()
        self.background(self.balance())

    def _state_link(self, name: str) -> Any:
        async def handle(method: str, target: str, body: Any) -> tuple[int, Any]:
            return await self.state.handle(name, method, target, body)

        return handle

    async def balance(self) -> None:
        """Probe the nodes once a second, as the load balancer does."""
        while True:
            for controller in self.controllers:
                self.background(self._probe(controller))
            await asyncio.sleep(1.0)

    async def _probe(self, controller: Controller) -> None:
        answer = await self._caller.call(controller.public, "GET", "/ready", None, 1.0)
        controller.on_probe(answer is not None and answer[0] == OK)

    async def until(self, condition: Any, timeout_s: float) -> bool:
        """Wait for a condition; return whether it came true in time."""
        ends_at = self.now() + timeout_s
        while not condition():
            if self.now() > ends_at:
                return False
            await asyncio.sleep(0.05)
        return True

    @property
    def leader(self) -> Controller | None:
        """The controller named in the leader key, if it runs."""
        name = self.state.leader
        return next((c for c in self.controllers if c.name == name and c.running), None)

    def followers(self) -> list[Controller]:
        """The other controllers."""
        return [c for c in self.controllers if c is not self.leader]

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for controller in self.controllers:
            controller.kill()
        for task in list(self._tasks):
            task.cancel()
        for name in list(self.cloud.machines):
            self.cloud.remove(name)
        for listener in self.listeners:
            listener.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    def verdict(self, rules: tuple[str, ...]) -> int:
        """Write the verdict; return the exit code."""
        counts = {rule: self.broken.count(rule) for rule in rules}
        held = not any(counts.values())
        text = "held" if held else f"broken: {counts}"
        self.note(f"verdict: {text}; {self.starts} starts; all broken rules: {self.broken}")
        print(text, f"({self.starts} starts)")
        return 0 if held else 1


async def _within_limit(main: Any) -> int:
    """Await ``main``, which ends its processes when it is cancelled, by SIGTERM or the limit."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return int(await main())


def run(main: Any) -> None:
    """Run a case and exit; the exit code is 2 if it can't run."""
    code = 2
    try:
        code = asyncio.run(_within_limit(main))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {error!r}")
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # without the noise of connections that are still open
