"""Emulated state service: keys with revisions, transactions, leases and watches."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

MAX_PAGE = 1000  # keys
KEPT_CHANGES = 10_000  # by number of changed keys; watches from before them get 410
WATCH_POLL_S = 0.2  # interval at which a waiting watch checks the leases and its deadline
MIN_WATCH_POLL_S = 0.05  # shortest interval, when the deadline is near or past

JsonValue = Any  # a value as the controllers store it


class StoredValue(NamedTuple):
    """The value of a key, its revision and its lease."""

    value: JsonValue
    revision: int  # of the key's last change
    lease_id: int | None


class Lease(NamedTuple):
    """A lease; the keys attached to it are deleted when it expires."""

    duration_s: float
    expires_at: float


Keys = dict[str, StoredValue]


class StateService:
    """Keys, leases and watches in a single replica, without locks: one event loop runs it.

    Attributes:
        keys: all keys and their values.
        puts: each put so far: the key and its value.
        refused_controllers: names of those that get 503, and no changes on open watches.
        max_page: number of keys that one response holds at most.
        kept_changes: number of changed keys that watches can still return.
    """

    def __init__(self, max_operations: int, on_put: Callable[[str, JsonValue, Keys], None]) -> None:
        """Start empty.

        Args:
            max_operations: The maximum number of changes in a transaction.
            on_put: Called for each put with the key, the value and all keys after the put.
        """
        self._max_operations = max_operations
        self._on_put = on_put
        self.keys: Keys = {}
        self.puts: list[tuple[str, JsonValue]] = []
        self.refused_controllers: set[str] = set()
        self.max_page = MAX_PAGE
        self.kept_changes = KEPT_CHANGES
        self._revision = 1
        self._log: deque[dict[str, Any]] = deque()  # the newest changes, as watches return them
        self._oldest_watchable_revision = 0
        self._leases: dict[int, Lease] = {}
        self._last_lease_id = 0
        self._down = False
        self._changed = asyncio.Event()

    def put(self, key: str, value: JsonValue) -> None:
        """Store a value directly, without a request of a controller."""
        self._apply([{"put": key, "v": value}])

    def drop(self, key: str) -> None:
        """Delete a key, as if its lease had expired."""
        self._apply([{"drop": key}])

    def set_outage(self, down: bool) -> None:
        """Begin or end an outage. Its end renews all leases for their full duration."""
        self._down = down
        if not down:
            self._leases = {
                lease_id: self._renewed(lease) for lease_id, lease in self._leases.items()
            }

    async def handle(self, source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Handle one request; ``source`` names the controller that sent it."""
        if self._down or source in self.refused_controllers:
            return HTTPStatus.SERVICE_UNAVAILABLE, {"error": "down"}
        self._expire_leases()
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/keys":
            return self._list(query)
        if url.path.startswith("/keys/"):
            return self._get(unquote(url.path[len("/keys/") :]))
        if url.path == "/watch":
            return await self._watch(source, query)
        if url.path == "/multi":
            return self._transact(body["when"], body["apply"])
        if url.path == "/grants":
            return self._grant(body["life_ms"] / 1000)
        lease_id = int(unquote(url.path).split("/")[2])
        if lease_id not in self._leases:
            return HTTPStatus.NOT_FOUND, {}
        if method == "DELETE":
            self._end_lease(lease_id)
        else:
            self._leases[lease_id] = self._renewed(self._leases[lease_id])
        return HTTPStatus.OK, {}

    # ---- requests ----------------------------------------------------------------------------

    def _get(self, key: str) -> tuple[int, Any]:
        stored = self.keys.get(key)
        if stored is None:
            return HTTPStatus.NOT_FOUND, {"epoch": self._revision}
        return HTTPStatus.OK, {"path": key, "v": stored.value, "stamp": stored.revision}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        found = [
            {"path": key, "v": stored.value, "stamp": stored.revision}
            for key, stored in sorted(self.keys.items())
            if key.startswith(query["prefix"]) and key > query.get("from", "")
        ]
        limit = min(int(query["limit"]), self.max_page)
        more = len(found) > limit
        return HTTPStatus.OK, {"pairs": found[:limit], "more": more, "epoch": self._revision}

    async def _watch(self, source: str, query: dict[str, str]) -> tuple[int, Any]:
        ends_at = self._now() + int(query.get("wait_ms", "0")) / 1000
        after, prefix = int(query["from"]), query["prefix"]
        while True:
            self._expire_leases()
            changes = [
                change
                for change in self._log
                if change["stamp"] > after
                and str(change.get("put") or change.get("drop")).startswith(prefix)
            ]
            unavailable = self._down or source in self.refused_controllers
            if not unavailable and after < self._oldest_watchable_revision:
                return HTTPStatus.GONE, {"epoch": self._revision}
            if not unavailable and (changes or self._now() >= ends_at):
                return HTTPStatus.OK, {"epoch": self._revision, "log": changes}
            try:
                remaining_s = max(ends_at - self._now(), MIN_WATCH_POLL_S)
                async with asyncio.timeout(min(WATCH_POLL_S, remaining_s)):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(
        self, conditions: list[dict[str, Any]], operations: list[dict[str, Any]]
    ) -> tuple[int, Any]:
        assert len(operations) <= self._max_operations
        for operation in operations:
            if operation.get("tether") is not None and operation["tether"] not in self._leases:
                return HTTPStatus.BAD_REQUEST, {"error": "no such lease"}
        failed = [
            condition["path"]
            for condition in conditions
            if self._revision_of(condition["path"]) != condition["stamp"]
        ]
        if failed:
            return HTTPStatus.CONFLICT, {"failed": failed, "epoch": self._revision}
        if operations:
            self._apply(operations)
        return HTTPStatus.OK, {"epoch": self._revision}

    def _grant(self, duration_s: float) -> tuple[int, Any]:
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = Lease(duration_s, self._now() + duration_s)
        return HTTPStatus.OK, {"tether": self._last_lease_id}

    # ---- keys and leases ---------------------------------------------------------------------

    def _revision_of(self, key: str) -> int:
        """Revision of a key's last change; 0 if the key does not exist."""
        return self.keys[key].revision if key in self.keys else 0

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        self._revision += 1
        for operation in operations:
            if "put" in operation:
                key, value = operation["put"], operation["v"]
                self.keys[key] = StoredValue(value, self._revision, operation.get("tether"))
                self._log.append({"put": key, "v": value, "stamp": self._revision})
                self.puts.append((key, value))
                self._on_put(key, value, self.keys)
            elif operation["drop"] in self.keys:
                del self.keys[operation["drop"]]
                self._log.append({"drop": operation["drop"], "stamp": self._revision})
        self._drop_old_changes()
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_old_changes(self) -> None:
        while len(self._log) > self.kept_changes:
            self._oldest_watchable_revision = self._log.popleft()["stamp"]

    def _expire_leases(self) -> None:
        if self._down:
            return  # the end of an outage renews all leases
        for lease_id, lease in list(self._leases.items()):
            if self._now() > lease.expires_at:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        attached_keys = [key for key, stored in self.keys.items() if stored.lease_id == lease_id]
        if attached_keys:
            self._apply([{"drop": key} for key in attached_keys])

    def _renewed(self, lease: Lease) -> Lease:
        return Lease(lease.duration_s, self._now() + lease.duration_s)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
