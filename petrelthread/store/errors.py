"""Errors of calls to the state service, by what is known about the request's effect."""

from __future__ import annotations


class StateServiceError(Exception):
    """A call to the state service did not succeed."""


class StateUnavailableError(StateServiceError):
    """The request was certainly not carried out: it was refused (429, 503) or never sent."""


class StateRateLimitedError(StateUnavailableError):
    """Refused (429) because the request rate is too high; the request may be retried soon."""


class StateRejectedError(StateUnavailableError):
    """Refused (400) as malformed or beyond a limit; the same request would be refused again."""


class StateResultUnknownError(StateServiceError):
    """The request may have been or may still be carried out: no usable response arrived."""


class TransactionConflictError(StateServiceError):
    """A condition of the transaction was not met; nothing was applied.

    Attributes:
        failed_keys: keys of the conditions that were not met, with their prefix.
    """

    def __init__(self, failed_keys: tuple[str, ...]) -> None:
        super().__init__(f"conditions failed: {', '.join(failed_keys)}")
        self.failed_keys = failed_keys


class LeaseExpiredError(StateServiceError):
    """The lease that the request names has expired or was revoked."""
