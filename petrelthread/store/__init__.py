"""The state service: a client that keeps to its budgets, and a mirror of our keys."""

from petrelthread.store.client import (
    Budget,
    Conflict,
    NoSuchLease,
    Request,
    StateBusy,
    StateClient,
    StateDown,
    StateRefused,
    StateUnsure,
)
from petrelthread.store.mirror import ROOT, Mirror
from petrelthread.store.rates import WriteRates
from petrelthread.store.shares import Shares

__all__ = [
    "ROOT",
    "Budget",
    "Conflict",
    "Mirror",
    "NoSuchLease",
    "Request",
    "Shares",
    "StateBusy",
    "StateClient",
    "StateDown",
    "StateRefused",
    "StateUnsure",
    "WriteRates",
]
