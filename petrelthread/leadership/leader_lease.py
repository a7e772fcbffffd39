"""The lease to which the leader key is attached, as seen by the lease's holder."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from petrelthread.settings import CLOCK_DRIFT_FACTOR
from petrelthread.store import StateClient

LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 0.75
RENEW_TIMEOUT_S = 0.9


@dataclass(slots=True)
class LeaderLease:
    """A lease and the latest evidence that it has not expired.

    The state service measures the time to live from when it processed the latest renewal. The
    holder measures it from when it sent that renewal and allows for clock drift, so that the lease
    expires at the holder first.
    """

    lease_id: int | None = None  # None before the first election
    # Event loop time at which the latest successful request for a grant or renewal was sent.
    renewed_at: float = 0.0

    @property
    def expires_at(self) -> float:
        """Event loop time before which no other controller can have been elected."""
        return self.renewed_at + LEASE_TTL_S / CLOCK_DRIFT_FACTOR

    async def renew(self, client: StateClient) -> float:
        """Renew the lease; return the event loop time at which the request was sent.

        Raises:
            LeaseExpiredError: The lease has expired.
            StateUnavailableError: The lease was not renewed.
            StateResultUnknownError: The lease may have been renewed.
            ValueError: There is no lease.
        """
        if self.lease_id is None:
            raise ValueError("no lease to renew")
        requested_at = asyncio.get_running_loop().time()
        await client.renew_lease(self.lease_id, timeout=RENEW_TIMEOUT_S)
        return requested_at
