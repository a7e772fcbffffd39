"""Format of the values in the state service; no other module depends on it.

The ``decode_...`` functions convert a stored value to a typed record, and ``encode`` converts any
record to a stored value. Records that are stored as arrays are positional: the order of their
fields is the stored order. Different versions that run at the same time read the same format, so
neither a field's position nor its stored name may change.

Only the controllers write these keys, so the types inside arrays are not checked.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import Any, cast

import msgspec

from petrelthread import protocol

StoredValue = Any
"""A JSON value as the state service stores it."""

STOP_MARKER = ""  # replaces the machine name in a round's entry whose tasks are to stop


class KeyKind(StrEnum):
    """First part of a key without prefix; a key is ``kind/name`` or only the kind."""

    JOB = "j"  # by job: JobRecord; created once
    FINAL_STATUS = "f"  # by job: done or cancelled; created once
    ROUND = "r"  # by record number: RoundRecord
    FINISHED_TASKS = "d"  # by record number: FinishedTasksRecord
    SUSPECT_JOB = "s"  # by suspect job (fails everywhere): names of machines where it failed
    SCALE_OUT = "c"  # by scale-out request: ScaleOutRecord
    SCALE_IN = "x"  # by scale-in request: names of the machines to return
    LEADER = "lead"  # LeaderRecord
    EPOCH = "epoch"  # highest epoch or fencing token
    CATALOG = "catalog"  # the cloud's machine types
    OPTIONS = "options"  # settings changed by operators

    def key(self, name: object) -> str:
        """The key of one record of this kind, without prefix."""
        return f"{self}/{name}"


# Bits of JobRecord.flags.
SINGLE_ZONE = 1
SPREAD_ZONES = 2
SPOT_ALLOWED = 4
GANG = 8
SERVICE = 16


class JobRecord(msgspec.Struct, frozen=True, array_like=True):
    """An accepted job. Durations are in seconds, sizes in gigabytes."""

    team: str
    job_class: str
    priority: int  # a higher value takes precedence
    task_count: int
    cores: float  # of each task, as are accelerators and memory
    accelerators: float
    ram_gb: float
    image: str
    image_size_gb: float
    machine_types: list[str] | None  # allowed types; None allows any
    zone: str | None  # None allows any
    flags: int  # bits: SINGLE_ZONE and the following constants
    estimated_run_s: float
    checkpoint_interval_s: float  # 0 if it makes no checkpoints
    grace_period_s: float
    deadline_s: float | None
    accepted_at: float  # Unix time

    @classmethod
    def from_spec(cls, spec: protocol.JobSpec, accepted_at: float) -> JobRecord:
        """The record of a submission that has passed ``protocol.parse_job``."""
        return cls(
            team=spec.team,
            job_class=spec.job_class,
            priority=protocol.PRIORITIES[spec.priority],
            task_count=spec.task_count,
            cores=spec.cores,
            accelerators=spec.accelerators,
            ram_gb=spec.ram_gb,
            image=spec.image,
            image_size_gb=spec.image_size_gb,
            machine_types=None if spec.machine_types is None else list(spec.machine_types),
            zone=spec.zone,
            flags=_flags(spec),
            # ``parse_job`` never returns None in the next three fields.
            estimated_run_s=cast("float", spec.estimated_run_s),
            checkpoint_interval_s=cast("float", spec.checkpoint_interval_s),
            grace_period_s=cast("float", spec.grace_period_s),
            deadline_s=spec.deadline_s,
            accepted_at=round(accepted_at, 3),
        )


def _flags(spec: protocol.JobSpec) -> int:
    return (
        SINGLE_ZONE * spec.single_zone
        | SPREAD_ZONES * spec.spread_zones
        | SPOT_ALLOWED * spec.spot_allowed
        | GANG * (spec.kind == protocol.JobKind.GANG)
        | SERVICE * (spec.kind == protocol.JobKind.SERVICE)
    )


# Every controller decodes each round. These structs are in no reference cycles, so ``gc=False``
# saves the garbage collector from tracking them.
class TasksOfJob(msgspec.Struct, array_like=True, gc=False):
    """Some tasks of one job."""

    job_id: str
    tasks: list[int]


class RoundEntry(msgspec.Struct, array_like=True, gc=False):
    """Tasks that a round starts on one machine, or stops on any machine."""

    machine: str  # name, or STOP_MARKER
    incarnation: int  # of the worker that is to start the tasks
    jobs: list[TasksOfJob]

    @property
    def is_stop(self) -> bool:
        """Whether the tasks are to stop."""
        return self.machine == STOP_MARKER


RoundRecord = list[RoundEntry]


class FinishedTasks(msgspec.Struct, array_like=True):
    """Finished tasks of one job, stored as ranges."""

    job_id: str
    ranges: list[int]  # first and last task of each range, alternating

    def task_ranges(self) -> Iterator[range]:
        """The ranges of finished tasks."""
        for start in range(0, len(self.ranges), 2):
            yield range(self.ranges[start], self.ranges[start + 1] + 1)


FinishedTasksRecord = list[FinishedTasks]


class ScaleOutRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One scale-out request, written before it is sent and again when it has succeeded."""

    machine_type: str = msgspec.field(name="t")
    zone: str = msgspec.field(name="z")
    spot: bool = msgspec.field(name="s")
    count: int = msgspec.field(name="n")
    requested_at: float = msgspec.field(name="at")  # Unix time
    machine_names: tuple[str, ...] | None = msgspec.field(name="m", default=None)  # once known


class LeaderRecord(msgspec.Struct, frozen=True):
    """The leader; the key is attached to the leader's lease."""

    node: str
    nonce: str  # unique to one campaign
    epoch: int  # or the fencing token, once it has been raised
    lease: int


class StoredOptions(msgspec.Struct, frozen=True):
    """Settings changed by operators, and the revision of their key, 0 if it is absent."""

    values: dict[str, Any]
    revision: int


def encode(record: object) -> StoredValue:
    """Convert a record, or a container of records, to its stored value."""
    return msgspec.to_builtins(record)


def decode_job(value: StoredValue) -> JobRecord:
    """Decode a job."""
    return JobRecord(*value)


def decode_round(value: StoredValue) -> RoundRecord:
    """Decode the record of a round."""
    return [
        RoundEntry(machine, incarnation, [TasksOfJob(job_id, tasks) for job_id, tasks in jobs])
        for machine, incarnation, jobs in value
    ]


def decode_finished_tasks(value: StoredValue) -> FinishedTasksRecord:
    """Decode a record of finished tasks."""
    return [FinishedTasks(job_id, ranges) for job_id, ranges in value]


def decode_machine_names(value: StoredValue) -> list[str]:
    """Decode the names of machines where a job failed, or that are to be returned."""
    names: list[str] = value
    return names


def decode_scale_out(value: StoredValue) -> ScaleOutRecord:
    """Decode a scale-out request."""
    return msgspec.convert(value, ScaleOutRecord)


def decode_leader(value: StoredValue) -> LeaderRecord:
    """Decode the leader's record."""
    return msgspec.convert(value, LeaderRecord)
