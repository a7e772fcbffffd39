"""Durable truth: jobs, finished tasks, and one record for every effect sent into the world."""

from petrelthread.state.cluster_state import STOP_MARKER, ClusterState
from petrelthread.state.job import TASK_FINISHED, TASK_PENDING, Attempt, InternedNames, Job
from petrelthread.state.operation_state import IllegalTransitionError, OperationState, transition
from petrelthread.state.records import (
    RECORDS_PER_EPOCH,
    epoch_base_number,
    epoch_of,
    pack_finished_tasks,
    pack_round_records,
)

__all__ = [
    "RECORDS_PER_EPOCH",
    "STOP_MARKER",
    "TASK_FINISHED",
    "TASK_PENDING",
    "Attempt",
    "ClusterState",
    "IllegalTransitionError",
    "InternedNames",
    "Job",
    "OperationState",
    "epoch_base_number",
    "epoch_of",
    "pack_finished_tasks",
    "pack_round_records",
    "transition",
]
