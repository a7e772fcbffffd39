"""Checks whether a well-formed job can ever run."""

from __future__ import annotations

from http import HTTPStatus

from petrelthread.protocol import JobKind, JobSpec, MachineType
from petrelthread.scheduling import REQUEST_TOLERANCE
from petrelthread.settings import Team

NOT_READY_RETRY_S = 1


class SubmissionRefusedError(Exception):
    """A job is refused; the text gives the reason, ``status`` is the response's status."""

    status: HTTPStatus
    retry_after_s: int | None = None

    @property
    def is_final(self) -> bool:
        """Whether the user does not submit the job again."""
        return self.retry_after_s is None


class UnschedulableJobError(SubmissionRefusedError):
    """The job can never run in this cluster."""

    status = HTTPStatus.UNPROCESSABLE_ENTITY


class JobTooLargeError(SubmissionRefusedError):
    """The job's record exceeds the state service's limit for one value."""

    status = HTTPStatus.BAD_REQUEST


class MachineTypesUnknownError(SubmissionRefusedError):
    """The machine types are not known yet, so whether the job can run is undecided."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = NOT_READY_RETRY_S


def check_runnable(
    spec: JobSpec, teams: dict[str, Team], machine_types: tuple[MachineType, ...] | None
) -> None:
    """Check a job against its team's quota and the machine types.

    Args:
        spec: Job to check.
        teams: Teams by name.
        machine_types: Machine types of the cloud; None if they are not known yet.

    Raises:
        UnschedulableJobError: The job can never run.
        MachineTypesUnknownError: The job is within the quota and ``machine_types`` is None.
    """
    team = teams.get(spec.team)
    if team is None:
        raise UnschedulableJobError(f"unknown team {spec.team}")
    _check_quota(spec, team)
    if machine_types is None:
        raise MachineTypesUnknownError("machine types are not known yet")
    if not any(
        _is_allowed(spec, candidate) and _fits(spec, candidate) for candidate in machine_types
    ):
        raise UnschedulableJobError("a task fits no allowed machine type")


def _check_quota(spec: JobSpec, team: Team) -> None:
    # One task of an array must fit the quota; the others can run after it.
    concurrent_tasks = 1 if spec.kind == JobKind.ARRAY else spec.task_count
    cores, accelerators = concurrent_tasks * spec.cores, concurrent_tasks * spec.accelerators
    if cores > team.max_cores + REQUEST_TOLERANCE:
        raise UnschedulableJobError(
            f"takes {cores:g} cores at once, team limit is {team.cpus_max:g}"
        )
    if accelerators > team.max_accelerators + REQUEST_TOLERANCE:
        raise UnschedulableJobError(
            f"takes {accelerators:g} accelerators at once, team limit is {team.gpus_max:g}"
        )


def _is_allowed(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether the job allows the machine type, and the job's zone, if any, has the type."""
    if spec.machine_types is not None and machine_type.name not in spec.machine_types:
        return False
    return spec.zone is None or spec.zone in machine_type.zones


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether one task fits on an empty machine of the type."""
    return (
        spec.cores <= machine_type.cores + REQUEST_TOLERANCE
        and spec.accelerators <= machine_type.accelerators + REQUEST_TOLERANCE
        and spec.ram_gb <= machine_type.ram_gb + REQUEST_TOLERANCE
    )
