"""Reads and changes the operators' settings on any controller, with optimistic locking."""

from __future__ import annotations

from typing import NamedTuple

import orjson

from petrelthread import protocol
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.admin.setting_definitions import (
    SETTING_DEFINITIONS,
    InvalidSettingError,
    validate_setting,
    with_defaults,
)
from petrelthread.http import Response, error_response, json_response
from petrelthread.state import KeyKind
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
)

OPTIONS_KEY = KEY_PREFIX + KeyKind.OPTIONS
RETRY_AFTER_S = 2


class _Change(NamedTuple):
    """A requested change of one setting; a value of None restores the default."""

    name: str
    value: float | None
    version: int  # revision of the settings that the change is based on


class SettingsApi:
    """Handles requests that read or change the operators' settings."""

    def __init__(self, parts: ControllerParts) -> None:
        self._parts = parts

    async def handle(self, method: str, body: bytes) -> Response:
        """Handle one request."""
        if method == "GET":
            return await self._read()
        if method != "PUT":
            return error_response(405, "use GET or PUT")
        try:
            change = _parse_change(body)
        except InvalidSettingError as error:
            return error_response(400, str(error))
        return await self._write(change)

    async def _read(self) -> Response:
        if not await self._parts.watch_cache.refresh():
            return error_response(503, "state service unreachable", RETRY_AFTER_S)
        stored = self._parts.cluster_state.options
        values = with_defaults(stored.values)
        settings = [
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
        return json_response(200, {"version": stored.revision, "settings": settings})

    async def _write(self, change: _Change) -> Response:
        if not await self._parts.watch_cache.refresh():
            return error_response(503, "state service unreachable", RETRY_AFTER_S)
        name, value, version = change
        stored = self._parts.cluster_state.options
        if stored.revision != version:
            return error_response(409, f"version {version} is stale, it is {stored.revision}")
        values = {**stored.values, name: value}
        if value is None:
            del values[name]
        condition = protocol.Condition(OPTIONS_KEY, version)
        operation = protocol.PutOperation(OPTIONS_KEY, values)
        try:
            revision = await self._parts.state_client.transact([condition], [operation])
        except TransactionConflictError:
            return error_response(409, f"version {version} is stale")
        except (StateUnavailableError, StateResultUnknownError, LeaseExpiredError) as error:
            return error_response(503, f"state service: {error}", RETRY_AFTER_S)
        return json_response(200, {"version": revision, "name": name, "value": value})


def _parse_change(body: bytes) -> _Change:
    """Decode and validate a change.

    Raises:
        InvalidSettingError: the body, the name or the value is invalid.
    """
    try:
        change = orjson.loads(body)
        name, value, version = change["name"], change["value"], change["version"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise InvalidSettingError("expected an object with name, value and version") from error
    if not isinstance(name, str) or not isinstance(version, int):
        raise InvalidSettingError("name must be a string and version a whole number")
    if value is not None:
        return _Change(name, validate_setting(name, value), version)
    if name not in SETTING_DEFINITIONS:
        raise InvalidSettingError(f"unknown setting {name}")
    return _Change(name, None, version)
