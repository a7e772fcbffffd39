"""The jobs of a soak, drawn from its seed. They cover all attributes that the rules use."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import msgspec

from petrelthread import protocol

PRIORITIES = ("low", "standard", "high", "prod")
TEAMS = ("red", "blue", "guest")
SERVICE_TEAMS = ("red", "blue")
IMAGE_COUNT = 4
BACKLOG_AGE_S = (100.0, 260.0)  # below and above 150 s, within which a job is expected to start
CANCELLED_SHARE = 0.35  # of the arrays
CANCEL_AFTER_S = (0.0, 20.0)
CANCELLED_WHEN_RUNNING_SHARE = 0.6  # of the cancelled jobs; a start command may be in flight
SERVICE_SHARE = 0.12
RUN_S = (1.0, 10.0)
SINGLE_ZONE_SHARE = 0.4
SPREAD_SHARE = 0.2
BACKLOG_SINGLE_ZONE_SHARE = 0.7
SPOT_SHARE = 0.8
ZONE_SHARE = 0.1
WITHOUT_DEADLINE_SHARE = 0.5
DEADLINE_S = 60.0
TASK_COUNT = (2, 6)
MAX_REPLICAS = 4
LARGE_ARRAY_SEEDS = 3  # each third seed has an array of the largest size
LARGE_ARRAY_CORES = (1.0, 4.0)  # of each task
LARGE_ARRAY_TEAM = "guest"  # it has no limit

# The submission's field for each attribute of protocol.JobSpec.
_FIELDS = {field.name: field.encode_name for field in msgspec.structs.fields(protocol.JobSpec)}


def job_spec(job_id: str, tasks: int, **attributes: Any) -> dict[str, Any]:
    """Return the JSON object of a submission.

    ``attributes`` are the attributes of ``protocol.JobSpec`` that differ from the defaults here.
    """
    spec = {
        "name_id": job_id,
        "jobclass": "batch",
        "crew": "red",
        "shape": "array",
        "rank": "standard",
        "legs": tasks,
        "cores": 2.0,
        "accelerators": 0.0,
        "ram_gb": 2.0,
        "bundle": "img-1",
        "size_gb": 1.0,
        "same_place": False,
        "scatter": False,
        "driftwood": True,
        "guess_s": 5.0,
        "mark_s": 0.0,
        "stow_s": 0.0,
    }
    return spec | {_FIELDS[name]: value for name, value in attributes.items()}


@dataclass(frozen=True)
class PlannedJob:
    """One job of the workload, and when its user submits and cancels it."""

    spec: dict[str, Any]
    submit_s: float  # since the start; a negative value is the age of a job of the backlog
    cancel_after_s: float | None  # after the job's acceptance
    run_s: float  # of each task
    cancel_when_running: bool = False  # cancelled as soon as its user sees it running
    cancel_after_faults: bool = False  # cancelled once all faults are over

    @property
    def job_id(self) -> str:
        """The job's id."""
        return str(self.spec["name_id"])

    @property
    def service(self) -> bool:
        """Whether the job is a service."""
        return bool(self.spec["shape"] == "service")


def draw_jobs(
    randomness: random.Random, seconds: float, zones: tuple[str, ...], jobs: int, backlog: int
) -> list[PlannedJob]:
    """Draw ``backlog`` jobs accepted before the start and ``jobs`` spread over ``seconds``."""
    numbers = randomness.sample(range(1, 1_000_000), jobs + backlog)
    planned = []
    for index, number in enumerate(numbers):
        job_id = f"wk-{number:06d}"
        submit_s = randomness.uniform(0.0, seconds)
        if index < backlog:
            submit_s = -randomness.uniform(*BACKLOG_AGE_S)
        planned.append(_draw_job(randomness, job_id, submit_s, zones))
    return sorted(planned, key=lambda job: job.submit_s)


def draw_large_array(seed: int, seconds: float) -> list[PlannedJob]:
    """Draw an array of the largest size for some seeds, regardless of what else they draw.

    It does not end by itself: its user cancels it once all faults are over.
    """
    if seed % LARGE_ARRAY_SEEDS:
        return []
    randomness = random.Random(f"large array {seed}")
    job_id = f"wk-{randomness.randrange(1_000_000, 10_000_000)}"
    spec = job_spec(
        job_id,
        protocol.MAX_TASKS_PER_JOB,
        team=LARGE_ARRAY_TEAM,
        priority="low",
        cores=randomness.choice(LARGE_ARRAY_CORES),
        ram_gb=1.0,
        image="img-0",
        deadline_s=randomness.choice((None, DEADLINE_S)),
    )
    submit_s = randomness.uniform(0.0, seconds / 2)
    return [PlannedJob(spec, submit_s, None, RUN_S[1], cancel_after_faults=True)]


def _draw_job(
    randomness: random.Random, job_id: str, submit_s: float, zones: tuple[str, ...]
) -> PlannedJob:
    single_zone_share = SINGLE_ZONE_SHARE if submit_s >= 0 else BACKLOG_SINGLE_ZONE_SHARE
    draw = randomness.random()
    single_zone = draw < single_zone_share
    spread_zones = single_zone_share <= draw < single_zone_share + SPREAD_SHARE
    is_service = submit_s >= 0 and not single_zone and randomness.random() < SERVICE_SHARE
    tasks = randomness.randint(*TASK_COUNT)
    spec = job_spec(
        job_id,
        min(tasks, MAX_REPLICAS) if is_service else tasks,
        job_class=randomness.choice(("batch", "rush")),
        team=randomness.choice(SERVICE_TEAMS if is_service else TEAMS),
        kind="service" if is_service else "array",
        priority="prod" if is_service else randomness.choice(PRIORITIES),
        cores=1.0 if is_service else randomness.choice((1.0, 2.0)),
        ram_gb=1.0,
        image=f"img-{randomness.randrange(IMAGE_COUNT)}",
        single_zone=single_zone,
        spread_zones=spread_zones,
        spot_allowed=randomness.random() < SPOT_SHARE,
        zone=randomness.choice(zones) if randomness.random() < ZONE_SHARE else None,
        estimated_run_s=0.0 if is_service else round(randomness.uniform(*RUN_S), 1),
        deadline_s=None
        if is_service or randomness.random() < WITHOUT_DEADLINE_SHARE
        else DEADLINE_S,
    )
    if spread_zones:
        spec["roost"] = None  # restricted to one zone, half of the tasks could never run
    cancel = not is_service and randomness.random() < CANCELLED_SHARE
    when_running = cancel and randomness.random() < CANCELLED_WHEN_RUNNING_SHARE
    return PlannedJob(
        spec,
        submit_s,
        randomness.uniform(*CANCEL_AFTER_S) if cancel and not when_running else None,
        randomness.uniform(*RUN_S),
        when_running,
    )
