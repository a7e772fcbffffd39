"""A job with its tasks, and the attempts to run them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from petrelthread import protocol
from petrelthread.interner import Interner
from petrelthread.state.operation_state import OperationState

TASK_PENDING, TASK_LIVE, TASK_FINISHED = 0, 1, 2  # states of a task


class InternedNames:
    """All interned kinds of names."""

    def __init__(self, teams: Iterable[str] = (), zones: Iterable[str] = ()) -> None:
        self.teams = Interner()
        self.zones = Interner()
        self.machine_types = Interner()
        self.images = Interner()
        self.machines = Interner()
        self.job_classes = Interner()
        for team in teams:
            self.teams.index(team)
        for zone in zones:
            self.zones.index(zone)


class Attempt:
    """One try to run one task: the round's number, on one machine in one session."""

    __slots__ = (
        "claimed_at",
        "incarnation",
        "job",
        "machine",
        "number",
        "proven_stable",
        "reported_state",
        "running_at",
        "start_delivered",
        "state",
        "stop_requested_at",
        "task",
    )

    def __init__(
        self, number: int, job: Job, task: int, machine: int, session: int, state: OperationState
    ) -> None:
        self.number = number
        self.job = job
        self.task = task
        self.machine = machine
        self.incarnation = session
        self.state = state
        self.reported_state = ""  # as the worker last reported it
        self.claimed_at = 0.0
        self.running_at = 0.0
        self.stop_requested_at = 0.0
        self.proven_stable = False  # a replica: it has run long enough to show that its job can
        self.start_delivered = False  # its start has gone out with the answer to a report

    @property
    def has_exited(self) -> bool:
        return self.reported_state == protocol.TaskState.EXITED


class Job:
    __slots__ = (
        "accelerators",
        "accepted_at",
        "backoff_s",
        "checkpoint_interval_s",
        "checkpointed_s",
        "cores",
        "deadline_s",
        "done_count",
        "done_records",
        "estimated_run_s",
        "failing_tasks",
        "final_status",
        "first_start_at",
        "grace_period_s",
        "id",
        "image",
        "image_size_gb",
        "index",
        "is_gang",
        "is_service",
        "job_class",
        "last_start_at",
        "live_attempts",
        "machine_types",
        "preemption_counts",
        "priority",
        "ram_gb",
        "retry_at",
        "single_zone",
        "spot_allowed",
        "spread_zones",
        "suspect_since",
        "task_count",
        "task_states",
        "team",
        "zone",
    )

    cores: float
    accelerators: float
    ram_gb: float
    image_size_gb: float
    estimated_run_s: float
    checkpoint_interval_s: float
    grace_period_s: float
    deadline_s: float | None
    accepted_at: float

    def __init__(self, index: int, job_id: str, value: list[Any], names: InternedNames) -> None:
        (
            team,
            jobclass,
            rank,
            tasks,
            self.cores,
            self.accelerators,
            self.ram_gb,
            image,
            self.image_size_gb,
            types,
            zone,
            flags,
            self.estimated_run_s,
            self.checkpoint_interval_s,
            self.grace_period_s,
            self.deadline_s,
            self.accepted_at,
        ) = value
        self.index = index
        self.id = job_id
        self.team = names.teams.index(team)
        self.job_class = names.job_classes.index(jobclass)
        self.priority: int = rank
        self.task_count: int = tasks
        self.image = names.images.index(image)
        self.machine_types = (
            None if types is None else frozenset(names.machine_types.index(t) for t in types)
        )
        self.zone = None if zone is None else names.zones.index(zone)
        self.single_zone = bool(flags & 1)
        self.spread_zones = bool(flags & 2)
        self.spot_allowed = bool(flags & 4)
        self.is_gang = bool(flags & 8)  # all tasks at once or none
        self.is_service = bool(flags & 16)  # runs until it is cancelled
        self.final_status: str | None = None
        self.task_states = bytearray(tasks)
        self.live_attempts: dict[int, Attempt] = {}
        self.done_count = 0
        self.done_records: list[int] = []
        # What the leader learns as it goes along:
        self.failing_tasks: set[int] = set()  # tasks whose last try failed
        self.suspect_since = 0.0
        self.checkpointed_s: dict[int, float] = {}  # by task: seconds that checkpoints have saved
        self.preemption_counts: dict[int, int] = {}  # by task: how often it was stopped for others
        self.backoff_s = 0.0
        self.retry_at = 0.0
        self.first_start_at = 0.0
        self.last_start_at = 0.0  # when a task of it was last placed

    @staticmethod
    def encode(spec: protocol.JobSpec, now: float) -> list[Any]:
        flags = spec.single_zone | spec.spread_zones << 1 | spec.spot_allowed << 2
        flags |= (spec.kind == protocol.JobKind.GANG) << 3 | (
            spec.kind == protocol.JobKind.SERVICE
        ) << 4
        return [
            spec.team,
            spec.job_class,
            protocol.PRIORITIES[spec.priority],
            spec.task_count,
            spec.cores,
            spec.accelerators,
            spec.ram_gb,
            spec.image,
            spec.image_size_gb,
            None if spec.machine_types is None else list(spec.machine_types),
            spec.zone,
            flags,
            spec.estimated_run_s,
            spec.checkpoint_interval_s,
            spec.grace_period_s,
            spec.deadline_s,
            round(now, 3),
        ]

    def lost_work_s(self, ran_s: float, stopped: bool) -> float:
        """What a task that ran so long loses when it is stopped, or with its machine."""
        if self.checkpoint_interval_s <= 0:
            return ran_s
        return min(ran_s, self.grace_period_s) if stopped else ran_s % self.checkpoint_interval_s

    @property
    def pending_count(self) -> int:
        return self.task_count - self.done_count - len(self.live_attempts)

    @property
    def status(self) -> str:
        if self.final_status is not None:
            return self.final_status
        return protocol.JobStatus.RUNNING if self.live_attempts else protocol.JobStatus.QUEUED

    def pending_tasks(self) -> Iterator[int]:
        """Those that have failed come last: bad tasks must not keep good ones waiting."""
        at = self.task_states.find(TASK_PENDING)
        while at >= 0:
            if at not in self.failing_tasks:
                yield at
            at = self.task_states.find(TASK_PENDING, at + 1)
        if self.task_states:  # none once it is over
            yield from sorted(
                task for task in self.failing_tasks if self.task_states[task] == TASK_PENDING
            )
