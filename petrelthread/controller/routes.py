"""Request routes of the public address (users, workers) and peer address (siblings, operators)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from petrelthread import protocol
from petrelthread.admin import ADMIN_PREFIX, Admin
from petrelthread.fleet import HeartbeatHandler
from petrelthread.http import Response, error_response, json_response
from petrelthread.job_api import JobApi
from petrelthread.pause_detector import PauseDetector
from petrelthread.peers import PEER_HEARTBEAT_PATH, PeerMonitor
from petrelthread.store import WatchCache

# A node whose newest read of the state is older than this is not ready as long as a sibling
# (another controller) reaches the state service.
MAX_READY_STATE_AGE_S = 3.0
PEER_TIMEOUT_S = 3.0  # a sibling without a heartbeat for longer counts as unreachable


@dataclass
class PublicRoutes:
    """Routes requests of users, workers and health checks."""

    job_api: JobApi
    heartbeat_handler: HeartbeatHandler
    watch_cache: WatchCache
    peer_monitor: PeerMonitor
    pause_detector: PauseDetector

    async def handle(self, method: str, target: str, body: bytes) -> Response:
        """Answer one request to the public address."""
        self.pause_detector.check(asyncio.get_running_loop().time())
        path = target.partition("?")[0]
        if path == protocol.HEARTBEAT_PATH:
            if method != "POST":
                return error_response(405, "use POST")
            return self.heartbeat_handler.handle(body)
        if path == protocol.JOBS_PATH or path.startswith(protocol.JOBS_PATH + "/"):
            return await self.job_api.handle(method, path, body)
        if path == protocol.READY_PATH:
            return self._ready() if method == "GET" else error_response(405, "use GET")
        return error_response(404, "no such path")

    def _ready(self) -> Response:
        if not self.watch_cache.loaded.is_set():
            return error_response(503, "still starting", 1)
        # If only this node cannot reach the state service, requests should go to its siblings. If
        # no controller can, not being ready would only delay the recovery after the outage.
        peers = self.peer_monitor.recent_heartbeats(PEER_TIMEOUT_S)
        peers_reach_state = any(heartbeat.state_service_ok for heartbeat in peers)
        age_s = asyncio.get_running_loop().time() - self.watch_cache.current_as_of
        if peers_reach_state and age_s > MAX_READY_STATE_AGE_S:
            return error_response(503, "state service unreachable", 1)
        return json_response(200, {"ready": True})


@dataclass
class PeerRoutes:
    """Routes requests of siblings and operators."""

    peer_monitor: PeerMonitor
    admin: Admin
    pause_detector: PauseDetector

    async def handle(self, method: str, target: str, body: bytes) -> Response:
        """Answer one request to the peer address."""
        self.pause_detector.check(asyncio.get_running_loop().time())
        path = target.partition("?")[0]
        if path == PEER_HEARTBEAT_PATH:
            return await self.peer_monitor.handle(method, body)
        if path.startswith(ADMIN_PREFIX):
            return await self.admin.handle(method, target, body)
        return error_response(404, "no such path")
