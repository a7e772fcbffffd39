"""The leader's provisioning steps, and the followers' reading of the catalog."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

import msgspec

from petrelthread import protocol
from petrelthread.leadership import ClaimOutcome, ClaimWriter, Election
from petrelthread.pause_detector import PauseDetector
from petrelthread.provisioning import Provisioner
from petrelthread.state import ClusterState, KeyKind
from petrelthread.store import KEY_PREFIX

log = logging.getLogger(__name__)

MAX_WAIT_S = 1.0  # maximum wait for a wake-up before the next step
STEP_INTERVAL_S = 0.5  # minimum pause between two steps
MAX_PLAN_TIME_SHARE = 0.1  # share of the time that planning may take
# The leader stores the catalog for all controllers. A follower that still lacks it after this
# time reads it from the cloud. It waits because calls by all controllers would use up the burst
# that the first scale-out requests need.
CATALOG_FALLBACK_S = 2.0
BYTES_PER_KB = 1000


@dataclass
class ProvisioningLoop:
    """Runs the provisioner while this controller leads; a follower only reads the catalog."""

    election: Election
    claims: ClaimWriter
    cluster_state: ClusterState
    provisioner: Provisioner
    pause_detector: PauseDetector
    max_value_kb: float

    async def run(self) -> None:
        """Run steps until cancelled, each after a wake-up or ``MAX_WAIT_S`` without one."""
        started_at = asyncio.get_running_loop().time()
        while True:
            try:
                async with asyncio.timeout(MAX_WAIT_S):
                    await self.provisioner.wake.wait()
            except TimeoutError:
                pass
            self.provisioner.wake.clear()
            now = asyncio.get_running_loop().time()
            self.pause_detector.check(now)
            pause_s = STEP_INTERVAL_S
            try:
                if self.election.is_leader:
                    await self.provisioner.step(now)
                    await self._store_catalog()
                    plan_s = self.provisioner.last_plan_duration_s
                    pause_s = max(pause_s, plan_s / MAX_PLAN_TIME_SHARE)
                elif not self.provisioner.machine_types and now - started_at > CATALOG_FALLBACK_S:
                    await self.provisioner.read_catalog(now)
            except Exception:
                log.exception("provisioning step failed")
            await asyncio.sleep(pause_s)

    async def _store_catalog(self) -> None:
        """Store the catalog for controllers that start while the cloud is unavailable."""
        if self.cluster_state.catalog is not None or not self.provisioner.machine_types:
            return
        value = msgspec.to_builtins(protocol.Catalog(self.provisioner.catalog() or ()))
        if len(msgspec.json.encode(value)) > self.max_value_kb * BYTES_PER_KB:
            return
        operation = protocol.PutOperation(KEY_PREFIX + KeyKind.CATALOG, value)
        outcome, _ = await self.claims.claim([operation], KeyKind.CATALOG)
        if outcome is ClaimOutcome.COMMITTED:
            self.cluster_state.catalog = value
