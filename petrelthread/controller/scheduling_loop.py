"""The leader's failure detection, invalidation of unacknowledged starts, and placement rounds."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from petrelthread.fleet import ROUTINE_REASONS, FailureDetector, Fleet, WorkerStatusReader
from petrelthread.http import LoadShedder
from petrelthread.leadership import ClaimWriter, Election
from petrelthread.pause_detector import PauseDetector
from petrelthread.scheduling import MIN_RECORD_NUMBERS_LEFT, Scheduler

log = logging.getLogger(__name__)

MAX_WAIT_S = 1.0  # maximum wait for a wake-up before the next round
FOLLOWER_PAUSE_S = 0.05
FAILURE_CHECK_INTERVAL_S = 0.5
MISSED_HEARTBEATS = 2.5  # heartbeat intervals without a heartbeat until a machine is unresponsive
UNRESPONSIVE_MARGIN_S = 4.0  # added to the time of ``MISSED_HEARTBEATS`` intervals


@dataclass
class SchedulingLoop:
    """Runs rounds while this controller leads; a follower only waits."""

    election: Election
    claims: ClaimWriter
    fleet: Fleet
    failure_detector: FailureDetector
    worker_status_reader: WorkerStatusReader
    scheduler: Scheduler
    pause_detector: PauseDetector
    load_shedder: LoadShedder

    async def run(self) -> None:
        """Run rounds until cancelled, each after a wake-up or ``MAX_WAIT_S`` without one."""
        wake = self.scheduler.wake
        failures_checked_at = 0.0
        while True:
            try:
                async with asyncio.timeout(MAX_WAIT_S):
                    await wake.wait()
            except TimeoutError:
                pass
            wake.clear()
            self.pause_detector.check(asyncio.get_running_loop().time())
            if not self.election.is_leader:
                await asyncio.sleep(FOLLOWER_PAUSE_S)
                continue
            now = asyncio.get_running_loop().time()
            try:
                if now - failures_checked_at >= FAILURE_CHECK_INTERVAL_S:
                    failures_checked_at = now
                    await self._check_failures(now)
                if await self._run_round(now):
                    wake.set()
            except Exception:
                log.exception("round failed")
            await asyncio.sleep(self.scheduler.round_interval_s)

    async def _check_failures(self, now: float) -> None:
        self.failure_detector.check(now, self.unresponsive_after_s(now))
        self.worker_status_reader.probe(now)
        await self._invalidate_unacknowledged_starts(now)

    async def _run_round(self, now: float) -> bool:
        """Run one round; return whether the next one should follow immediately."""
        if self.scheduler.record_numbers_left() < MIN_RECORD_NUMBERS_LEFT:
            await self.election.resign("the record numbers of this epoch are used up", 0.0)
            return False
        return await self.scheduler.run_round(now)

    async def _invalidate_unacknowledged_starts(self, now: float) -> None:
        """Raise the fencing token if unacknowledged starts must no longer be executed."""
        policy = self.fleet.token_raise_policy
        reason = policy.reason(self.election.fencing_token, now)
        if reason is None:
            return
        unacknowledged = self.fleet.unacknowledged_starts.count()
        level = logging.DEBUG if reason in ROUTINE_REASONS else logging.INFO
        log.log(
            level, "raising the fencing token: %s (%d unacknowledged)", reason.value, unacknowledged
        )
        await self.claims.run_exclusive(self.election.raise_fencing_token)
        policy.on_raise_attempted(asyncio.get_running_loop().time())

    def unresponsive_after_s(self, now: float) -> float:
        """Seconds without a heartbeat after which a machine counts as unresponsive.

        While this controller is overloaded and sheds requests, a missing heartbeat is weak evidence
        and healthy machines would be returned to the cloud. The timeout is at least the lease then.
        """
        timeout_s = MISSED_HEARTBEATS * self.fleet.heartbeat_interval_s + UNRESPONSIVE_MARGIN_S
        overloaded = now - self.load_shedder.last_shed_at < timeout_s
        return max(timeout_s, self.fleet.lease_s) if overloaded else timeout_s
