"""Routes of the administration API, below ``/admin/v1/`` on the peer address.

What only the leader knows is fetched from the leader.
"""

from __future__ import annotations

import asyncio
import logging

from petrelthread.admin import views
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.admin.settings_api import SettingsApi
from petrelthread.http import NoResponseError, Response, error_response, json_response
from petrelthread.store import Request

log = logging.getLogger(__name__)

ADMIN_PREFIX = "/admin/v1/"
DIRECT = "direct=1"  # query of a forwarded request: answer from here, whoever leads
FORWARD_TIMEOUT_S = 1.5


class Admin:
    """Answers operators' requests, and those that siblings forward to the leader."""

    def __init__(self, parts: ControllerParts, request: Request) -> None:
        """``request``: sends requests to siblings."""
        self._parts = parts
        self._request = request
        self._settings = SettingsApi(parts)
        self._addresses = {
            sibling.host_name: sibling.peer_addr for sibling in parts.settings.siblings
        }

    async def handle(self, method: str, target: str, body: bytes) -> Response:
        """Answer one request; ``target`` begins with ``ADMIN_PREFIX``."""
        path, _, query = target.partition("?")
        view, _, name = path.removeprefix(ADMIN_PREFIX).partition("/")
        if view == "settings" and not name:
            return await self._settings.handle(method, body)
        if view not in ("status", "zones", "jobs") or (view == "jobs") != bool(name):
            return error_response(404, "no such path")
        if method != "GET":
            return error_response(405, "use GET")
        # After a pause of the process or a partition this node may take itself for the leader
        # still: the state is read again first, so that it shows nothing older than others have.
        await self._parts.watch_cache.refresh()
        forwarded = None if DIRECT in query else await self._ask_leader(path)
        return forwarded or self._show(view, name)

    async def _ask_leader(self, path: str) -> Response | None:
        """The leader's answer; None if this node leads, or the leader does not answer."""
        address = self._addresses.get(self._parts.election.leader_name or "")
        if self._parts.election.is_leader or not address:
            return None
        try:
            answer = await self._request(
                address, "GET", f"{path}?{DIRECT}", timeout=FORWARD_TIMEOUT_S
            )
        except NoResponseError as error:
            log.info("the leader does not answer, showing what this node knows: %s", error)
            return None
        return Response(answer.status, answer.body)

    def _show(self, view: str, name: str) -> Response:
        now = asyncio.get_running_loop().time()
        if view == "status":
            return json_response(200, views.status_view(self._parts, now))
        if view == "zones":
            return json_response(200, {"zones": views.zones_view(self._parts)})
        job = self._parts.cluster_state.jobs_by_id.get(name)
        if job is None:
            return error_response(404, f"unknown job {name}")
        return json_response(200, views.job_view(self._parts, job, now))
