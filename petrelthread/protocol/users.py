"""Users' requests: submitting, querying and cancelling jobs."""

from __future__ import annotations

import math
import re
from enum import StrEnum
from typing import Any

import msgspec

from petrelthread.protocol.errors import BadRequestError

JOBS_PATH = "/v2/runs"
CANCEL_SUFFIX = "/withdraw"
READY_PATH = "/ready"

JOB_ID = re.compile(r"wk-[0-9]{1,32}\Z")
MAX_BODY_BYTES = 64 * 1024
MAX_TASKS_PER_JOB = 100_000
MAX_AMOUNT = 1e12  # exclusive upper bound of resource amounts and durations

PRIORITIES = {"prod": 3, "high": 2, "standard": 1, "low": 0}


class JobStatus(StrEnum):
    """A job's status in responses to users. The last two are final."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


class JobKind(StrEnum):
    """How the tasks of a job relate to each other."""

    ARRAY = "array"  # tasks are independent
    GANG = "group"  # all tasks run at the same time or none runs
    SERVICE = "service"  # replicas that run until the job is cancelled


class JobSpec(msgspec.Struct, frozen=True):
    """A submitted job. Durations are in seconds, sizes in gigabytes."""

    job_id: str = msgspec.field(name="name_id")
    job_class: str = msgspec.field(name="jobclass")
    team: str = msgspec.field(name="crew")
    kind: str = msgspec.field(name="shape")
    priority: str = msgspec.field(name="rank")
    task_count: int = msgspec.field(name="legs")
    cores: float
    accelerators: float
    ram_gb: float
    image: str = msgspec.field(name="bundle")
    image_size_gb: float = msgspec.field(name="size_gb")
    single_zone: bool = msgspec.field(name="same_place")
    spread_zones: bool = msgspec.field(name="scatter")
    spot_allowed: bool = msgspec.field(name="driftwood")
    # The next three may be null or omitted only for a service, which has no end to estimate.
    estimated_run_s: float | None = msgspec.field(name="guess_s", default=None)
    checkpoint_interval_s: float | None = msgspec.field(name="mark_s", default=None)
    grace_period_s: float | None = msgspec.field(name="stow_s", default=None)
    machine_types: tuple[str, ...] | None = msgspec.field(name="hulls", default=None)
    zone: str | None = msgspec.field(name="roost", default=None)
    deadline_s: float | None = msgspec.field(name="due_s", default=None)


_job_decoder = msgspec.json.Decoder(JobSpec, strict=True)
_WIRE_NAMES = {field.name: field.encode_name for field in msgspec.structs.fields(JobSpec)}
_AMOUNT_ATTRIBUTES = (
    "cores",
    "accelerators",
    "ram_gb",
    "image_size_gb",
    "estimated_run_s",
    "checkpoint_interval_s",
    "grace_period_s",
    "deadline_s",
)
_REQUIRED_UNLESS_SERVICE = ("estimated_run_s", "checkpoint_interval_s", "grace_period_s")


def parse_job(body: bytes) -> JobSpec:
    """Decode and validate a submission.

    Raises:
        BadRequestError: The body is malformed, or a field is missing or invalid.
    """
    try:
        spec = _job_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequestError(str(error)) from error
    _validate(spec)
    if spec.kind == JobKind.SERVICE:
        return msgspec.structs.replace(
            spec,
            estimated_run_s=0.0,
            checkpoint_interval_s=spec.checkpoint_interval_s or 0.0,
            grace_period_s=spec.grace_period_s or 0.0,
            deadline_s=None,
        )
    for attribute in _REQUIRED_UNLESS_SERVICE:
        if getattr(spec, attribute) is None:
            raise BadRequestError(f"{_WIRE_NAMES[attribute]}: must be a number")
    return spec


def _validate(spec: JobSpec) -> None:
    """Raise BadRequestError for the first invalid field, named as it is on the wire."""
    if not JOB_ID.match(spec.job_id):
        raise BadRequestError("name_id: must look like wk-000412")
    if spec.kind not in tuple(JobKind):
        raise BadRequestError("shape: must be array, group or service")
    if spec.priority not in PRIORITIES:
        raise BadRequestError("rank: must be prod, high, standard or low")
    if not 1 <= spec.task_count <= MAX_TASKS_PER_JOB:
        raise BadRequestError(f"legs: must be 1 to {MAX_TASKS_PER_JOB}")
    for attribute in _AMOUNT_ATTRIBUTES:
        amount = getattr(spec, attribute)
        if amount is not None and not (math.isfinite(amount) and 0 <= amount < MAX_AMOUNT):
            raise BadRequestError(f"{_WIRE_NAMES[attribute]}: must be a finite number, 0 or more")
    if not spec.image:
        raise BadRequestError("bundle: must not be empty")


def job_response(
    job_id: str, status: str, done: int | None = None, running: int = 0
) -> dict[str, Any]:
    """Build the body of a response with a job's status; task counts only if ``done`` is given."""
    if done is None:
        return {"name_id": job_id, "status": status}
    return {"name_id": job_id, "status": status, "done": done, "running": running}
