"""Stand-in for a machine's worker."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson

from petrelthread.emulator.world import World
from petrelthread.http import NoResponseError


class Worker:
    """Reports, keeps its lease, and runs tasks. Tasks end by the world's clock."""

    def __init__(self, world: World, machine: dict[str, Any]) -> None:
        self.world = world
        self.machine = machine
        self.name: str = machine["name_id"]
        self.up = False
        self.dead = False
        self.frozen = False
        self.faulty = False
        self.session, self.tick, self.token = 1, 0, 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.node = 0
        self.answered = 0.0
        self.killed_by_lease = 0
        self.task = asyncio.create_task(self._run())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def kill(self) -> None:
        """The machine is gone."""
        self.dead = True
        self.world.net.detach(self.machine["addr"])
        self.task.cancel()
        for leg in list(self.tasks):
            self._leave(leg)
        self.tasks.clear()

    def _leave(self, leg: str) -> None:
        self.world.judge.left(leg, self.name)

    async def _run(self) -> None:
        await asyncio.sleep(self.world.made_of.hulls[0]["startup_s"] + self.world.late_boots_s)
        self.up = True
        self.answered = self._now()
        self.world.net.attach(self.machine["addr"], self.name, self.handle)
        self.world.background(self._report())
        while not self.dead:
            await asyncio.sleep(self.world.made_of.step_s)
            if not self.frozen:
                self._advance()

    def expire(self) -> None:
        """Kill all tasks if the lease has run out. Whoever looks at the tasks calls this first: a
        worker that resumes late, hanging or not, does this before anything else."""
        now = self._now()
        if self.up and now - self.answered > self.world.workers.lease_s:
            for leg, entry in self.tasks.items():
                if entry["status"] != "ended":
                    self.killed_by_lease += 1
                    self._leave(leg)
            self.tasks.clear()
            self.session += 1
            self.answered = now

    def _advance(self) -> None:
        self.expire()
        now = self._now()
        for leg, entry in self.tasks.items():
            if entry["status"] == "fetching" and now >= entry["at"] + 1.0:
                entry["status"] = "running"
                entry["at"] = now
                self.world.judge.started(leg, self.machine, now)
                if self.faulty or self.world.is_bad(leg):
                    self._end(leg, entry, "error")
            elif entry["status"] == "running" and now >= entry["at"] + self.world.ran_s(leg):
                self._end(leg, entry, "done")

    def _end(self, leg: str, entry: dict[str, Any], cause: str) -> None:
        if entry["status"] == "running":
            self._leave(leg)
        entry.update(status="ended", cause=cause)
        if cause == "done":
            self.world.judge.completed.add(leg)

    def report(self) -> dict[str, Any]:
        """The next report; each has a higher sequence number."""
        self.tick += 1
        legs = [
            {"leg": leg, "try": e["try"], "status": e["status"], "cause": e.get("cause")}
            for leg, e in self.tasks.items()
        ]
        return {
            "perch": self.name,
            "addr": self.machine["addr"],
            "hull": self.machine["hull"],
            "roost": self.machine["roost"],
            "driftwood": self.machine["driftwood"],
            "flight": self.session,
            "tick": self.tick,
            "baton": self.token,
            "warning_s": None,
            "legs": legs,
        }

    async def _report(self) -> None:
        request = self.world.net.requester(self.name)
        nodes, every_s = self.world.made_of.nodes, self.world.workers.report_s
        while not self.dead:
            if self.frozen:
                await asyncio.sleep(0.1)
                continue
            sent, session = self._now(), self.session
            try:
                node = nodes[self.node]
                reply = await request(
                    self.world.public_address(node), "POST", "/checkin", self.report(), timeout=4.0
                )
            except NoResponseError:
                self.node = (self.node + 1) % len(nodes)
                await asyncio.sleep(1.0)
                continue
            answer = orjson.loads(reply.body)
            if reply.status == 200:
                stale = answer["baton"] < self.token or session != self.session or self.dead
                if not stale:
                    self.token = answer["baton"]
                    self.answered = sent
                    self.execute(answer["orders"])
                await asyncio.sleep(every_s * self.world.random.uniform(0.75, 1.25))
            elif reply.status == 421 and answer.get("home") in nodes:
                self.node = nodes.index(answer["home"])
                await asyncio.sleep(0.2)
            else:
                self.node = (self.node + 1) % len(nodes)
                await asyncio.sleep(1.0)

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Carry out commands in order."""
        for order in orders:
            leg = order["leg"]
            entry = self.tasks.get(leg)
            if order["verb"] == "launch":
                if entry is not None and entry["try"] == order["try"]:
                    continue
                if entry is not None and entry["status"] != "ended":
                    continue
                self.tasks[leg] = {"try": order["try"], "status": "fetching", "at": self._now()}
                self.world.judge.told_to_start(leg, self.name, self.token)
            elif entry is None or entry["try"] != order["try"]:
                continue
            elif order["verb"] == "halt" and entry["status"] != "ended":
                self._end(leg, entry, "stopped")
            elif order["verb"] == "forget" and entry["status"] == "ended":
                del self.tasks[leg]

    async def handle(self, source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Serve a direct command or a question for the report."""
        while self.frozen:
            await asyncio.sleep(0.1)
        if self.dead:
            await asyncio.sleep(1000.0)
        if target == "/do":
            if body["baton"] < self.token or body["flight"] != self.session:
                return 409, self.report()
            self.token = body["baton"]
            self.execute(body["orders"])
        return 200, self.report()
