"""Durable truth: jobs, finished tasks, and one record for every effect sent into the world."""

from petrelthread.ledger.claims import Claims, Outcome
from petrelthread.ledger.cluster_state import STOPS, ClusterState
from petrelthread.ledger.job import FINISHED, PENDING, Attempt, Interners, Job
from petrelthread.ledger.operation import IllegalMove, Op, move
from petrelthread.ledger.records import SERIALS, epoch_of, first_number, pack_done, pack_round

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
