"""Access to the state service: a rate-limited client, a cache of its keys, and write quotas."""

from petrelthread.store.client import SendRequest, StateClient
from petrelthread.store.closable_entries import ClosableEntries
from petrelthread.store.errors import (
    LeaseExpiredError,
    StateRateLimitedError,
    StateRejectedError,
    StateResultUnknownError,
    StateServiceError,
    StateUnavailableError,
    TransactionConflictError,
)
from petrelthread.store.token_bucket import TokenBucket
from petrelthread.store.watch_cache import KEY_PREFIX, WatchCache
from petrelthread.store.write_quota import WriteQuota
from petrelthread.store.write_rates import WriteRates

__all__ = [
    "KEY_PREFIX",
    "ClosableEntries",
    "LeaseExpiredError",
    "SendRequest",
    "StateClient",
    "StateRateLimitedError",
    "StateRejectedError",
    "StateResultUnknownError",
    "StateServiceError",
    "StateUnavailableError",
    "TokenBucket",
    "TransactionConflictError",
    "WatchCache",
    "WriteQuota",
    "WriteRates",
]
