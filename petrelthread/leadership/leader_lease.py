"""The lease to which the leader key is tied, as its holder sees it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from petrelthread.store import StateClient

LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 0.75
RENEW_TIMEOUT_S = 0.9
MAX_CLOCK_DRIFT = 1.001  # how much faster the state service's clock may run than ours


@dataclass(slots=True)
class LeaderLease:
    """A lease and the newest evidence that it has not expired.

    The state service counts the time to live from the moment at which it carried out the newest
    renewal. The holder counts from the moment at which it sent that renewal and allows for clock
    drift, so that the lease expires here first.
    """

    lease_id: int | None = None  # None before the first election
    renewed_at: float = 0.0  # when the newest successful request was sent, by the loop's clock

    @property
    def expires_at(self) -> float:
        """Until when no other controller can have been elected."""
        return self.renewed_at + LEASE_TTL_S / MAX_CLOCK_DRIFT

    async def renew(self, client: StateClient) -> float:
        """Ask the state service for a renewal; return the time at which it was requested.

        Raises:
            LeaseExpiredError: The lease is over.
            StateUnavailableError: The lease was not renewed.
            StateResultUnknownError: The lease may have been renewed.
            ValueError: There is no lease.
        """
        if self.lease_id is None:
            raise ValueError("no lease to renew")
        requested_at = asyncio.get_running_loop().time()
        await client.renew_lease(self.lease_id, timeout=RENEW_TIMEOUT_S)
        return requested_at
