"""Every word that travels to users, workers, cloud and state service; nothing else knows them."""

from __future__ import annotations

import math
import re
from typing import Any

import msgspec

JOB_ID = re.compile(r"wk-[0-9]{1,32}\Z")

JOBS_PATH = "/v2/runs"
CANCEL_END = "/withdraw"
READY_PATH = "/ready"
CHECKIN_PATH = "/checkin"
DO_PATH = "/do"
SHOW_PATH = "/show"
CATALOG_PATH = "/catalog"
HOSTS_PATH = "/hosts"
RETURN_PATH = "/hosts/return"

QUEUED, RUNNING, DONE, ABORTED = "queued", "running", "done", "aborted"
ARRAY, GANG, SERVICE = "array", "group", "service"
SHAPES = (ARRAY, GANG, SERVICE)
RANKS = {"prod": 3, "high": 2, "standard": 1, "low": 0}
FETCHING, GATHERING, FLUSHING, ENDED = "fetching", "gathering", "flushing", "ended"
CAUSE_DONE, CAUSE_ERROR = "done", "error"
CAUSE_FULL, CAUSE_IN_USE, CAUSE_UNKNOWN = "full", "in_use", "unknown"

MAX_BODY = 64 * 1024
MAX_TASKS = 100_000


class BadRequest(Exception):
    """The body is malformed; the text says how."""


# ---- users -------------------------------------------------------------------------------------


class JobSpec(msgspec.Struct, frozen=True):
    """A job as submitted. Field names are the wire's; the ledger gives them the field's words."""

    name_id: str
    jobclass: str
    crew: str
    shape: str
    rank: str
    legs: int
    cores: float
    accelerators: float
    ram_gb: float
    bundle: str
    size_gb: float
    same_place: bool
    scatter: bool
    driftwood: bool
    # Null or left out only for a service, which runs until it is cancelled.
    guess_s: float | None = None
    mark_s: float | None = None
    stow_s: float | None = None
    hulls: tuple[str, ...] | None = None
    roost: str | None = None
    due_s: float | None = None


_spec_decoder = msgspec.json.Decoder(JobSpec, strict=True)


def parse_job(body: bytes) -> JobSpec:
    try:
        spec = _spec_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(str(error)) from None
    if not JOB_ID.match(spec.name_id):
        raise BadRequest("name_id: must look like wk-000412")
    if spec.shape not in SHAPES:
        raise BadRequest("shape: must be array, group or service")
    if spec.rank not in RANKS:
        raise BadRequest("rank: must be prod, high, standard or low")
    if not 1 <= spec.legs <= MAX_TASKS:
        raise BadRequest(f"legs: must be 1 to {MAX_TASKS}")
    amounts = ("cores", "accelerators", "ram_gb", "size_gb", "guess_s", "mark_s", "stow_s", "due_s")
    for field in amounts:
        number = getattr(spec, field)
        if number is not None and not (math.isfinite(number) and 0 <= number < 1e12):
            raise BadRequest(f"{field}: must be a finite number, 0 or more")
    if not spec.bundle:
        raise BadRequest("bundle: must not be empty")
    if spec.shape == SERVICE:
        return msgspec.structs.replace(
            spec, guess_s=0.0, mark_s=spec.mark_s or 0.0, stow_s=spec.stow_s or 0.0, due_s=None
        )
    for field in ("guess_s", "mark_s", "stow_s"):
        if getattr(spec, field) is None:
            raise BadRequest(f"{field}: must be a number")
    return spec


def job_answer(job_id: str, status: str, done: int | None = None, running: int = 0) -> Any:
    if done is None:
        return {"name_id": job_id, "status": status}
    return {"name_id": job_id, "status": status, "done": done, "running": running}


# ---- workers -----------------------------------------------------------------------------------


class Leg(msgspec.Struct):
    leg: str
    try_: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    stored: bool = False

    @property
    def task(self) -> tuple[str, int]:
        job, _, number = self.leg.rpartition("/")
        return job, int(number)


class Report(msgspec.Struct, rename={"machine_type": "hull", "zone": "roost"}):
    """What a worker says of itself and its tasks."""

    perch: str
    flight: int
    tick: int
    addr: str = ""
    machine_type: str = ""
    zone: str = ""
    driftwood: bool = False
    baton: int = 0
    warning_s: float | None = None
    legs: list[Leg] = msgspec.field(default_factory=list)


_report_decoder = msgspec.json.Decoder(Report)


def parse_report(body: bytes) -> Report:
    try:
        report = _report_decoder.decode(body)
        for leg in report.legs:
            _ = leg.task
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise BadRequest(str(error)) from None
    return report


def launch(job: str, task: int, attempt: int) -> dict[str, Any]:
    return {"verb": "launch", "leg": f"{job}/{task}", "try": attempt}


def halt(job: str, task: int, attempt: int, grace_s: float) -> dict[str, Any]:
    return {"verb": "halt", "leg": f"{job}/{task}", "try": attempt, "leeway_s": grace_s}


def forget(job: str, task: int, attempt: int) -> dict[str, Any]:
    return {"verb": "forget", "leg": f"{job}/{task}", "try": attempt}


def checkin_answer(token: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": token, "orders": orders}


def do_request(token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": token, "flight": session, "orders": orders}


def go_to(node: str | None) -> dict[str, Any]:
    return {"home": node} if node else {}


# ---- cloud -------------------------------------------------------------------------------------


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "sku",
        "zones": "roosts",
        "price": "hourly",
        "spot_price": "low_price",
        "boot_s": "startup_s",
    },
):
    """What the catalogue says of one machine type. Prices are per hour."""

    name: str
    cores: float
    ram_gb: float
    accelerators: float = 0.0
    local_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    price: float = 0.0
    spot_price: float = 0.0
    boot_s: float = 60.0
    zones: tuple[str, ...] = ()


class Catalog(msgspec.Struct, frozen=True, rename={"machine_types": "hulls"}):
    """All machine types that the cloud has."""

    machine_types: tuple[MachineType, ...]


class Listed(msgspec.Struct, frozen=True, rename={"machine_type": "hull", "zone": "roost"}):
    """A machine as the cloud lists it."""

    name_id: str
    machine_type: str = ""
    zone: str = ""
    driftwood: bool = False
    status: str = ""
    addr: str = ""
    held_s: float = 0.0


class HostList(msgspec.Struct, frozen=True):
    perches: tuple[Listed, ...] = ()
    more: bool = False


class Rented(msgspec.Struct, frozen=True):
    perches: tuple[str, ...] = ()


RENT_MOST = 50
RETURN_MOST = 100
LIST_MOST = 500
HOST_FAILED = "failed"


def rent_request(charter: str, hull: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"charter": charter, "hull": hull, "roost": zone, "driftwood": spot, "count": count}


def return_request(names: list[str]) -> dict[str, Any]:
    return {"perches": names}


# ---- state service -----------------------------------------------------------------------------


class Pair(msgspec.Struct, frozen=True):
    path: str
    v: Any
    stamp: int


class Page(msgspec.Struct, frozen=True):
    epoch: int
    pairs: tuple[Pair, ...] = ()
    more: bool = False


class Event(msgspec.Struct, frozen=True):
    stamp: int
    put: str | None = None
    drop: str | None = None
    v: Any = None


class Events(msgspec.Struct, frozen=True):
    epoch: int
    log: tuple[Event, ...] = ()


class MultiDone(msgspec.Struct, frozen=True):
    epoch: int


class MultiFailed(msgspec.Struct, frozen=True):
    failed: tuple[str, ...] = ()


class Granted(msgspec.Struct, frozen=True):
    tether: int


def when(key: str, stamp: int) -> dict[str, Any]:
    return {"path": key, "stamp": stamp}


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    op: dict[str, Any] = {"put": key, "v": value}
    if lease is not None:
        op["tether"] = lease
    return op


def drop(key: str) -> dict[str, Any]:
    return {"drop": key}


def multi(conditions: list[dict[str, Any]], ops: list[dict[str, Any]]) -> dict[str, Any]:
    return {"when": conditions, "apply": ops}
