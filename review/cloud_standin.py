"""Stand-ins of the cloud and of the workers on its machines."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http_standin import MAX_BODY_BYTES, NoAnswerError, request, serve

HOST = "127.0.0.1"
REPORT_TIMEOUT_S = 4.0
RETRY_S = 1.0
MIN_REPORT_GAP_S = 0.5
MAX_RECORDED_RUNS = 2000


@dataclass
class Job:
    """What the workers know of a job."""

    spec: dict[str, Any]
    run_s: float


@dataclass
class Run:
    """One attempt on a worker."""

    attempt: int
    state: str
    until: float = 0.0  # end of the present state
    cause: str | None = None
    stored: bool = False


@dataclass
class Events:
    """What the stand-ins saw, for the record and for the checks."""

    lines: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)
    on: dict[str, list[str]] = field(default_factory=dict)  # machines by task
    twice: list[str] = field(default_factory=list)  # tasks started while on another machine
    starts: dict[str, int] = field(default_factory=dict)  # starts by job
    first_start: dict[str, float] = field(default_factory=dict)
    recorded_runs: int = 0
    large_bodies: int = 0  # direct commands with a body over 64 KiB
    long_lines: int = 0  # answers to reports that could not be read

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def is_on(self, leg: str, machine: str) -> bool:
        """Whether a task is on a machine, with its image."""
        return machine in self.on.get(leg, [])

    def record_run(self, text: str) -> None:
        """Add a line about a task; only the first ones of very many."""
        self.recorded_runs += 1
        if self.recorded_runs <= MAX_RECORDED_RUNS:
            self.record(text)

    def record(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now():8.3f} {text}")


class Worker:
    """One machine's worker: reports, lease, commands, tasks."""

    def __init__(
        self, cloud: Cloud, name: str, hull: dict[str, Any], roost: str, spot: bool
    ) -> None:
        self.cloud, self.name, self.hull, self.roost, self.spot = cloud, name, hull, roost, spot
        self.address = ""
        self.flight, self.tick, self.baton = 1, 0, 0
        self.runs: dict[str, dict[int, Run]] = {}
        self.images: set[str] = set()
        self.fetching: dict[str, float] = {}  # end of the fetch by image
        self.up = False
        self.node = random.randrange(len(cloud.nodes))
        self.carried_out: list[bytes] = []  # direct commands
        self.renewed_at = 0.0  # when the last answered report was sent, or the session began
        self.rented_at = time.monotonic()
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def boot(self, boot_s: float) -> None:
        """Come up after ``boot_s``; the port is bound from the start."""
        self._server, self.address = await serve(HOST, 0, self._on_request)
        self._tasks.append(asyncio.create_task(self._live(boot_s)))

    async def _live(self, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        self.up = True
        self.renewed_at = time.monotonic()
        self.cloud.events.record(f"machine {self.name} ({self.hull['sku']}, {self.roost}) is up")
        self._tasks.append(asyncio.create_task(self._report_forever()))
        while True:
            await asyncio.sleep(0.05)
            self._advance()

    def remove(self) -> None:
        """End with the machine."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        self._kill_all()

    # ---- tasks ----

    def _kill_all(self) -> None:
        for leg, attempts in self.runs.items():
            for run in attempts.values():
                if run.state in ("running", "flushing"):
                    self._ended(leg)
        self.runs.clear()

    def _started(self, leg: str) -> None:
        events = self.cloud.events
        job_id = leg.rpartition("/")[0]
        events.starts[job_id] = events.starts.get(job_id, 0) + 1
        events.first_start.setdefault(job_id, events.now())
        events.record_run(f"{leg} starts on {self.name}")
        machines = events.on.setdefault(leg, [])
        if machines:
            events.twice.append(f"{leg} on {self.name} while on {machines}")
        machines.append(self.name)

    def _ended(self, leg: str) -> None:
        self.cloud.events.record_run(f"{leg} has ended on {self.name}")
        self.cloud.events.on[leg].remove(self.name)

    def _advance(self) -> None:
        now = time.monotonic()
        if now - self.renewed_at > self.cloud.lease_s:
            if self.runs:
                self.cloud.events.record(
                    f"machine {self.name}: lease ended, {len(self.runs)} tasks killed"
                )
            self._kill_all()
            self.fetching.clear()
            self.flight += 1
            self.renewed_at = now
            self._changed.set()
        for image, until in list(self.fetching.items()):
            if now >= until:
                del self.fetching[image]
                self.images.add(image)
        for leg, attempts in self.runs.items():
            for run in attempts.values():
                self._advance_run(leg, run, now)

    def _advance_run(self, leg: str, run: Run, now: float) -> None:
        job = self.cloud.jobs[leg.rpartition("/")[0]]
        if run.state == "fetching" and job.spec["bundle"] in self.images:
            run.state, run.until = "running", now + job.run_s
            self._started(leg)
            self._changed.set()
        elif run.state in ("running", "flushing") and now >= run.until:
            saved = run.state == "flushing"
            run.state, run.cause, run.stored = "ended", "stopped" if saved else "done", saved
            self._ended(leg)
            if not saved:
                self.cloud.done.add(leg)
            self._changed.set()

    def free(self, what: str) -> float:
        """What the machine's tasks leave of its cores or memory."""
        used = sum(
            self.cloud.jobs[leg.rpartition("/")[0]].spec[what]
            for leg, attempts in self.runs.items()
            for run in attempts.values()
            if run.state != "ended"
        )
        return self.hull[what] - used

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        free = {what: self.free(what) for what in ("cores", "ram_gb")} if orders else {}
        for order in orders:
            leg, attempt = order["leg"], order["try"]
            attempts = self.runs.setdefault(leg, {})
            run = attempts.get(attempt)
            if order["verb"] == "launch" and run is None:
                attempts[attempt] = self._launch(leg, attempt, attempts, free)
            elif order["verb"] == "halt" and run is not None and run.state != "ended":
                self._halt(leg, run, order["leeway_s"])
            elif order["verb"] == "forget" and run is not None and run.state == "ended":
                del attempts[attempt]
            if not attempts:
                del self.runs[leg]
            self._changed.set()

    def _launch(
        self, leg: str, attempt: int, attempts: dict[int, Run], free: dict[str, float]
    ) -> Run:
        job = self.cloud.jobs.get(leg.rpartition("/")[0])
        if job is None:
            return Run(attempt, "ended", cause="unknown")
        if any(run.state != "ended" for run in attempts.values()):
            return Run(attempt, "ended", cause="in_use")
        for what in free:
            if job.spec[what] > free[what] + 1e-6:
                return Run(attempt, "ended", cause="full")
        for what in free:
            free[what] -= job.spec[what]
        image = job.spec["bundle"]
        if image not in self.images and image not in self.fetching:
            fetch_s = job.spec["size_gb"] / self.hull["fetch_gb_per_s"]
            self.fetching[image] = time.monotonic() + fetch_s
        return Run(attempt, "fetching")

    def _halt(self, leg: str, run: Run, leeway_s: float) -> None:
        job = self.cloud.jobs[leg.rpartition("/")[0]]
        saves = job.spec["mark_s"] > 0 and leeway_s >= job.spec["stow_s"]
        if run.state == "running" and saves:
            run.state, run.until = "flushing", time.monotonic() + job.spec["stow_s"]
            return
        if run.state == "flushing" and leeway_s > 0:
            return
        if run.state in ("running", "flushing"):
            self._ended(leg)
        run.state, run.cause = "ended", "stopped"

    # ---- messages ----

    def report(self) -> dict[str, Any]:
        """The worker's report, with a new tick."""
        self.tick += 1
        legs = []
        for leg, attempts in self.runs.items():
            for run in attempts.values():
                entry: dict[str, Any] = {"leg": leg, "try": run.attempt, "status": run.state}
                if run.cause is not None:
                    entry["cause"] = run.cause
                if run.stored:
                    entry["stored"] = True
                legs.append(entry)
        return {
            "perch": self.name,
            "addr": self.address,
            "hull": self.hull["sku"],
            "roost": self.roost,
            "driftwood": self.spot,
            "flight": self.flight,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": None,
            "legs": legs,
        }

    async def _on_request(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        while not self.up:
            await asyncio.sleep(0.5)
        self._advance()
        if method == "GET" and target == "/show":
            return 200, self.report()
        if len(body) > MAX_BODY_BYTES:
            self.cloud.events.large_bodies += 1
            self.cloud.events.record(
                f"machine {self.name}: /do with a body of {len(body)} bytes refused: over 64 KiB"
            )
            return 400, {"error": "body over 64 KiB"}
        content = json.loads(body)
        if "baton" not in content or "flight" not in content:
            return 400, {"error": "baton or flight is missing"}
        if content["baton"] < self.baton or content["flight"] != self.flight:
            return 409, self.report()
        if content["baton"] > self.baton:
            self.baton = content["baton"]
        self._execute(content["orders"])
        self.carried_out.append(body)
        return 200, self.report()

    async def _report_forever(self) -> None:
        while True:
            pause = await self._report_once()
            ends = time.monotonic() + pause
            earliest = time.monotonic() + min(pause, MIN_REPORT_GAP_S)
            self._changed.clear()
            try:
                async with asyncio.timeout(max(0.0, ends - time.monotonic())):
                    await self._changed.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(max(0.0, earliest - time.monotonic()))

    async def _report_once(self) -> float:
        """Send one report; return the pause until the next one."""
        nodes = self.cloud.nodes
        sent_at, flight, report = time.monotonic(), self.flight, self.report()
        try:
            status, content = await request(
                nodes[self.node][1], "POST", "/checkin", report, REPORT_TIMEOUT_S
            )
        except NoAnswerError as error:
            if "64 KiB" in str(error):
                self.cloud.events.long_lines += 1
            status, content = 0, None
        if status == HTTPStatus.OK:
            if content.get("baton", -1) >= self.baton and flight == self.flight:
                self.baton = content["baton"]
                self.renewed_at = sent_at
                self._execute(content["orders"])
            return self.cloud.report_s * random.uniform(0.75, 1.25)
        home = (content or {}).get("home") if status == HTTPStatus.MISDIRECTED_REQUEST else None
        others = {name: index for index, (name, _) in enumerate(nodes)}
        if home in others and others[home] != self.node:
            self.node = others[home]
            return random.uniform(0.0, 0.5)
        self.node = (self.node + 1) % len(nodes)
        return RETRY_S


class Cloud:
    """Rents out machines with a worker each."""

    def __init__(
        self,
        hulls: list[dict[str, Any]],
        capacity: dict[tuple[str, str], tuple[int, int]],
        times: dict[str, float],
        boot_s: float,
        nodes: list[tuple[str, str]],
        jobs: dict[str, Job],
        events: Events,
    ) -> None:
        """``times``: of the workers and the list; ``capacity``: ordinary and spot machines."""
        self.hulls, self.nodes, self.jobs, self.events = hulls, nodes, jobs, events
        self.report_s, self.lease_s = times["report_s"], times["lease_s"]
        self._list_lag_s, self._boot_s = times["list_lag_s"], boot_s
        self._free = {
            (*offer, spot): counts[spot]
            for offer, counts in capacity.items()
            for spot in (False, True)
        }
        self._charters: dict[str, list[str]] = {}
        self.workers: dict[str, Worker] = {}
        self.done: set[str] = set()  # tasks that have completed
        self.rented = 0
        self._renting = asyncio.Lock()

    async def handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Answer one request of a controller."""
        await asyncio.sleep(0.1)
        url = urlsplit(target)
        if url.path == "/catalog":
            return 200, {"hulls": self.hulls}
        if url.path == "/hosts/return":
            for name in json.loads(body)["perches"]:
                self._remove(name)
            return 200, {}
        if method == "GET":
            return self._list({k: v[0] for k, v in parse_qs(url.query).items()})
        async with self._renting:
            return await self._rent(json.loads(body))

    def _remove(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            self._free[worker.hull["sku"], worker.roost, worker.spot] += 1
            worker.remove()
            self.events.record(f"machine {name} returned")

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        now = time.monotonic()
        found = [
            {
                "name_id": worker.name,
                "addr": worker.address,
                "hull": worker.hull["sku"],
                "roost": worker.roost,
                "driftwood": worker.spot,
                "status": "running" if worker.up else "starting",
                "held_s": now - worker.rented_at,
            }
            for name, worker in sorted(self.workers.items())
            if name > query.get("from", "") and now - worker.rented_at > self._list_lag_s
        ]
        limit = min(500, int(query.get("limit", "500")))
        return 200, {"perches": found[:limit], "more": len(found) > limit}

    async def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        charter = body["charter"]
        if charter in self._charters:
            return 200, {"perches": self._charters[charter]}
        offer = (body["hull"], body["roost"], body["driftwood"])
        count = min(body["count"], 50, self._free.get(offer, 0))
        if count <= 0:
            return 503, {"error": "no capacity"}
        self._free[offer] -= count
        hull = next(hull for hull in self.hulls if hull["sku"] == body["hull"])
        names = []
        for _ in range(count):
            self.rented += 1
            name = f"host-{self.rented:06d}"
            worker = Worker(self, name, hull, body["roost"], body["driftwood"])
            self.workers[name] = worker
            await worker.boot(self._boot_s)
            names.append(name)
        self._charters[charter] = names
        self.events.record(f"rented {count} {body['hull']} in {body['roost']}: {' '.join(names)}")
        return 200, {"perches": names}

    def close(self) -> None:
        """End all workers."""
        for worker in list(self.workers.values()):
            worker.remove()
