"""Durable truth: jobs, finished tasks, and one record for every effect sent into the world."""

from petrelthread.ledger.book import (
    FINISHED,
    PENDING,
    STOPS,
    Attempt,
    Book,
    Job,
    NamesBook,
    pack_done,
    pack_round,
)
from petrelthread.ledger.claims import Claims, Outcome
from petrelthread.ledger.operation import IllegalMove, Op, move

__all__ = [
    "FINISHED",
    "PENDING",
    "STOPS",
    "Attempt",
    "Book",
    "Claims",
    "IllegalMove",
    "Job",
    "NamesBook",
    "Op",
    "Outcome",
    "move",
    "pack_done",
    "pack_round",
]
