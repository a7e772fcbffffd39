"""How many writes to the state service this controller may make, as its role and load change.

The service's limit is divided by role (``store.WriteRates``). What a controller does not need of
its share it lends to siblings (``store.WriteQuota``).
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

PEER_TIMEOUT_S = 10.0  # a sibling without a heartbeat for so long is likely to write nothing
BORROW_AFTER_S = 20.0  # since the start, and since the service last refused us for our rate
SAMPLE_WEIGHT = 0.3  # of the newest sample in the mean write rate
MIN_SAMPLE_S = 0.1


class WriteRateManager:
    """Keeps the write bucket of the state client at the rate that this controller may use."""

    def __init__(
        self,
        settings: Settings,
        state_client: StateClient,
        rates: WriteRates,
        role: Callable[[], Role],
    ) -> None:
        """``rates``: the division of the present limit. ``role``: of this controller, now."""
        self._state_settings = settings.cluster.state
        self._controllers = max(1, settings.cluster.count)
        self._siblings = len(settings.siblings)
        self._state_client = state_client
        self._bucket = state_client.write_bucket
        self._role = role
        self._limit = self._state_settings.write_rps
        self._rates = rates
        self._started_at = float("inf")
        self._mean_rate = 0.0  # of our own writes, per second
        self._sampled_total = 0.0
        self.quota = WriteQuota(rates.follower)

    def start(self) -> None:
        """The controller begins to run now."""
        self._started_at = asyncio.get_running_loop().time()

    def update(self, peers: PeerMonitor, now: float) -> None:
        """Set the rate anew after a change of role, loans or reachable siblings."""
        self._detect_lowered_limit()
        active = self._role() in ACTIVE_ROLES
        unresponsive = 0
        if active and self._may_borrow(now):
            unresponsive = self._siblings - len(peers.recent(PEER_TIMEOUT_S))
        self.quota.base_rate = self._rates.leader if active else self._rates.follower
        # Beyond its share a leader may use half of what unresponsive siblings have: they may be
        # alive. Together with what all leave unused that stays within the limit.
        idle = unresponsive * self._rates.follower / 2
        self.quota.extra_rate = min(self._rates.unused, idle)
        self._bucket.set_rate(self.quota.rate(now), now)

    def sample(self, elapsed_s: float) -> None:
        """Measure our own writes since the last sample."""
        total = self._bucket.total_acquired
        recent = (total - self._sampled_total) / max(elapsed_s, MIN_SAMPLE_S)
        self._sampled_total = total
        self._mean_rate += (recent - self._mean_rate) * SAMPLE_WEIGHT

    def requested_rate(self, now: float) -> float:
        """Writes a second to ask siblings for; 0 while our own share suffices."""
        return self.quota.base_rate if self._bucket.is_low(now) and self._may_borrow(now) else 0.0

    def lend(self, heartbeat: PeerHeartbeat, peers: PeerMonitor) -> float:
        """Writes a second lent to a sibling that asks; only an idle controller lends any."""
        now = asyncio.get_running_loop().time()
        requested = heartbeat.requested_write_rate if self._bucket.is_full(now) else 0.0
        amount = self.quota.lend(heartbeat.node, requested, self._mean_rate, now)
        self.update(peers, now)
        return amount

    def _may_borrow(self, now: float) -> bool:
        """Whether siblings may be asked for writes.

        A follower always may: early users all reach the controllers that are up first. A leader may
        only while the service's bursts are not spent, since its writes would be refused, and with
        them submissions.
        """
        if self._role() not in ACTIVE_ROLES:
            return True
        refused = now - self._state_client.rate_limited_at < BORROW_AFTER_S
        return not refused and now - self._started_at > BORROW_AFTER_S

    def _detect_lowered_limit(self) -> None:
        """A refused write shows that the service may have lowered its limit, as was announced."""
        lowered = self._state_settings.lowered_write_rps
        if not self._state_client.write_rate_limited or self._limit <= lowered:
            return
        log.info("the state service accepts %.0f writes a second from now on", lowered)
        self._limit = lowered
        self._rates = WriteRates.divide(lowered, self._controllers)
        self._bucket.burst = max(self._rates.burst, 1.0)
