"""Periodic checks on every controller: alerts, write rates, reachability of zones and workers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from petrelthread.controller.write_rate_manager import WriteRateManager
from petrelthread.fleet import Fleet, HeartbeatHandler, WorkerStatusReader, ZoneMonitor
from petrelthread.fleet.failure_detector import LEADER_DISCOVERY_MARGIN_S
from petrelthread.history import StoredJobReader
from petrelthread.leadership import Election
from petrelthread.pause_detector import PauseDetector
from petrelthread.peers import PeerMonitor
from petrelthread.scheduling import ClusterView
from petrelthread.settings import Settings
from petrelthread.store import WatchCache

log = logging.getLogger(__name__)

INTERVAL_S = 0.5
LOAD_LOG_INTERVAL_S = 5.0
MAX_STATE_AGE_S = 1.0  # the watch cache is refreshed if its newest read is older
PEER_TIMEOUT_S = 3.0  # a sibling without a heartbeat for longer counts as unreachable
# For this long after its election a leader reads the status of workers that have not acknowledged
# its epoch.
READ_WORKERS_S = 15.0
# How long a leader that resigned because no worker reaches it does not campaign.
ABSTAIN_S = 15.0
# If the siblings together received at least this many worker heartbeats, workers are alive.
MIN_WORKER_HEARTBEATS_AT_SIBLINGS = 2


@dataclass
class Housekeeping:
    """Runs the periodic checks, on every controller and in every role."""

    settings: Settings
    election: Election
    watch_cache: WatchCache
    write_rates: WriteRateManager
    peer_monitor: PeerMonitor
    pause_detector: PauseDetector
    fleet: Fleet
    heartbeat_handler: HeartbeatHandler
    worker_status_reader: WorkerStatusReader
    zone_monitor: ZoneMonitor
    cluster_view: ClusterView
    stored_job_reader: StoredJobReader
    update_alerts: Callable[[float], None]
    _max_delay_s: float = field(default=0.0, init=False)  # of the event loop, since last logged
    _load_logged_at: float = field(default=0.0, init=False)

    async def run(self) -> None:
        """Run all checks every ``INTERVAL_S`` until cancelled."""
        loop = asyncio.get_running_loop()
        self._load_logged_at = loop.time()
        while True:
            slept_at = loop.time()
            await asyncio.sleep(INTERVAL_S)
            now = loop.time()
            self.pause_detector.check(now)
            self.update_alerts(now)
            delay_s = now - slept_at - INTERVAL_S
            self._max_delay_s = max(self._max_delay_s, delay_s)
            self.write_rates.sample(now - slept_at)
            self.write_rates.update(self.peer_monitor, now)
            self._log_load(now)
            self.fleet.drop_past(now)
            if self._state_is_old(now):
                await self.watch_cache.refresh()
            await self._resign_if_unreachable(now)
            if self.election.is_leader:
                self._check_zones(now)
                if now - self.election.elected_at < READ_WORKERS_S:
                    self.worker_status_reader.read_workers(now, late_s=delay_s)

    def _state_is_old(self, now: float) -> bool:
        cache = self.watch_cache
        return cache.loaded.is_set() and now - cache.current_as_of > MAX_STATE_AGE_S

    def _log_load(self, now: float) -> None:
        if now - self._load_logged_at <= LOAD_LOG_INTERVAL_S:
            return
        if log.isEnabledFor(logging.DEBUG):
            self._log_finished_jobs()
        if self.election.is_leader and log.isEnabledFor(logging.DEBUG):
            starts = self.fleet.unacknowledged_starts
            log.debug(
                "load: %s; maximum event loop delay %.2f s; fencing token %d;"
                " %d unacknowledged starts, the oldest %.1f s old; %d executed under this token",
                self.cluster_view.load_summary(),
                self._max_delay_s,
                self.election.fencing_token,
                starts.count(),
                starts.oldest_age_s(now),
                self.fleet.executed_starts.count(),
            )
        self._max_delay_s, self._load_logged_at = 0.0, now

    def _log_finished_jobs(self) -> None:
        reader = self.stored_job_reader
        log.debug(
            "finished jobs: %d in memory; %d reads of stored jobs, %d answered by the cache,"
            " %d refused",
            len(self.fleet.cluster_state.finished_jobs),
            reader.read_count,
            reader.cache_hits,
            reader.refused_count,
        )

    def _check_zones(self, now: float) -> None:
        """Update the zone monitor and log which zones became unreachable or reachable again."""
        names = self.fleet.cluster_state.names.zones
        controllers = {
            names.index(zone): reachable
            for zone, reachable in self._controller_reachability().items()
        }
        machines = self.fleet.machines.values()
        since = max(self.election.elected_at, self.pause_detector.resumed_at)
        unreachable, restored = self.zone_monitor.update(machines, controllers, since, now)
        for zone in sorted(unreachable):
            log.warning("zone %s is cut off: nothing in it is reachable", names.name(zone))
        for zone in sorted(restored):
            log.info("zone %s is reachable again", names.name(zone))

    def _controller_reachability(self) -> dict[str, bool]:
        """Map each zone that has controllers to whether one of them is reachable."""
        recent = {
            heartbeat.node for heartbeat in self.peer_monitor.recent_heartbeats(PEER_TIMEOUT_S)
        }
        reachable = {self.settings.zone: True} if self.settings.zone else {}
        for sibling in self.settings.siblings:
            if sibling.zone:
                already_reachable = reachable.get(sibling.zone, False)
                reachable[sibling.zone] = already_reachable or sibling.host_name in recent
        return reachable

    async def _resign_if_unreachable(self, now: float) -> None:
        """Resign as leader if no worker reaches this controller but workers reach its siblings."""
        election = self.election
        since = max(election.elected_at, self.pause_detector.resumed_at)
        grace_s = self.heartbeat_handler.recent_window_s + LEADER_DISCOVERY_MARGIN_S
        if not election.is_leader or now - since < grace_s:
            return
        if self.heartbeat_handler.recent_heartbeat_count(now) > 0:
            return
        recent_heartbeats = self.peer_monitor.recent_heartbeats(PEER_TIMEOUT_S)
        received = sum(heartbeat.worker_heartbeats for heartbeat in recent_heartbeats)
        if received >= MIN_WORKER_HEARTBEATS_AT_SIBLINGS:
            log.info("no worker reaches this node, but siblings received %d heartbeats", received)
            await election.resign("workers do not reach this node", ABSTAIN_S)
