"""Adapts the rate of writes to the state service to this controller's role and load.

The service's limit is divided by role (``store.WriteRates``). A controller lends the part of its
share that it does not need to siblings (``store.WriteQuota``).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from petrelthread.leadership import ACTIVE_ROLES, Role
from petrelthread.peers import PeerHeartbeat, PeerMonitor
from petrelthread.settings import Settings
from petrelthread.store import StateClient, WriteQuota, WriteRates

log = logging.getLogger(__name__)

PEER_TIMEOUT_S = 10.0  # a sibling without a heartbeat for longer probably writes nothing
# A leader borrows nothing until this long after its start and after its last 429 response.
BORROW_AFTER_S = 20.0
SAMPLE_WEIGHT = 0.3  # weight of the newest sample in the mean write rate
MIN_SAMPLE_S = 0.1  # assumed duration of a shorter sample


class WriteRateManager:
    """Sets the rate of the state client's write bucket to what this controller may use."""

    def __init__(
        self,
        settings: Settings,
        state_client: StateClient,
        rates: WriteRates,
        role: Callable[[], Role],
    ) -> None:
        """Start with ``rates``, the division of the present limit; ``role`` returns the role."""
        self._state_settings = settings.cluster.state
        self._controllers = max(1, settings.cluster.count)
        self._siblings = len(settings.siblings)
        self._state_client = state_client
        self._bucket = state_client.write_bucket
        self._role = role
        self._limit = self._state_settings.write_rps
        self._rates = rates
        self._started_at = float("inf")
        self._mean_rate = 0.0  # of this controller's writes, per second; moving mean
        self._sampled_total = 0.0
        self.quota = WriteQuota(rates.follower)

    def start(self) -> None:
        """Set the start time of the controller to now."""
        self._started_at = asyncio.get_running_loop().time()

    def update(self, peers: PeerMonitor, now: float) -> None:
        """Recompute the write rate from the role, the loans and the reachable siblings."""
        self._detect_lowered_limit()
        active = self._role() in ACTIVE_ROLES
        unresponsive = 0
        if active and self._may_borrow(now):
            unresponsive = self._siblings - len(peers.recent_heartbeats(PEER_TIMEOUT_S))
        self.quota.base_rate = self._rates.leader if active else self._rates.follower
        # Beyond its share a leader may use half of the shares of unresponsive siblings. They may
        # be alive, so the extra rate is at most what all controllers leave unused of the limit.
        idle_rate = unresponsive * self._rates.follower / 2
        self.quota.extra_rate = min(self._rates.unused, idle_rate)
        self._bucket.set_rate(self.quota.rate(now), now)

    def sample(self, elapsed_s: float) -> None:
        """Update the mean write rate from the writes since the last sample."""
        total = self._bucket.total_acquired
        recent = (total - self._sampled_total) / max(elapsed_s, MIN_SAMPLE_S)
        self._sampled_total = total
        self._mean_rate += (recent - self._mean_rate) * SAMPLE_WEIGHT

    def requested_rate(self, now: float) -> float:
        """Writes per second to borrow from siblings; 0 if not needed or not permitted."""
        return self.quota.base_rate if self._bucket.is_low(now) and self._may_borrow(now) else 0.0

    def lend(self, heartbeat: PeerHeartbeat, peers: PeerMonitor) -> float:
        """Return the writes per second lent to a sibling; only an idle controller lends any."""
        now = asyncio.get_running_loop().time()
        requested = heartbeat.requested_write_rate if self._bucket.is_full(now) else 0.0
        amount = self.quota.lend(heartbeat.node, requested, self._mean_rate, now)
        self.update(peers, now)
        return amount

    def _may_borrow(self, now: float) -> bool:
        """Whether this controller may borrow write rate from siblings.

        A follower always may, because the first user requests all reach the controllers that start
        first. A leader may only while the service's burst allowance is not used up; otherwise the
        service would refuse its writes, and submissions would fail.
        """
        if self._role() not in ACTIVE_ROLES:
            return True
        refused = now - self._state_client.rate_limited_at < BORROW_AFTER_S
        return not refused and now - self._started_at > BORROW_AFTER_S

    def _detect_lowered_limit(self) -> None:
        """Use the announced lower limit once a write refused with 429 shows that it may apply."""
        lowered = self._state_settings.lowered_write_rps
        if not self._state_client.write_rate_limited or self._limit <= lowered:
            return
        log.info("state service write limit lowered to %.0f writes per second", lowered)
        self._limit = lowered
        self._rates = WriteRates.divide(lowered, self._controllers)
        self._bucket.burst = max(self._rates.burst, 1.0)
