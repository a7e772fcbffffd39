"""A small deployment on loopback: settings, controllers as processes, stand-ins, users."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

from cloud_standin import HOST, Cloud, Events, Job
from http_standin import NoAnswerError, request, serve
from state_standin import StateService

ROOT = Path(__file__).resolve().parents[1]
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0


def hull(
    sku: str, cores: float, ram_gb: float, prices: tuple[float, float], boot_s: float, fetch: float
) -> dict[str, Any]:
    """A machine type of the catalog, without its zones."""
    return {
        "sku": sku,
        "cores": cores,
        "accelerators": 0.0,
        "ram_gb": ram_gb,
        "local_gb": 40.0,
        "fetch_gb_per_s": fetch,
        "hourly": prices[0],
        "low_price": prices[1],
        "startup_s": boot_s,
    }


@dataclass(frozen=True)
class SiteFile:
    """What the stand-ins take from a site file of the kit."""

    zones: tuple[str, ...]
    skew_ms: float
    state: dict[str, float]  # limits of the state service
    cloud: dict[str, float]
    workers: dict[str, float]
    limits: dict[str, float]  # of a controller's machine
    teams: tuple[tuple[str, float, float], ...]  # name, guarantee, limit (0: none)
    objectives: tuple[dict[str, Any], ...]
    hulls: tuple[dict[str, Any], ...]
    capacity: dict[tuple[str, str], tuple[int, int]]  # ordinary and spot, by type and zone


GUEST = "mobilite-lab"  # the guest team of velotunis-core: no guarantee and no limit
GRANITE = SiteFile(
    zones=("merrimack-dc",),
    skew_ms=250.0,
    state={"rps": 100.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 8},
    cloud={"rps": 5.0, "list_lag_s": 8.0},
    workers={
        "report_s": 3.0,
        "lease_s": 22.0,
        "gang_wait_s": 30.0,
        "gang_peer_s": 4.0,
        "cancel_s": 52.0,
    },
    limits={"cpu": 0.288, "ram_mb": 186.0, "max_connections": 1500},
    teams=tuple((f"meter-platform-{index:02d}", 8.0, 70.0) for index in range(16)),
    objectives=(
        {"kind": "finished", "class": "route-backfill", "within_s": 180.0, "share": 0.8},
        {"kind": "deadline", "class": "billing-rollup", "share": 0.8, "times": 1.0},
        {"kind": "wait", "class": "billing-rollup", "within_s": 4.0, "share": 0.8},
    ),
    hulls=(hull("yard-small", 4.0, 8.0, (0.26, 0.09), 25.0, 0.6),),
    capacity={("yard-small", "merrimack-dc"): (77, 32)},
)
VELOTUNIS = SiteFile(
    zones=("lac-zone", "medina-zone", "marsa-zone"),
    skew_ms=1000.0,
    state={"rps": 200.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 12},
    cloud={"rps": 3.0, "list_lag_s": 6.0},
    workers={
        "report_s": 1.5,
        "lease_s": 12.0,
        "gang_wait_s": 45.0,
        "gang_peer_s": 4.0,
        "cancel_s": 37.0,
    },
    limits={"cpu": 0.36, "ram_mb": 146.0, "max_connections": 1000},
    teams=(
        *((f"flotte-ops-{index:02d}", 16.0, 24.0) for index in range(16)),
        (GUEST, 0.0, 0.0),
    ),
    objectives=(
        {"kind": "finished", "class": "fare-reconcile", "within_s": 250.0, "share": 0.78},
        {"kind": "finished", "class": "fare-reconcile", "within_s": 400.0, "share": 0.88},
        {"kind": "deadline", "class": "rebalance-plan", "share": 0.88, "times": 1.0},
        {"kind": "deadline", "class": "rebalance-plan", "share": 0.93, "times": 1.5},
        {"kind": "wait", "class": "rebalance-plan", "within_s": 40.0, "share": 0.88},
    ),
    hulls=(
        hull("petit-node", 4.0, 32.0, (0.2, 0.05), 30.0, 0.25),
        hull("moyen-node", 32.0, 128.0, (1.43, 0.37), 35.0, 0.4),
        hull("grand-node", 64.0, 256.0, (2.67, 0.64), 35.0, 0.4),
    ),
    capacity={
        ("petit-node", "lac-zone"): (1, 5),
        ("petit-node", "medina-zone"): (1, 7),
        ("petit-node", "marsa-zone"): (1, 7),
        ("moyen-node", "medina-zone"): (0, 1),
        ("moyen-node", "marsa-zone"): (0, 1),
        ("grand-node", "lac-zone"): (1, 1),
        ("grand-node", "medina-zone"): (1, 1),
    },
)


def job_spec(job_id: str, team: str, legs: int, **changes: Any) -> dict[str, Any]:
    """A job as users submit it: the class rebalance-plan of velotunis-core, with changes."""
    spec = {
        "name_id": job_id,
        "jobclass": "rebalance-plan",
        "crew": team,
        "shape": "array",
        "rank": "high",
        "legs": legs,
        "cores": 2.0,
        "accelerators": 0.0,
        "ram_gb": 6.1,
        "bundle": "plan-0",
        "size_gb": 0.8,
        "hulls": None,
        "roost": None,
        "same_place": False,
        "scatter": False,
        "driftwood": True,
        "guess_s": 8.0,
        "mark_s": 0.0,
        "stow_s": 0.0,
        "due_s": 60.0,
    }
    spec.update(changes)
    return spec


def _toml(value: Any) -> str:
    """A value as TOML, which writes these kinds of values like JSON."""
    return json.dumps(value)


def _table(name: str, values: dict[str, Any]) -> list[str]:
    """The lines of a table; of an array of tables if the name is in brackets."""
    return [f"[{name}]", *(f"{key} = {_toml(value)}" for key, value in values.items())]


def reserve_port() -> socket.socket:
    """Bind a free port.

    While the socket is open and does not listen, a controller can listen on the port, and nobody
    else gets it.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, 0))
    return bound


class Controller:
    """One controller process."""

    def __init__(self, name: str, settings: Path, log: Path) -> None:
        self.name, self._settings, self._log = name, settings, log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [*run.split(), str(self._settings)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None


class Site:
    """State service, cloud, workers, three controllers and users."""

    def __init__(
        self,
        site: SiteFile,
        boot_s: float,
        capacity: dict[tuple[str, str], tuple[int, int]] | None = None,
    ) -> None:
        """``capacity``: what the cloud has to give, if not what the site file says."""
        self.site = site
        self.events = Events()
        self.jobs: dict[str, Job] = {}
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.state = StateService(
            site.state["rps"],
            site.state["write_rps"],
            site.state["value_kb"],
            int(site.state["txn_ops"]),
            self.events.record,
        )
        self.names = [f"perch-{index}" for index in range(3)]
        self._reserved = [reserve_port() for _ in range(2 * len(self.names))]
        addresses = [f"{HOST}:{bound.getsockname()[1]}" for bound in self._reserved]
        self.public = dict(zip(self.names, addresses[: len(self.names)], strict=True))
        self._peer = dict(zip(self.names, addresses[len(self.names) :], strict=True))
        self.cloud = Cloud(
            [
                {**each, "roosts": [zone for sku, zone in site.capacity if sku == each["sku"]]}
                for each in site.hulls
            ],
            site.capacity if capacity is None else capacity,
            {**site.workers, **site.cloud},
            boot_s,
            list(self.public.items()),
            self.jobs,
            self.events,
        )
        self.controllers: dict[str, Controller] = {}
        self.answers: dict[str, list[tuple[float, int, Any]]] = {}  # by job
        self.failed_probes = 0  # health checks without an answer within 1 s

    def _zone(self, name: str) -> str:
        zones = self.site.zones
        return zones[self.names.index(name) % len(zones)]

    async def start(self) -> None:
        """Start everything and wait until each controller is ready."""
        _, cloud = await serve(HOST, 0, self.cloud.handle)
        for name in self.names:
            _, state = await serve(HOST, 0, self.state.handler(name))
            settings = self.directory / f"{name}.toml"
            settings.write_text(self._settings(name, state, cloud))
            controller = Controller(name, settings, self.directory / f"{name}.log")
            self.controllers[name] = controller
            controller.start()
        for name in self.names:
            await self._wait_ready(name)
        self.events.record("all controllers are ready")

    async def _wait_ready(self, name: str) -> None:
        ends = time.monotonic() + 15
        while time.monotonic() < ends:
            try:
                status, _ = await request(self.public[name], "GET", "/ready", None, 1.0)
                if status == HTTPStatus.OK:
                    return
            except NoAnswerError:
                pass
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{name} is not ready after 15 s")

    def _settings(self, name: str, state: str, cloud: str) -> str:
        """The settings file of one controller."""
        site = self.site
        lines = [
            f"host_name = {_toml(name)}",
            f"zone = {_toml(self._zone(name))}",
            f"bind = {_toml(self.public[name])}",
            f"peer_listen = {_toml(self._peer[name])}",
        ]
        for other in self.names:
            if other != name:
                lines += _table(
                    "[siblings]",
                    {
                        "host_name": other,
                        "zone": self._zone(other),
                        "peer_addr": self._peer[other],
                    },
                )
        lines += _table("endpoints", {"cloud": cloud, "state": state})
        lines += _table(
            "cluster", {"count": 3, "zones": sorted(site.zones), "skew_ms": site.skew_ms}
        )
        for team, cpus, cpus_max in site.teams:
            lines += _table(
                "[cluster.teams]",
                {"name": team, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0},
            )
        for objective in site.objectives:
            lines += _table("[cluster.objectives]", objective)
        lines += _table("cluster.workers", site.workers)
        lines += _table("cluster.state", site.state)
        lines += _table("cluster.cloud", site.cloud)
        lines += _table("cluster.machine_limits", site.limits)
        return "\n".join(lines) + "\n"

    @property
    def leader(self) -> str | None:
        """The leader's name as stored."""
        found = self.state.keys.get("pt/lead")
        return None if found is None else str(found[0]["node"])

    @property
    def token(self) -> int:
        """The highest token as stored: each election raises it, and now and then a leader does."""
        found = self.state.keys.get("pt/epoch")
        return 0 if found is None else int(found[0])

    async def probe(self, name: str) -> None:
        """Probe a controller each second, as the load balancer does."""
        while True:
            try:
                status, _ = await request(self.public[name], "GET", "/ready", None, 1.0)
            except NoAnswerError:
                status = 0
                self.failed_probes += 1
            if status != HTTPStatus.OK:
                self.events.record(f"health check of {name}: {status or 'no answer within 1 s'}")
            await asyncio.sleep(1.0)

    # ---- users ----

    async def ask(
        self, job_id: str, method: str, target: str, body: Any, timeout: float, node: str = ""
    ) -> tuple[int, Any]:
        """Send one request of a user to a node (any by default); 0 without an answer."""
        node = node or random.choice(self.names)
        try:
            status, content = await request(self.public[node], method, target, body, timeout)
        except NoAnswerError:
            status, content = 0, None
        shown = "" if body is None else f" legs {body.get('legs')} cores {body.get('cores')}"
        self.events.record(f"user at {node}: {method} {target} {job_id}{shown}: {status} {content}")
        self.answers.setdefault(job_id, []).append((self.events.now(), status, content))
        return status, content

    async def submit(self, spec: dict[str, Any], run_s: float) -> bool:
        """Submit a job as a user does, for up to 60 s; return whether it was accepted."""
        job_id = spec["name_id"]
        self.jobs[job_id] = Job(spec, run_s)
        ends = time.monotonic() + 60
        while time.monotonic() < ends:
            status, _ = await self.ask(job_id, "POST", "/v2/runs", spec, SUBMIT_TIMEOUT_S)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def follow(self, job_id: str, poll_s: float = 5.0) -> None:
        """Poll until the job is done or cancelled."""
        while True:
            status, content = await self.ask(
                job_id, "GET", f"/v2/runs/{job_id}", None, POLL_TIMEOUT_S
            )
            if status == HTTPStatus.OK and content["status"] in ("done", "aborted"):
                return
            await asyncio.sleep(poll_s)

    def status(self, job_id: str) -> str:
        """What users were last told of a job."""
        for _, status, content in reversed(self.answers.get(job_id, [])):
            if status in (200, 201):
                return str(content["status"])
        return "no answer"

    def has_room(self, cores: float, ram_gb: float) -> bool:
        """Whether a machine that is up has room for one more task."""
        return any(
            worker.up and worker.free("cores") >= cores and worker.free("ram_gb") >= ram_gb
            for worker in self.cloud.workers.values()
        )

    async def wait_for_starts(
        self, job_ids: list[str], task: dict[str, Any], wait_s: float, until: float
    ) -> tuple[list[str], float]:
        """Wait until a task of each job has started, or one has waited for too long.

        Args:
            job_ids: the jobs, all accepted.
            task: the job whose tasks are the largest.
            wait_s: how long machines may have room while a job waits.
            until: when to give up, in seconds since the start of the run.

        Returns:
            The jobs that wait, and for how long machines that were up had room meanwhile.
        """
        roomy_s, before = 0.0, self.events.now()
        while True:
            await asyncio.sleep(0.1)
            now = self.events.now()
            waiting = [job_id for job_id in job_ids if job_id not in self.events.first_start]
            if self.has_room(task["cores"], task["ram_gb"]):
                roomy_s += now - before
            before = now
            if not waiting or roomy_s >= wait_s or now > until:
                return waiting, roomy_s

    def close(self, record: Path) -> None:
        """End all that was started, and write the record."""
        for controller in self.controllers.values():
            controller.kill()
        self.cloud.close()
        for bound in self._reserved:
            bound.close()
        record.write_text("\n".join(self.events.lines) + "\n")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def run_case(case: Any, site: Site, record: Path, limit_s: float = 118.0) -> int:
    """Run a case within the time limit; return its exit code, 2 if it could not run."""

    async def whole() -> int:
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are no matter of the case.
        loop.set_exception_handler(lambda _loop, _context: None)
        current = asyncio.current_task()
        if current is not None:  # also when the case is ended from outside, it ends its processes
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, current.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await site.start()
                return int(await case(site))
        except (Exception, asyncio.CancelledError) as error:  # the case could not run
            site.events.record(f"the case could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            site.close(record)

    code = asyncio.run(whole())
    print(*site.events.lines[-12:], sep="\n")
    return code


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


if __name__ == "__main__":
    sys.exit("this module is used by the cases")
