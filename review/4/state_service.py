"""Stand-in of the state service, after "Controller nodes -> state service" of PROTOCOL."""

from __future__ import annotations

import asyncio
import bisect
import json
import random
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

MAX_ITEMS = 1000
MAX_PAGE_BYTES = 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024
KEPT_CHANGES = 10_000
OK, BAD, MISSING, CONFLICT, GONE, LIMITED, DOWN = 200, 400, 404, 409, 410, 429, 503


@dataclass
class Stored:
    """A value, the revision of its last change and its lease."""

    value: Any
    stamp: int
    tether: int | None
    size: int


class Bucket:
    """A rate limit with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = self._level = rate
        self._at = 0.0

    def take(self, amount: int) -> bool:
        """Take tokens if there are enough."""
        now = asyncio.get_running_loop().time()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if amount > self._level:
            return False
        self._level -= amount
        return True


class StateService:
    """Keys, transactions, leases and watches. ``refused`` names controllers that get 503."""

    def __init__(self, limits: dict[str, float]) -> None:
        self._limits = limits
        self._requests, self._writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.keys: dict[str, Stored] = {}
        self._order: list[str] = []
        self.epoch = 1
        self._log: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}  # duration, end
        self._last_lease = 0
        self._changed = asyncio.Event()
        self.refused: set[str] = set()
        self.down = False
        self._random = random.Random(1)
        self.pages = 0
        self.on_list: Any = None

    def seed(self, key: str, value: Any) -> None:
        """Store a value that earlier operation has left, without a change in the log."""
        self.keys[key] = Stored(value, self.epoch, None, len(json.dumps(value)) + len(key) + 40)

    def seeded(self) -> None:
        """End the seeding."""
        self._order = sorted(self.keys)

    async def handle(
        self, source: str, method: str, target: str, body: Any
    ) -> tuple[int, dict[str, Any]]:
        """Answer one request of the controller ``source``."""
        await asyncio.sleep(self._random.uniform(0.003, 0.007))
        if self.down or source in self.refused:
            return DOWN, {"error": "down"}
        self._expire()
        if not self._requests.take(1):
            return LIMITED, {"error": "too many requests"}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = unquote(url.path)
        if path == "/keys":
            return await self._list(source, query)
        if path == "/watch":
            return await self._watch(source, query)
        if path == "/multi":
            return self._multi(body)
        if path.startswith("/keys/"):
            stored = self.keys.get(path[len("/keys/") :])
            if stored is None:
                return MISSING, {"epoch": self.epoch}
            return OK, {"path": path[len("/keys/") :], "v": stored.value, "stamp": stored.stamp}
        return self._grants(method, path, body)

    def _grants(self, method: str, path: str, body: Any) -> tuple[int, dict[str, Any]]:
        now = asyncio.get_running_loop().time()
        if path == "/grants":
            self._last_lease += 1
            life_s = body["life_ms"] / 1000
            self._leases[self._last_lease] = (life_s, now + life_s)
            return OK, {"tether": self._last_lease}
        number = int(path.split("/")[2])
        if number not in self._leases:
            return MISSING, {}
        if method == "DELETE":
            self._end(number)
        else:
            life_s = self._leases[number][0]
            self._leases[number] = (life_s, now + life_s)
        return OK, {}

    async def _list(self, source: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query["prefix"], query.get("from", "")
        limit = min(int(query.get("limit", "1000")), MAX_ITEMS)
        at = max(bisect.bisect_left(self._order, prefix), bisect.bisect_right(self._order, after))
        pairs: list[dict[str, Any]] = []
        size, more = 0, False
        while at < len(self._order) and self._order[at].startswith(prefix):
            key = self._order[at]
            stored = self.keys[key]
            size += stored.size
            if len(pairs) >= limit or size > MAX_PAGE_BYTES:
                more = True
                break
            pairs.append({"path": key, "v": stored.value, "stamp": stored.stamp})
            at += 1
        self.pages += 1
        answer = {"pairs": pairs, "more": more, "epoch": self.epoch}
        if self.on_list is not None:
            await self.on_list(source, answer)
        return OK, answer

    async def _watch(self, source: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("wait_ms", "0")) / 1000
        after, prefix = int(query["from"]), query["prefix"]
        while True:
            self._expire()
            if self._log and after < self._log[0]["stamp"] - 1 and len(self._log) >= KEPT_CHANGES:
                return GONE, {"epoch": self.epoch}
            changes = []
            for change in reversed(self._log):
                if change["stamp"] <= after:
                    break
                if str(change.get("put") or change.get("drop")).startswith(prefix):
                    changes.append(change)
            blocked = self.down or source in self.refused
            if not blocked and (changes or loop.time() >= ends_at):
                return OK, {"epoch": self.epoch, "log": changes[::-1]}
            try:
                async with asyncio.timeout(min(0.1, max(0.01, ends_at - loop.time()))):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _multi(self, body: Any) -> tuple[int, dict[str, Any]]:
        when, apply = body.get("when", []), body.get("apply", [])
        too_large = len(json.dumps(body)) > MAX_TRANSACTION_BYTES or any(
            len(json.dumps(item.get("v"))) > self._limits["value_kb"] * 1024 for item in apply
        )
        operations = int(self._limits["txn_ops"])
        if too_large or len(apply) > operations or len(when) > 4 * operations:
            return BAD, {"error": "too large"}
        if apply and not self._writes.take(len(apply)):
            return LIMITED, {"error": "too many changes"}
        for item in apply:
            if item.get("tether") is not None and item["tether"] not in self._leases:
                return BAD, {"error": "no such lease"}
        failed = [
            item["path"]
            for item in when
            if (self.keys[item["path"]].stamp if item["path"] in self.keys else 0) != item["stamp"]
        ]
        if failed:
            return CONFLICT, {"failed": failed, "epoch": self.epoch}
        if apply:
            self._apply(apply)
        return OK, {"epoch": self.epoch}

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for item in operations:
            if "put" in item:
                key, value = item["put"], item["v"]
                if key not in self.keys:
                    bisect.insort(self._order, key)
                size = len(json.dumps(value)) + len(key) + 40
                self.keys[key] = Stored(value, self.epoch, item.get("tether"), size)
                self._log.append({"put": key, "v": value, "stamp": self.epoch})
            elif item["drop"] in self.keys:
                del self.keys[item["drop"]]
                del self._order[bisect.bisect_left(self._order, item["drop"])]
                self._log.append({"drop": item["drop"], "stamp": self.epoch})
        del self._log[:-KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        if self.down:
            return
        now = asyncio.get_running_loop().time()
        for number, (_, end) in list(self._leases.items()):
            if now > end:
                self._end(number)

    def _end(self, number: int) -> None:
        del self._leases[number]
        drops = [{"drop": key} for key, stored in self.keys.items() if stored.tether == number]
        if drops:
            self._apply(drops)

    def end_outage(self) -> None:
        """End an outage, which gives all leases their full time again."""
        now = asyncio.get_running_loop().time()
        self._leases = {number: (life, now + life) for number, (life, _) in self._leases.items()}
        self.down = False

    @property
    def leader(self) -> str | None:
        """Name of the controller in the leader key."""
        stored = self.keys.get("pt/lead")
        return None if stored is None else str(stored.value["node"])
