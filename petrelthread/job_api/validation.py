"""Whether a well-formed job can ever run."""

from __future__ import annotations

from petrelthread.protocol import JobKind, JobSpec, MachineType
from petrelthread.settings import Team

EPS = 1e-9


class UnschedulableJobError(Exception):
    """The job can never run; the text says why."""


class JobTooLargeError(Exception):
    """Its description exceeds what the state service keeps."""


class MachineTypesUnknownError(Exception):
    """Machine types are not known yet."""


def check_runnable(
    spec: JobSpec, teams: dict[str, Team], machine_types: tuple[MachineType, ...] | None
) -> None:
    team = teams.get(spec.team)
    if team is None:
        raise UnschedulableJobError(f"unknown team {spec.team}")
    # Of an array one task has to fit the limit: the others can run after it.
    at_once = 1 if spec.kind == JobKind.ARRAY else spec.task_count
    cores, accelerators = at_once * spec.cores, at_once * spec.accelerators
    if cores > team.most_cores + EPS:
        raise UnschedulableJobError(
            f"takes {cores:g} cores at once, team limit is {team.cpus_max:g}"
        )
    if accelerators > team.most_accelerators + EPS:
        raise UnschedulableJobError(
            f"takes {accelerators:g} accelerators at once, team limit is {team.gpus_max:g}"
        )
    if machine_types is None:
        raise MachineTypesUnknownError("machine types are not known yet")
    for machine_type in machine_types:
        if spec.machine_types is not None and machine_type.name not in spec.machine_types:
            continue
        if spec.zone is not None and spec.zone not in machine_type.zones:
            continue
        if (
            spec.cores <= machine_type.cores + EPS
            and spec.accelerators <= machine_type.accelerators + EPS
            and spec.ram_gb <= machine_type.ram_gb + EPS
        ):
            return
    raise UnschedulableJobError("a task fits no allowed machine type")
