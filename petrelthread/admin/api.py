"""Routes of the administration API, below ``/admin/v1/`` on the peer address.

Followers forward requests for views to the leader, which alone knows the state of the machines.
"""

from __future__ import annotations

import asyncio
import logging

from petrelthread import protocol
from petrelthread.admin import views
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.admin.settings_api import SettingsApi
from petrelthread.http import NoResponseError, Response, error_response, json_response
from petrelthread.store import SendRequest, StateResultUnknownError, StateUnavailableError

log = logging.getLogger(__name__)

ADMIN_PREFIX = "/admin/v1/"
DIRECT_QUERY = "direct=1"  # query that asks for a local response, also from a follower
FORWARD_TIMEOUT_S = 1.5


class Admin:
    """Handles operators' requests, and requests that siblings forward to the leader."""

    def __init__(self, parts: ControllerParts, request: SendRequest) -> None:
        """``request``: sends requests to siblings."""
        self._parts = parts
        self._request = request
        self._settings = SettingsApi(parts)
        self._addresses = {
            sibling.host_name: sibling.peer_addr for sibling in parts.settings.siblings
        }

    async def handle(self, method: str, target: str, body: bytes) -> Response:
        """Handle one request; ``target`` begins with ``ADMIN_PREFIX``."""
        path, _, query = target.partition("?")
        view, _, name = path.removeprefix(ADMIN_PREFIX).partition("/")
        if view == "settings" and not name:
            return await self._settings.handle(method, body)
        if view not in ("status", "zones", "jobs") or (view == "jobs") != bool(name):
            return error_response(404, "no such path")
        if method != "GET":
            return error_response(405, "use GET")
        # After a process pause or a partition this controller may wrongly believe that it leads.
        # The cached state is refreshed first, so that the view is not older than on other
        # controllers.
        await self._parts.watch_cache.refresh()
        forwarded = None if DIRECT_QUERY in query else await self._forward_to_leader(path)
        if forwarded is not None:
            return forwarded
        if view == "jobs":
            return await self._job_response(name)
        return self._respond_locally(view)

    async def _forward_to_leader(self, path: str) -> Response | None:
        """Return the leader's response; None if this controller leads or there is no response."""
        address = self._addresses.get(self._parts.election.leader_name or "")
        if self._parts.election.is_leader or not address:
            return None
        try:
            response = await self._request(
                address, "GET", f"{path}?{DIRECT_QUERY}", timeout=FORWARD_TIMEOUT_S
            )
        except NoResponseError as error:
            log.info("no response from the leader, responding from local state: %s", error)
            return None
        return Response(response.status, response.body)

    async def _job_response(self, job_id: str) -> Response:
        parts = self._parts
        job = parts.cluster_state.jobs_by_id.get(job_id)
        if job is None and protocol.JOB_ID.match(job_id):
            try:
                stored = await parts.stored_job_reader.read(job_id)
            except (StateUnavailableError, StateResultUnknownError) as error:
                return error_response(503, f"job {job_id} could not be read: {error}", 1)
            if stored is not None and stored.final_status is not None:
                job = parts.cluster_state.detached_job(job_id, stored.record, stored.final_status)
        if job is None:
            return error_response(404, f"unknown job {job_id}")
        return json_response(200, views.job_view(parts, job, asyncio.get_running_loop().time()))

    def _respond_locally(self, view: str) -> Response:
        now = asyncio.get_running_loop().time()
        if view == "status":
            return json_response(200, views.status_view(self._parts, now))
        return json_response(200, {"zones": views.zones_view(self._parts)})
