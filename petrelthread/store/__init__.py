"""The state service: a client that keeps to its budgets, and a watch cache of our keys."""

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
from petrelthread.store.watch_cache import ROOT, WatchCache
from petrelthread.store.write_quota import WriteQuota
from petrelthread.store.write_rates import WriteRates

__all__ = [
    "ROOT",
    "Budget",
    "Conflict",
    "NoSuchLease",
    "Request",
    "StateBusy",
    "StateClient",
    "StateDown",
    "StateRefused",
    "StateUnsure",
    "WatchCache",
    "WriteQuota",
    "WriteRates",
]
