"""Whether a well-formed job can ever run."""

from __future__ import annotations

from http import HTTPStatus

from petrelthread.protocol import JobKind, JobSpec, MachineType
from petrelthread.scheduling import REQUEST_TOLERANCE
from petrelthread.settings import Team

RETRY_S = 1


class SubmissionRefusedError(Exception):
    """The job is not accepted; the text says why, and ``status`` is that of the response."""

    status: HTTPStatus
    retry_after_s: int | None = None


class UnschedulableJobError(SubmissionRefusedError):
    """The job can never run."""

    status = HTTPStatus.UNPROCESSABLE_ENTITY


class JobTooLargeError(SubmissionRefusedError):
    """Its description exceeds what the state service stores in one value."""

    status = HTTPStatus.BAD_REQUEST


class MachineTypesUnknownError(SubmissionRefusedError):
    """The machine types are not known yet, so it can't be said whether the job can run."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = RETRY_S


def check_runnable(
    spec: JobSpec, teams: dict[str, Team], machine_types: tuple[MachineType, ...] | None
) -> None:
    """Check the job against its team's limit and the machine types.

    Args:
        spec: the job.
        teams: by name.
        machine_types: None if they are not known yet.

    Raises:
        UnschedulableJobError: it can never run.
        MachineTypesUnknownError: it is within the limit and ``machine_types`` is None.
    """
    team = teams.get(spec.team)
    if team is None:
        raise UnschedulableJobError(f"unknown team {spec.team}")
    _check_team_limit(spec, team)
    if machine_types is None:
        raise MachineTypesUnknownError("machine types are not known yet")
    if not any(
        _is_allowed(spec, candidate) and _fits(spec, candidate) for candidate in machine_types
    ):
        raise UnschedulableJobError("a task fits no allowed machine type")


def _check_team_limit(spec: JobSpec, team: Team) -> None:
    # Of an array one task has to fit the limit: the others can run after it.
    at_once = 1 if spec.kind == JobKind.ARRAY else spec.task_count
    cores, accelerators = at_once * spec.cores, at_once * spec.accelerators
    if cores > team.most_cores + REQUEST_TOLERANCE:
        raise UnschedulableJobError(
            f"takes {cores:g} cores at once, team limit is {team.cpus_max:g}"
        )
    if accelerators > team.most_accelerators + REQUEST_TOLERANCE:
        raise UnschedulableJobError(
            f"takes {accelerators:g} accelerators at once, team limit is {team.gpus_max:g}"
        )


def _is_allowed(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether the job may use machines of the type in some zone that it may use."""
    if spec.machine_types is not None and machine_type.name not in spec.machine_types:
        return False
    return spec.zone is None or spec.zone in machine_type.zones


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether an empty machine of the type holds one task."""
    return (
        spec.cores <= machine_type.cores + REQUEST_TOLERANCE
        and spec.accelerators <= machine_type.accelerators + REQUEST_TOLERANCE
        and spec.ram_gb <= machine_type.ram_gb + REQUEST_TOLERANCE
    )
