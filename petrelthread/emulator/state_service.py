"""Stand-in for the state service: keys with revisions, transactions, leases, watches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

Keys = dict[str, tuple[Any, int, int | None]]  # value, revision of the last change, lease
ITEMS_MOST = 1000  # in one page


class StateService:
    """Keys, leases and watches; one lock-free copy, since all of it runs on one event loop."""

    def __init__(self, txn_ops: int, on_put: Callable[[str, Any, Keys], None]) -> None:
        """``txn_ops``: changes that a transaction may make. ``on_put``: told of each put with the
        keys as they are then."""
        self.txn_ops = txn_ops
        self._on_put = on_put
        self.keys: Keys = {}
        self.revision = 1
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # id: life, end
        self.serial = 0
        self.down = False
        self.refused: set[str] = set()
        self.changed = asyncio.Event()
        self.puts: list[tuple[str, Any]] = []

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _expire(self) -> None:
        if self.down:
            return  # an outage gives all leases their full time again
        for lease, (_, end) in list(self.leases.items()):
            if self._now() > end:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        gone = [key for key, (_, _, held_by) in self.keys.items() if held_by == lease]
        if gone:
            self._apply([{"drop": key} for key in gone])

    def _apply(self, ops: list[dict[str, Any]]) -> None:
        self.revision += 1
        for op in ops:
            if "put" in op:
                self.keys[op["put"]] = (op["v"], self.revision, op.get("tether"))
                self.log.append({"put": op["put"], "v": op["v"], "stamp": self.revision})
                self.puts.append((op["put"], op["v"]))
                self._on_put(op["put"], op["v"], self.keys)
            elif op["drop"] in self.keys:
                del self.keys[op["drop"]]
                self.log.append({"drop": op["drop"], "stamp": self.revision})
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        """Store a value, as if it had been written before."""
        self._apply([{"put": key, "v": value}])

    def drop(self, key: str) -> None:
        """Delete a key, as if its lease had ended."""
        self._apply([{"drop": key}])

    def outage(self, down: bool) -> None:
        """Begin or end an outage; the end gives all leases their full time again."""
        self.down = down
        if not down:
            self.leases = {i: (life, self._now() + life) for i, (life, _) in self.leases.items()}

    async def handle(self, source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Serve one request; ``source`` names the controller that sent it."""
        if self.down or source in self.refused:
            return 503, {"error": "down"}
        self._expire()
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/keys":
            found = [
                {"path": key, "v": value, "stamp": stamp}
                for key, (value, stamp, _) in sorted(self.keys.items())
                if key.startswith(query["prefix"]) and key > query.get("from", "")
            ]
            most = min(int(query["limit"]), ITEMS_MOST)
            page = {"pairs": found[:most], "more": len(found) > most, "epoch": self.revision}
            return 200, page
        if url.path == "/watch":
            return await self._watch(source, query)
        if url.path == "/multi":
            return self._multi(body)
        if url.path == "/grants":
            self.serial += 1
            life = body["life_ms"] / 1000
            self.leases[self.serial] = (life, self._now() + life)
            return 200, {"tether": self.serial}
        lease = int(unquote(url.path).split("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end(lease)
        else:
            life = self.leases[lease][0]
            self.leases[lease] = (life, self._now() + life)
        return 200, {}

    async def _watch(self, source: str, query: dict[str, str]) -> tuple[int, Any]:
        end = self._now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            self._expire()
            after = int(query["from"])
            log = [
                event
                for event in self.log
                if event["stamp"] > after
                and str(event.get("put") or event.get("drop")).startswith(query["prefix"])
            ]
            quiet = self.down or source in self.refused
            if not quiet and (log or self._now() >= end):
                return 200, {"epoch": self.revision, "log": log}
            try:
                async with asyncio.timeout(min(0.2, max(end - self._now(), 0.05))):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _multi(self, body: Any) -> tuple[int, Any]:
        assert len(body["apply"]) <= self.txn_ops
        for op in body["apply"]:
            if op.get("tether") is not None and op["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["path"]
            for c in body["when"]
            if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.revision}
        if body["apply"]:
            self._apply(body["apply"])
        return 200, {"epoch": self.revision}
