"""/admin/v1/ on the peer address. What only the leader knows is fetched from it."""

from __future__ import annotations

import asyncio
import logging

import orjson

from petrelthread import protocol
from petrelthread.admin import views
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.admin.setting_definitions import (
    SETTING_DEFINITIONS,
    InvalidSettingError,
    validate_setting,
    with_defaults,
)
from petrelthread.http import NoResponseError, Response, json_response
from petrelthread.http.server import error_response
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    Request,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
)

log = logging.getLogger(__name__)

ADMIN_PREFIX = "/admin/v1/"
DIRECT = "direct=1"  # asked by a sibling: answer from here, whoever leads


class Admin:
    def __init__(self, parts: ControllerParts, request: Request) -> None:
        self._parts = parts
        self._request = request
        self._addrs = {s.host_name: s.peer_addr for s in parts.settings.siblings}

    async def handle(self, method: str, target: str, body: bytes) -> Response:
        path, _, query = target.partition("?")
        what, _, rest = path[len(ADMIN_PREFIX) :].partition("/")
        if what == "settings" and not rest:
            if method == "GET":
                return await self._get_settings()
            return (
                await self._set(body) if method == "PUT" else error_response(405, "use GET or PUT")
            )
        if what not in ("status", "zones", "jobs") or (what == "jobs") != bool(rest):
            return error_response(404, "no such path")
        if method != "GET":
            return error_response(405, "use GET")
        # On waking from a standstill, or cut off for a while, this node may take itself for the
        # leader still: what it shows is no older than what others were told, or says so.
        await self._parts.watch_cache.refresh()
        home = self._addrs.get(self._parts.election.leader_name or "")
        if not self._parts.election.is_leader and home and DIRECT not in query:
            try:
                reply = await self._request(home, "GET", f"{path}?{DIRECT}", timeout=1.5)
                return Response(reply.status, reply.body)
            except NoResponseError as error:
                log.info("the leader does not answer, showing what this node knows: %s", error)
        now = asyncio.get_running_loop().time()
        if what == "status":
            return json_response(200, views.status_view(self._parts, now))
        if what == "zones":
            return json_response(200, {"zones": views.zones_view(self._parts)})
        job = self._parts.cluster_state.jobs_by_id.get(rest)
        if job is None:
            return error_response(404, f"unknown job {rest}")
        return json_response(200, views.job_view(self._parts, job, now))

    async def _get_settings(self) -> Response:
        if not await self._parts.watch_cache.refresh():
            return error_response(503, "state service unreachable", 2)
        stored = self._parts.cluster_state.options
        values = with_defaults(stored.values)
        shown = [
            {
                "name": name,
                "value": values[name],
                "set": name in stored.values,
                "default": definition.default,
                "least": definition.minimum,
                "most": definition.maximum,
                "says": definition.description,
            }
            for name, definition in SETTING_DEFINITIONS.items()
        ]
        return json_response(200, {"version": stored.revision, "settings": shown})

    async def _set(self, body: bytes) -> Response:
        try:
            asked = orjson.loads(body)
            name, value, version = asked["name"], asked["value"], asked["version"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return error_response(400, "expected an object with name, value and version")
        if not isinstance(name, str) or not isinstance(version, int):
            return error_response(400, "name must be a string and version a whole number")
        try:
            number = None if value is None else validate_setting(name, value)
            if value is None and name not in SETTING_DEFINITIONS:
                raise InvalidSettingError(f"unknown setting {name}")
        except InvalidSettingError as error:
            return error_response(400, str(error))
        if not await self._parts.watch_cache.refresh():
            return error_response(503, "state service unreachable", 2)
        stored = self._parts.cluster_state.options
        if stored.revision != version:
            return error_response(409, f"version {version} is stale, it is {stored.revision}")
        values = {**stored.values, name: number}
        if number is None:
            del values[name]
        key = KEY_PREFIX + "options"
        try:
            stamp = await self._parts.state.transact(
                [protocol.Condition(key, version)], [protocol.PutOperation(key, values)]
            )
        except TransactionConflictError:
            return error_response(409, f"version {version} is stale")
        except (StateUnavailableError, StateResultUnknownError, LeaseExpiredError) as error:
            return error_response(503, f"state service: {error}", 2)
        return json_response(200, {"version": stamp, "name": name, "value": number})
