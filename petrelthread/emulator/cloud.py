"""Stand-in for the cloud: catalogue, rentals by charter, returns, a list that lags."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from petrelthread.emulator.worker import Worker
from petrelthread.emulator.world import World

LIST_LAG_S = 4.0  # a machine younger than this is not listed yet
RETURN_MOST = 100  # names in one call
RENT_MOST = 50  # machines asked for in one call


class Cloud:
    """Rents machines of a fixed stock, each with a worker of its own."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.machines: dict[str, dict[str, Any]] = {}
        self.charters: dict[str, list[str]] = {}
        self.asked: dict[str, set[str]] = {}  # by charter: what was asked for under that name
        self.capacity = {True: world.made_of.spot, False: world.made_of.ordinary}
        self.used = {True: 0, False: 0}
        self.rented = 0
        self.down = False

    async def handle(self, source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Serve one request of any controller."""
        if self.down:
            return 503, {"error": "trouble"}
        path = urlsplit(target).path
        now = asyncio.get_running_loop().time()
        if path == "/catalog":
            return 200, {"hulls": list(self.world.made_of.hulls)}
        if path == "/hosts/return" and len(body["perches"]) > RETURN_MOST:
            return 400, {"error": f"more than {RETURN_MOST} names"}
        if path == "/hosts/return":
            for name in body["perches"]:
                self.remove(name)
            return 200, {}
        if method == "GET":
            after = parse_qs(urlsplit(target).query).get("from", [""])[0]
            shown = [
                {k: v for k, v in m.items() if k not in ("worker", "at")}
                | {"held_s": now - m["at"], "status": "running" if m["worker"].up else "starting"}
                for m in self.machines.values()
                if now - m["at"] > LIST_LAG_S and m["name_id"] > after
            ]
            most = self.world.made_of.pages
            return 200, {"perches": shown[:most], "more": len(shown) > most}
        if path != "/hosts":
            return 404, {"error": "no such path"}  # meant for a machine that had this port before
        if not 0 < body["count"] <= RENT_MOST:
            return 400, {"error": f"count must be 1 to {RENT_MOST}"}
        charter = body["charter"]
        self.asked.setdefault(charter, set()).add(orjson.dumps(body).decode())
        if charter not in self.charters:
            kind = body["driftwood"]
            free = self.capacity[kind] - self.used[kind]
            count = min(body["count"], free, self._free_in(body["roost"]))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.charters[charter] = [self._rent(body, now) for _ in range(count)]
        return 200, {"perches": self.charters[charter]}

    def _free_in(self, zone: str) -> int:
        most = self.world.made_of.zone_capacity
        there = sum(machine["roost"] == zone for machine in self.machines.values())
        return 10**9 if most is None else most - there

    def remove(self, name: str) -> None:
        """The machine is gone, and everything on it; unknown names are ignored."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.used[machine["driftwood"]] -= 1
            machine["worker"].kill()

    def _rent(self, body: Any, now: float) -> str:
        self.rented += 1
        self.used[body["driftwood"]] += 1
        name = f"host-{self.rented:06d}"
        machine = {key: body[key] for key in ("hull", "roost", "driftwood")}
        machine |= {"name_id": name, "addr": self.world.net.new_address(name), "at": now}
        machine["worker"] = Worker(self.world, machine)
        self.machines[name] = machine
        return name
