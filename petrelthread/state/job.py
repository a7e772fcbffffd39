"""A job with its tasks, and the attempts to run them."""

from __future__ import annotations

from collections.abc import Iterator

from petrelthread import protocol
from petrelthread.interner import InternedNames
from petrelthread.state import stored_records
from petrelthread.state.operation_state import OperationState
from petrelthread.state.stored_records import JobRecord

# States of a task, as bytes of Job.task_states.
TASK_PENDING = 0
TASK_LIVE = 1  # has an attempt that may be running
TASK_FINISHED = 2

TaskKey = tuple[int, int]  # index of the job, number of the task

STOP_TIME_UNKNOWN = 1.0  # seconds; long before the start of any controller's event loop clock


class Attempt:
    """One attempt to run one task on one machine.

    Attributes:
        number: record number of the round that started it, and its attempt number at the worker.
        job: its job.
        task: index of its task.
        machine: index of its machine.
        incarnation: of the worker that was to start it.
        state: changed only by ``transition``.
        reported_state: the ``protocol.TaskState`` last reported by the worker; empty before the
            first report.
        running_at: event loop time at which it was first seen running; 0 before, and once its
            checkpoints have been credited to the job.
        stop_requested_at: event loop time at which it was told to stop; 0 before,
            ``STOP_TIME_UNKNOWN`` if only the record of the stop is known.
        proven_stable: a replica that has run long enough to show that its job can run.
        start_delivered: whether an answer to a heartbeat has carried its start.
    """

    __slots__ = (
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
        self,
        number: int,
        job: Job,
        task: int,
        machine: int,
        incarnation: int,
        state: OperationState,
    ) -> None:
        self.number = number
        self.job = job
        self.task = task
        self.machine = machine
        self.incarnation = incarnation
        self.state = state
        self.reported_state = ""
        self.running_at = 0.0
        self.stop_requested_at = 0.0
        self.proven_stable = False
        self.start_delivered = False

    @property
    def has_exited(self) -> bool:
        """Whether the worker has reported that the task's process is gone."""
        return self.reported_state == protocol.TaskState.EXITED


# Attributes of a job, by where they come from.
_DESCRIPTION = (  # the job's record
    "accelerators",
    "accepted_at",
    "checkpoint_interval_s",
    "cores",
    "deadline_s",
    "estimated_run_s",
    "grace_period_s",
    "id",
    "image",
    "image_size_gb",
    "index",
    "is_gang",
    "is_service",
    "job_class",
    "machine_types",
    "priority",
    "ram_gb",
    "single_zone",
    "spot_allowed",
    "spread_zones",
    "task_count",
    "team",
    "zone",
)
_PROGRESS = (  # records of rounds, of finished tasks and of final states
    "done_count",
    "done_records",
    "final_status",
    "live_attempts",
    "task_states",
)
_OBSERVED = (  # known only to the controller that leads
    "backoff_s",
    "checkpointed_s",
    "failing_tasks",
    "last_start_at",
    "preemption_counts",
    "retry_at",
    "suspect_since",
)


class Job:
    """One job: its description, its recorded progress, and what the leader observes.

    Attributes of the description have the meaning and units of ``JobRecord``; names are interned.
    All of them are kept in one object with slots, because placement reads them for every task.

    Attributes:
        index: position in ``ClusterState.jobs``.
        final_status: None while the job is open.
        task_states: one byte for each task: TASK_PENDING, TASK_LIVE or TASK_FINISHED; empty once
            the job has a final status.
        live_attempts: by task.
        done_count: number of finished tasks.
        done_records: numbers of the records that hold its finished tasks.
        failing_tasks: tasks whose last attempt failed.
        suspect_since: event loop time at which it last began to fail everywhere; 0 if never.
        checkpointed_s: by task: seconds of work that checkpoints have saved.
        preemption_counts: by task: how often it was preempted.
        backoff_s: current pause between two attempts.
        retry_at: event loop time before which it is not placed.
        last_start_at: wall clock time at which one of its tasks was last placed; 0 before.
    """

    __slots__ = (*_DESCRIPTION, *_PROGRESS, *_OBSERVED)

    def __init__(self, index: int, job_id: str, record: JobRecord, names: InternedNames) -> None:
        self.index = index
        self.id = job_id
        self._describe(record, names)
        self.final_status: str | None = None
        self.task_states = bytearray(record.task_count)
        self.live_attempts: dict[int, Attempt] = {}
        self.done_count = 0
        self.done_records: list[int] = []
        self.failing_tasks: set[int] = set()
        self.suspect_since = 0.0
        self.checkpointed_s: dict[int, float] = {}
        self.preemption_counts: dict[int, int] = {}
        self.backoff_s = 0.0
        self.retry_at = 0.0
        self.last_start_at = 0.0

    def _describe(self, record: JobRecord, names: InternedNames) -> None:
        self.team = names.teams.index(record.team)
        self.job_class = names.job_classes.index(record.job_class)
        self.priority = record.priority
        self.task_count = record.task_count
        self.cores = record.cores
        self.accelerators = record.accelerators
        self.ram_gb = record.ram_gb
        self.image = names.images.index(record.image)
        self.image_size_gb = record.image_size_gb
        self.machine_types = (
            None
            if record.machine_types is None
            else frozenset(names.machine_types.index(name) for name in record.machine_types)
        )
        self.zone = None if record.zone is None else names.zones.index(record.zone)
        self.single_zone = bool(record.flags & stored_records.SINGLE_ZONE)
        self.spread_zones = bool(record.flags & stored_records.SPREAD_ZONES)
        self.spot_allowed = bool(record.flags & stored_records.SPOT_ALLOWED)
        self.is_gang = bool(record.flags & stored_records.GANG)
        self.is_service = bool(record.flags & stored_records.SERVICE)
        self.estimated_run_s = record.estimated_run_s
        self.checkpoint_interval_s = record.checkpoint_interval_s
        self.grace_period_s = record.grace_period_s
        self.deadline_s = record.deadline_s
        self.accepted_at = record.accepted_at

    def lost_work_s(self, ran_s: float, stopped: bool) -> float:
        """Seconds of work lost with a task that has run for ``ran_s``.

        Args:
            ran_s: seconds.
            stopped: the task is told to stop and can save a checkpoint; else it ends without
                notice, as when its machine is lost.
        """
        if self.checkpoint_interval_s <= 0:
            return ran_s
        return min(ran_s, self.grace_period_s) if stopped else ran_s % self.checkpoint_interval_s

    @property
    def pending_count(self) -> int:
        """Number of tasks that wait for placement."""
        return self.task_count - self.done_count - len(self.live_attempts)

    @property
    def status(self) -> str:
        """A ``protocol.JobStatus``: the final one, else by whether any task has an attempt."""
        if self.final_status is not None:
            return self.final_status
        return protocol.JobStatus.RUNNING if self.live_attempts else protocol.JobStatus.QUEUED

    def pending_tasks(self) -> Iterator[int]:
        """Tasks that wait for placement; those that have failed come last."""
        at = self.task_states.find(TASK_PENDING)
        while at >= 0:
            if at not in self.failing_tasks:
                yield at
            at = self.task_states.find(TASK_PENDING, at + 1)
        if self.task_states:  # empty once the job has a final status
            yield from sorted(
                task for task in self.failing_tasks if self.task_states[task] == TASK_PENDING
            )
