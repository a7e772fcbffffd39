"""Durable truth: jobs, finished tasks, and one record for every effect sent into the world."""

from petrelthread.state.claim_writer import Claims, Outcome
from petrelthread.state.cluster_state import STOPS, ClusterState
from petrelthread.state.job import FINISHED, PENDING, Attempt, Interners, Job
from petrelthread.state.operation_state import IllegalMove, Op, move
from petrelthread.state.records import SERIALS, epoch_of, first_number, pack_done, pack_round

__all__ = [
    "FINISHED",
    "PENDING",
    "SERIALS",
    "STOPS",
    "Attempt",
    "Claims",
    "ClusterState",
    "IllegalMove",
    "Interners",
    "Job",
    "Op",
    "Outcome",
    "epoch_of",
    "first_number",
    "move",
    "pack_done",
    "pack_round",
]
