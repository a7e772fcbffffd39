"""Values of the keys in the state service: the only place that knows their stored form.

Each kind of key has a ``decode_...`` function that makes a typed record of a stored value, and
``encode`` makes a stored value of any record. Records that are arrays in the store are positional:
the order of their fields is the stored order. All versions that may run next to each other read
the same form, so neither an order nor a stored name may change.

Only this service writes these keys, so the types inside of arrays are not checked.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import Any, cast

import msgspec

from petrelthread import protocol

StoredValue = Any
"""A JSON value as the state service holds it."""

STOP_MARKER = ""  # in a round's record, in place of a machine's name: these tasks are to stop


class KeyKind(StrEnum):
    """First part of a key below the root; ``kind/name``, or the kind alone."""

    JOB = "j"  # by job: JobRecord; created once
    FINAL_STATUS = "f"  # by job: done or cancelled; created once
    ROUND = "r"  # by record number: RoundRecord
    FINISHED_TASKS = "d"  # by record number: FinishedTasksRecord
    FAILING_JOB = "s"  # by job that fails everywhere: names of machines where it failed
    SCALE_OUT = "c"  # by scale-out request: ScaleOutRecord
    SCALE_IN = "x"  # by scale-in request: names of the machines to return
    LEADER = "lead"  # LeaderRecord
    EPOCH = "epoch"  # highest fencing token
    CATALOG = "catalog"  # the cloud's machine types
    OPTIONS = "options"  # settings changed by operators

    def key(self, name: object) -> str:
        """The key of one record of this kind, below the root."""
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
    priority: int  # higher goes first
    task_count: int
    cores: float  # of each task, as are accelerators and memory
    accelerators: float
    ram_gb: float
    image: str
    image_size_gb: float
    machine_types: list[str] | None  # None: any
    zone: str | None  # None: any
    flags: int
    estimated_run_s: float
    checkpoint_interval_s: float  # 0: no checkpoints
    grace_period_s: float
    deadline_s: float | None
    accepted_at: float  # seconds since the epoch of the wall clock

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
            # ``parse_job`` leaves None in none of these three.
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


# Every controller decodes each round; without reference cycles the collector need not see these.
class TasksOfJob(msgspec.Struct, array_like=True, gc=False):
    """Some tasks of one job."""

    job_id: str
    tasks: list[int]


class RoundEntry(msgspec.Struct, array_like=True, gc=False):
    """Tasks that a round starts on one machine, or stops wherever they run."""

    machine: str  # its name, or STOP_MARKER
    incarnation: int  # of the worker that is to start the tasks
    jobs: list[TasksOfJob]

    @property
    def is_stop(self) -> bool:
        """Whether the tasks are to stop."""
        return self.machine == STOP_MARKER


RoundRecord = list[RoundEntry]


class FinishedTasks(msgspec.Struct, array_like=True):
    """Finished tasks of one job, as ranges."""

    job_id: str
    ranges: list[int]  # first and last task of each range in turn

    def task_ranges(self) -> Iterator[range]:
        """The finished tasks, range by range."""
        for at in range(0, len(self.ranges), 2):
            yield range(self.ranges[at], self.ranges[at + 1] + 1)


FinishedTasksRecord = list[FinishedTasks]


class ScaleOutRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One scale-out request, written before it is sent and again when it has succeeded."""

    machine_type: str = msgspec.field(name="t")
    zone: str = msgspec.field(name="z")
    spot: bool = msgspec.field(name="s")
    count: int = msgspec.field(name="n")
    requested_at: float = msgspec.field(name="at")  # seconds since the epoch of the wall clock
    machine_names: tuple[str, ...] | None = msgspec.field(name="m", default=None)  # once known


class LeaderRecord(msgspec.Struct, frozen=True):
    """Who leads; the key is tied to the leader's lease."""

    node: str
    nonce: str  # of one candidacy
    epoch: int  # or the fencing token, once it has been raised
    lease: int


class StoredOptions(msgspec.Struct, frozen=True):
    """Settings changed by operators, and the revision of their key (0: never changed)."""

    values: dict[str, Any]
    revision: int


def encode(record: object) -> StoredValue:
    """The stored form of a record, or of a container of records."""
    return msgspec.to_builtins(record)


def decode_job(value: StoredValue) -> JobRecord:
    """Read a job."""
    return JobRecord(*value)


def decode_round(value: StoredValue) -> RoundRecord:
    """Read the record of a round."""
    return [
        RoundEntry(machine, incarnation, [TasksOfJob(job_id, tasks) for job_id, tasks in jobs])
        for machine, incarnation, jobs in value
    ]


def decode_finished_tasks(value: StoredValue) -> FinishedTasksRecord:
    """Read a record of finished tasks."""
    return [FinishedTasks(job_id, ranges) for job_id, ranges in value]


def decode_machine_names(value: StoredValue) -> list[str]:
    """Read the names of machines where a job failed, or that are to be returned."""
    names: list[str] = value
    return names


def decode_scale_out(value: StoredValue) -> ScaleOutRecord:
    """Read a scale-out request."""
    return msgspec.convert(value, ScaleOutRecord)


def decode_leader(value: StoredValue) -> LeaderRecord:
    """Read who leads."""
    return msgspec.convert(value, LeaderRecord)
