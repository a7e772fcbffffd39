"""Emulated cloud: catalog, idempotent scale-out, scale-in, and an eventually consistent list."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from petrelthread import protocol
from petrelthread.emulator.environment import EmulatedEnvironment, MachineDescription
from petrelthread.emulator.worker import Worker

LIST_LAG_S = 4.0  # the list omits machines rented less than this ago
UNLIMITED_MACHINES = 10**9


@dataclass(frozen=True)
class RentedMachine:
    """A machine that is rented from the cloud."""

    description: MachineDescription
    rented_at: float
    worker: Worker


class Cloud:
    """Rents out machines up to a fixed capacity and runs one worker on each."""

    def __init__(self, environment: EmulatedEnvironment) -> None:
        self._environment = environment
        deployment = environment.deployment
        self.machines: dict[str, RentedMachine] = {}
        self.machines_by_key: dict[str, list[str]] = {}  # machine names by idempotency key
        self.request_bodies_by_key: dict[str, set[str]] = {}  # distinct, by idempotency key
        self.capacity = {True: deployment.spot, False: deployment.on_demand}  # by spot flag
        self.used = {True: 0, False: 0}
        self.rented_count = 0
        self.down = False

    async def handle(self, _source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Handle one request from any controller."""
        if self.down:
            return HTTPStatus.SERVICE_UNAVAILABLE, {"error": "trouble"}
        url = urlsplit(target)
        if url.path == protocol.CATALOG_PATH:
            return HTTPStatus.OK, {"hulls": list(self._environment.deployment.machine_types)}
        if url.path == protocol.SCALE_IN_PATH:
            return self._scale_in(body["perches"])
        if method == "GET":
            return self._list(parse_qs(url.query).get("from", [""])[0])
        if url.path == protocol.MACHINES_PATH:
            return self._scale_out(body)
        # The request is meant for a machine to which this port belonged before.
        return HTTPStatus.NOT_FOUND, {"error": "no such path"}

    def remove(self, name: str) -> None:
        """Terminate a machine and its worker. An unknown name is ignored."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.used[machine.description.spot] -= 1
            machine.worker.kill()

    def _scale_in(self, names: list[str]) -> tuple[int, Any]:
        limit = protocol.MAX_MACHINES_PER_SCALE_IN
        if len(names) > limit:
            return HTTPStatus.BAD_REQUEST, {"error": f"more than {limit} names"}
        for name in names:
            self.remove(name)
        return HTTPStatus.OK, {}

    def _list(self, after: str) -> tuple[int, Any]:
        now = asyncio.get_running_loop().time()
        listed = [
            self._list_entry(machine, now)
            for name, machine in self.machines.items()
            if now - machine.rented_at > LIST_LAG_S and name > after
        ]
        limit = self._environment.deployment.list_page_size
        return HTTPStatus.OK, {"perches": listed[:limit], "more": len(listed) > limit}

    @staticmethod
    def _list_entry(machine: RentedMachine, now: float) -> dict[str, Any]:
        description = machine.description
        return {
            "hull": description.machine_type,
            "roost": description.zone,
            "driftwood": description.spot,
            "name_id": description.name,
            "addr": description.address,
            "held_s": now - machine.rented_at,
            "status": "running" if machine.worker.up else "starting",
        }

    def _scale_out(self, body: dict[str, Any]) -> tuple[int, Any]:
        limit = protocol.MAX_MACHINES_PER_SCALE_OUT
        if not 0 < body["count"] <= limit:
            return HTTPStatus.BAD_REQUEST, {"error": f"count must be 1 to {limit}"}
        key, spot = body["charter"], body["driftwood"]
        self.request_bodies_by_key.setdefault(key, set()).add(orjson.dumps(body).decode())
        if key not in self.machines_by_key:
            free = self.capacity[spot] - self.used[spot]
            count = min(body["count"], free, self._free_in_zone(body["roost"]))
            if count <= 0:
                return HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no capacity"}
            self.machines_by_key[key] = [
                self._rent(body["hull"], body["roost"], spot) for _ in range(count)
            ]
        return HTTPStatus.OK, {"perches": self.machines_by_key[key]}

    def _free_in_zone(self, zone: str) -> int:
        capacity = self._environment.deployment.zone_capacity
        if capacity is None:
            return UNLIMITED_MACHINES
        return capacity - sum(m.description.zone == zone for m in self.machines.values())

    def _rent(self, machine_type: str, zone: str, spot: bool) -> str:
        self.rented_count += 1
        self.used[spot] += 1
        name = f"host-{self.rented_count:06d}"
        address = self._environment.network.new_address(name)
        description = MachineDescription(name, address, machine_type, zone, spot)
        worker = Worker(self._environment, description)
        now = asyncio.get_running_loop().time()
        self.machines[name] = RentedMachine(description, now, worker)
        return name
