"""State that controllers share through the state service, and the format of its stored records."""

from petrelthread.interner import InternedNames
from petrelthread.state.cluster_state import ClusterState
from petrelthread.state.job import TASK_FINISHED, TASK_LIVE, TASK_PENDING, Attempt, Job, TaskKey
from petrelthread.state.operation_state import IllegalTransitionError, OperationState, transition
from petrelthread.state.record_numbers import RECORDS_PER_EPOCH, epoch_base_number, epoch_of
from petrelthread.state.record_packing import Placement, pack_finished_tasks, pack_round_records
from petrelthread.state.stored_jobs import StoredJobs
from petrelthread.state.stored_records import (
    STOP_MARKER,
    FinishedTasks,
    FinishedTasksRecord,
    JobRecord,
    KeyKind,
    LeaderRecord,
    RoundEntry,
    RoundRecord,
    ScaleOutRecord,
    StoredOptions,
    TasksOfJob,
    decode_job,
    decode_leader,
    decode_round,
    encode,
)

__all__ = [
    "RECORDS_PER_EPOCH",
    "STOP_MARKER",
    "TASK_FINISHED",
    "TASK_LIVE",
    "TASK_PENDING",
    "Attempt",
    "ClusterState",
    "FinishedTasks",
    "FinishedTasksRecord",
    "IllegalTransitionError",
    "InternedNames",
    "Job",
    "JobRecord",
    "KeyKind",
    "LeaderRecord",
    "OperationState",
    "Placement",
    "RoundEntry",
    "RoundRecord",
    "ScaleOutRecord",
    "StoredJobs",
    "StoredOptions",
    "TaskKey",
    "TasksOfJob",
    "decode_job",
    "decode_leader",
    "decode_round",
    "encode",
    "epoch_base_number",
    "epoch_of",
    "pack_finished_tasks",
    "pack_round_records",
    "transition",
]
