"""Stand-in of the state service, with the limits of the protocol page."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

TXN_BYTES = 64 * 1024
PAGE_ITEMS, PAGE_BYTES = 1000, 512 * 1024
HISTORY = 10_000  # changes that watches may still ask for


def _size(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Bucket:
    """Allows ``rate`` a second, with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._level = rate
        self._at = time.monotonic()

    def take(self, amount: int) -> bool:
        """Take tokens, if there are enough."""
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if amount > self._level:
            return False
        self._level -= amount
        return True


class StateService:
    """Keys with revisions, transactions, leases and watches, in one event loop."""

    def __init__(
        self,
        rps: float,
        write_rps: float,
        value_kb: float,
        txn_ops: int,
        record: Callable[[str], None],
    ) -> None:
        self._value_bytes = int(value_kb * 1024)
        self._txn_ops = txn_ops
        self._requests, self._writes = Bucket(rps), Bucket(write_rps)
        self._record = record
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, revision, lease
        self.revision = 1
        self._log: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}  # duration, end
        self._last_lease = 0
        self.down = False
        self.refused: set[str] = set()  # controllers that get 503
        self._changed = asyncio.Event()
        self.too_large = 0  # transactions refused with 400 because of their size
        self.largest = 0  # bytes of the largest transaction

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; its end gives all leases their full time again."""
        self.down = down
        if not down:
            now = time.monotonic()
            self._leases = {k: (ttl, now + ttl) for k, (ttl, _) in self._leases.items()}

    def handler(self, source: str) -> Callable[[str, str, bytes], Any]:
        """The request handler of one controller's link."""

        async def handle(method: str, target: str, body: bytes) -> tuple[int, Any]:
            return await self._handle(source, method, target, body)

        return handle

    def _unavailable(self, source: str) -> bool:
        return self.down or source in self.refused

    async def _handle(self, source: str, method: str, target: str, body: bytes) -> tuple[int, Any]:
        await asyncio.sleep(0.004)
        if self._unavailable(source):
            return 503, {"error": "down"}
        self.expire()
        if not self._requests.take(1):
            return 429, {"error": "too many requests"}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = unquote(url.path)
        if path == "/watch":
            return await self._watch(source, query)
        if path == "/keys":
            return self._list(query)
        if path == "/multi":
            return self._multi(body)
        if path == "/grants":
            self._last_lease += 1
            ttl = json.loads(body)["life_ms"] / 1000
            self._leases[self._last_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"tether": self._last_lease}
        if path.startswith("/grants/"):
            return self._lease(method, int(path.split("/")[2]))
        if path.startswith("/keys/"):
            found = self.keys.get(path[len("/keys/") :])
            if found is None:
                return 404, {"epoch": self.revision}
            return 200, {"path": path[6:], "v": found[0], "stamp": found[1], "tether": found[2]}
        return 400, {"error": "malformed"}

    def _lease(self, method: str, lease: int) -> tuple[int, Any]:
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end(lease)
        else:
            ttl, _ = self._leases[lease]
            self._leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        names = sorted(
            key
            for key in self.keys
            if key.startswith(query.get("prefix", "")) and key > query.get("from", "")
        )
        limit = min(int(query.get("limit", PAGE_ITEMS)), PAGE_ITEMS)
        pairs: list[Any] = []
        size = 0
        for name in names:
            value, revision, _ = self.keys[name]
            pair = {"path": name, "v": value, "stamp": revision}
            size += len(json.dumps(pair))
            if len(pairs) >= limit or (pairs and size > PAGE_BYTES):
                return 200, {"pairs": pairs, "more": True, "epoch": self.revision}
            pairs.append(pair)
        return 200, {"pairs": pairs, "more": False, "epoch": self.revision}

    async def _watch(self, source: str, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["from"]), query.get("prefix", "")
        ends = time.monotonic() + min(60_000, int(query.get("wait_ms", "0"))) / 1000
        while True:
            self.expire()
            if not self._unavailable(source):
                if len(self._log) >= HISTORY and after < self._log[-HISTORY]["stamp"]:
                    return 410, {"epoch": self.revision}
                found = []
                for change in reversed(self._log):
                    if change["stamp"] <= after:
                        break
                    if (change.get("put") or change.get("drop") or "").startswith(prefix):
                        found.append(change)
                if found or time.monotonic() >= ends:
                    return 200, {"epoch": self.revision, "log": found[::-1]}
            try:
                async with asyncio.timeout(0.1):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _multi(self, body: bytes) -> tuple[int, Any]:
        txn = json.loads(body)
        when, apply = txn.get("when", []), txn.get("apply", [])
        self.largest = max(self.largest, len(body))
        if len(body) > TXN_BYTES:
            self.too_large += 1
            self._record(f"state: transaction of {len(body)} bytes refused: over 64 KiB")
            return 400, {"error": "transaction too large"}
        if len(apply) > self._txn_ops or len(when) > 4 * self._txn_ops:
            self.too_large += 1
            self._record("state: transaction refused: too many operations or conditions")
            return 400, {"error": "too many operations or conditions"}
        for item in apply:
            if "put" in item and _size(item["v"]) > self._value_bytes:
                self.too_large += 1
                return 400, {"error": "value too large"}
            if item.get("tether") is not None and item["tether"] not in self._leases:
                return 400, {"error": "no such lease"}
        if apply and not self._writes.take(len(apply)):
            return 429, {"error": "too many writes"}
        failed = [c["path"] for c in when if self._revision_of(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.revision}
        if apply:
            self._apply(apply)
        return 200, {"epoch": self.revision}

    def _revision_of(self, key: str) -> int:
        found = self.keys.get(key)
        return 0 if found is None else found[1]

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        self.revision += 1
        for item in operations:
            if "put" in item:
                self.keys[item["put"]] = (item["v"], self.revision, item.get("tether"))
                self._log.append({"put": item["put"], "v": item["v"], "stamp": self.revision})
            elif self.keys.pop(item["drop"], None) is not None:
                self._log.append({"drop": item["drop"], "stamp": self.revision})
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """End the leases whose time is over."""
        if self.down:
            return
        now = time.monotonic()
        for lease in [k for k, (_, end) in self._leases.items() if now > end]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        attached = [key for key, (_, _, tether) in self.keys.items() if tether == lease]
        if attached:
            self._apply([{"drop": key} for key in attached])
