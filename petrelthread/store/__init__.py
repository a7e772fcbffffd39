"""The state service: a client that keeps to its budgets, and a watch cache of our keys."""

from petrelthread.store.client import (
    LeaseExpiredError,
    Request,
    StateClient,
    StateRateLimitedError,
    StateRejectedError,
    StateResultUnknownError,
    StateUnavailableError,
    TokenBucket,
    TransactionConflictError,
)
from petrelthread.store.watch_cache import KEY_PREFIX, WatchCache
from petrelthread.store.write_quota import WriteQuota
from petrelthread.store.write_rates import WriteRates

__all__ = [
    "KEY_PREFIX",
    "LeaseExpiredError",
    "Request",
    "StateClient",
    "StateRateLimitedError",
    "StateRejectedError",
    "StateResultUnknownError",
    "StateUnavailableError",
    "TokenBucket",
    "TransactionConflictError",
    "WatchCache",
    "WriteQuota",
    "WriteRates",
]
