"""The jobs of a soak, drawn from its seed: everything that the rules speak of."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import msgspec

from petrelthread import protocol

RANKS = ("low", "standard", "high", "prod")
FINITE_TEAMS = ("red", "blue", "guest")
IMAGES = 4
BACKLOG_AGE_S = (100.0, 260.0)  # the scheduler expects a job to have begun after 150 s
CANCELLED_SHARE = 0.35
CANCEL_AFTER_S = (0.0, 20.0)
WHEN_RUNNING_SHARE = 0.6  # of the cancelled ones: while their first starts may be on the way
SERVICE_SHARE = 0.12
RUN_S = (1.0, 10.0)
SINGLE_ZONE_SHARE = 0.4
SPREAD_SHARE = 0.2
OVERDUE_SINGLE_ZONE_SHARE = 0.7  # of the backlog


# The field of a submission for each attribute of the typed job.
_FIELDS = {field.name: field.encode_name for field in msgspec.structs.fields(protocol.JobSpec)}


def job_spec(job_id: str, tasks: int, **attributes: Any) -> dict[str, Any]:
    """The JSON object of a submission. ``attributes``: of ``protocol.JobSpec``, or their fields."""
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
    return spec | {_FIELDS.get(name, name): value for name, value in attributes.items()}


@dataclass(frozen=True)
class PlannedJob:
    """One job of the workload."""

    spec: dict[str, Any]
    submit_s: float  # since the start; below 0: accepted so long before it, by an earlier life
    cancel_after_s: float | None  # after its acceptance
    run_s: float  # of each task
    cancel_when_running: bool = False  # as soon as its user is told that it runs

    @property
    def job_id(self) -> str:
        return str(self.spec["name_id"])

    @property
    def service(self) -> bool:
        return bool(self.spec["shape"] == "service")


def draw_jobs(
    randomness: random.Random, seconds: float, zones: tuple[str, ...], jobs: int, backlog: int
) -> list[PlannedJob]:
    """``backlog`` jobs accepted before the start and ``jobs`` spread over ``seconds``."""
    numbers = randomness.sample(range(1, 1_000_000), jobs + backlog)
    planned = []
    for at, number in enumerate(numbers):
        job_id = f"wk-{number:06d}"
        submit_s = randomness.uniform(0.0, seconds)
        if at < backlog:
            submit_s = -randomness.uniform(*BACKLOG_AGE_S)
        planned.append(_draw_job(randomness, job_id, submit_s, zones))
    return sorted(planned, key=lambda job: job.submit_s)


def _draw_job(
    randomness: random.Random, job_id: str, submit_s: float, zones: tuple[str, ...]
) -> PlannedJob:
    single_zone_share = SINGLE_ZONE_SHARE if submit_s >= 0 else OVERDUE_SINGLE_ZONE_SHARE
    bound = randomness.random()
    same_place = bound < single_zone_share
    scatter = single_zone_share <= bound < single_zone_share + SPREAD_SHARE
    service = submit_s >= 0 and not same_place and randomness.random() < SERVICE_SHARE
    tasks = randomness.randint(2, 6)
    spec = job_spec(
        job_id,
        min(tasks, 4) if service else tasks,
        job_class=randomness.choice(("batch", "rush")),
        team=randomness.choice(FINITE_TEAMS[:2] if service else FINITE_TEAMS),
        kind="service" if service else "array",
        priority="prod" if service else randomness.choice(RANKS),
        cores=1.0 if service else randomness.choice((1.0, 2.0)),
        ram_gb=1.0,
        image=f"img-{randomness.randrange(IMAGES)}",
        single_zone=same_place,
        spread_zones=scatter,
        spot_allowed=randomness.random() < 0.8,
        zone=randomness.choice(zones) if randomness.random() < 0.1 else None,
        estimated_run_s=0.0 if service else round(randomness.uniform(*RUN_S), 1),
        deadline_s=None if service or randomness.random() < 0.5 else 60.0,
    )
    if scatter:
        spec["roost"] = None  # half of the tasks would never find a zone
    cancel = not service and randomness.random() < CANCELLED_SHARE
    when_running = cancel and randomness.random() < WHEN_RUNNING_SHARE
    return PlannedJob(
        spec,
        submit_s,
        randomness.uniform(*CANCEL_AFTER_S) if cancel and not when_running else None,
        randomness.uniform(*RUN_S),
        when_running,
    )
