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

TaskKey = tuple[int, int]  # index of the job, index of the task

# Event loop time in seconds that stands for an unknown time of a stop; it is long before any time
# that a controller reads from its event loop.
STOP_TIME_UNKNOWN = 1.0


class Attempt:
    """One attempt to run one task on one machine.

    Attributes:
        number: number of the record of the round that started it, and the attempt number that
            the worker knows.
        job: its job.
        task: index of its task.
        machine: index of its machine.
        incarnation: incarnation of the worker that was to start it.
        state: changed only by ``transition``.
        reported_state: the ``protocol.TaskState`` last reported by the worker; empty before the
            first report.
        running_at: event loop time at which it was first reported running; 0 before that, and
            after its checkpoints have been credited to ``Job.checkpointed_s``.
        stop_requested_at: event loop time at which its stop was dispatched; 0 before that,
            ``STOP_TIME_UNKNOWN`` if only the record of the stop is known.
        proven_stable: whether it is a replica that has run long enough to show that its job
            can run.
        start_delivered: whether a heartbeat response has contained its start command.
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
        """Whether the worker has reported that the task's process has exited."""
        return self.reported_state == protocol.TaskState.EXITED


# Attributes of a job, by their source.
_DESCRIPTION = (  # from the job's record
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
_PROGRESS = (  # from records of rounds, finished tasks and final statuses
    "final_status",
    "finished_count",
    "finished_task_records",
    "live_attempts",
    "task_states",
)
_OBSERVED = (  # not stored; known only to the leader
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
    One object with slots has all attributes, because placement reads them for every task.

    Attributes:
        index: key in ``ClusterState.jobs``.
        final_status: None while the job is open.
        task_states: one byte for each task: TASK_PENDING, TASK_LIVE or TASK_FINISHED; empty once
            the job has a final status.
        live_attempts: by task.
        finished_count: number of finished tasks.
        finished_task_records: numbers of the records that contain its finished tasks.
        failing_tasks: tasks whose last attempt failed.
        suspect_since: event loop time at which it last became suspect, that is, began to fail
            everywhere; 0 if never.
        checkpointed_s: by task: seconds of work saved in checkpoints.
        preemption_counts: by task: how often it was preempted.
        backoff_s: current backoff between two attempts.
        retry_at: event loop time before which none of its tasks is placed.
        last_start_at: wall clock time of the latest start of one of its tasks; 0 before that.
    """

    __slots__ = (*_DESCRIPTION, *_PROGRESS, *_OBSERVED)

    def __init__(self, index: int, job_id: str, record: JobRecord, names: InternedNames) -> None:
        self.index = index
        self.id = job_id
        self._describe(record, names)
        self.final_status: str | None = None
        self.task_states = bytearray(record.task_count)
        self.live_attempts: dict[int, Attempt] = {}
        self.finished_count = 0
        self.finished_task_records: list[int] = []
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

    def finish(self, final_status: str) -> None:
        """Set the final status, and drop what only an open job needs."""
        self.final_status = final_status
        if final_status == protocol.JobStatus.DONE:
            self.finished_count = self.task_count
        self.task_states = bytearray()
        self.finished_task_records = []

    def lost_work_s(self, ran_s: float, stopped: bool) -> float:
        """Seconds of work that are lost if an attempt ends.

        Args:
            ran_s: how long it has run, in seconds.
            stopped: whether it gets a stop command and can save a checkpoint; otherwise it ends
                without notice, for example because its machine fails.
        """
        if self.checkpoint_interval_s <= 0:
            return ran_s
        return min(ran_s, self.grace_period_s) if stopped else ran_s % self.checkpoint_interval_s

    @property
    def pending_count(self) -> int:
        """Number of tasks that wait to be placed."""
        return self.task_count - self.finished_count - len(self.live_attempts)

    @property
    def status(self) -> str:
        """The final ``protocol.JobStatus``; without one, RUNNING if any task has an attempt."""
        if self.final_status is not None:
            return self.final_status
        return protocol.JobStatus.RUNNING if self.live_attempts else protocol.JobStatus.QUEUED

    def pending_tasks(self) -> Iterator[int]:
        """Tasks that wait to be placed; those whose last attempt failed come last."""
        next_task = self.task_states.find(TASK_PENDING)
        while next_task >= 0:
            if next_task not in self.failing_tasks:
                yield next_task
            next_task = self.task_states.find(TASK_PENDING, next_task + 1)
        if self.task_states:  # empty once the job has a final status
            yield from sorted(
                task for task in self.failing_tasks if self.task_states[task] == TASK_PENDING
            )
