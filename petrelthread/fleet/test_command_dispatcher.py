"""Direct commands."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import orjson
import pytest

from petrelthread import protocol
from petrelthread.fleet import (
    CommandDispatcher,
    CommandPlanner,
    FailureDetector,
    Fleet,
    Machine,
    WorkerStatusReader,
)
from petrelthread.fleet.worker_status_reader import MAX_READS, MAX_READS_WHEN_LATE
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.state import (
    Attempt,
    ClusterState,
    InternedNames,
    JobRecord,
    OperationState,
    transition,
)
from tests.virtual import play
from tests.world import job

EPOCH = 5


class Ground:
    """A hearing machine and a silent one, with room for one command at a time."""

    def __init__(self) -> None:
        cluster_state = ClusterState(InternedNames(["red"], ["a"]))
        cluster_state.add_job(
            "wk-000001",
            JobRecord.from_spec(msgspec.convert(job("wk-000001", 9), protocol.JobSpec), 0.0),
        )
        self.fleet = Fleet(cluster_state, 10.0, 1.0, 20.0)
        self.fleet.fail_over(EPOCH, asyncio.get_running_loop().time())
        self.asked: list[str] = []
        self.dispatch = CommandDispatcher(
            self.fleet, self.request, asyncio.Semaphore(1), lambda: True
        )
        self.hearing, self.silent = self.machine("host-1"), self.machine("host-2")
        self.task = 0

    def machine(self, name: str) -> Machine:
        machine = self.fleet.get_or_add(name, asyncio.get_running_loop().time())
        machine.address, machine.incarnation = name, 1
        return machine

    def start(self, machine: Machine) -> Attempt:
        self.task += 1
        number = (EPOCH << 20) + self.task
        attempt = self.fleet.cluster_state.add_attempt(
            number,
            self.fleet.cluster_state.jobs[0],
            self.task,
            machine.index,
            1,
            OperationState.DISPATCHING,
        )
        self.dispatch.send([attempt], [])
        return attempt

    async def request(
        self, addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        self.asked.append(addr)
        if addr == "host-2":
            await asyncio.sleep(timeout)
            raise NoResponseError("timeout", True)
        return ClientResponse(409, b"{}")


def test_a_machine_that_does_not_answer_holds_up_no_other() -> None:
    """Cut machines held all room for commands, 2 s each time, while others waited to start."""

    async def main() -> None:
        ground = Ground()
        ground.start(ground.silent)
        await asyncio.sleep(2.5)
        lost = [ground.start(ground.silent) for _ in range(3)]
        ground.start(ground.hearing)
        await asyncio.sleep(0.1)
        assert ground.asked == ["host-2", "host-1"]
        # Those starts are not lost: they go out with the answer to its next report.
        report = protocol.WorkerHeartbeat("host-2", 1, 1, "host-2", "small", "a", True, EPOCH)
        now = asyncio.get_running_loop().time()
        machine = ground.fleet.on_heartbeat(report, now, answered=True)
        assert machine is not None
        told = {
            command.task_id
            for command in CommandPlanner(ground.fleet).for_heartbeat(machine, report, now)
        }
        assert told >= {f"wk-000001/{attempt.task}" for attempt in lost}
        ground.start(ground.silent)  # it has been heard since: worth another try
        await asyncio.sleep(0.1)
        assert ground.asked[-1] == "host-2"

    play(main())


def test_what_waited_for_its_turn_and_was_told_meanwhile_is_not_sent_again() -> None:
    """Sent after a forget, the second copy would start the attempt anew."""

    async def main() -> None:
        ground = Ground()
        ground.start(ground.silent)
        await asyncio.sleep(0.1)
        attempt = ground.start(ground.hearing)  # waits for the room that the silent one holds
        report = protocol.WorkerHeartbeat("host-1", 1, 1, "host-1", "small", "a", True, EPOCH)
        now = asyncio.get_running_loop().time()
        ground.fleet.on_heartbeat(report, now, answered=True)
        orders = CommandPlanner(ground.fleet).for_heartbeat(ground.hearing, report, now)
        assert [command.task_id for command in orders] == [f"wk-000001/{attempt.task}"]
        await asyncio.sleep(5.0)
        assert ground.asked == ["host-2"]

    play(main())


@pytest.mark.parametrize(("late_s", "most"), [(0.0, MAX_READS), (0.5, MAX_READS_WHEN_LATE)])
def test_a_new_leader_reads_some_workers_at_a_time(late_s: float, most: int) -> None:
    """To ask 4,000 at once held up the event loop until the lease had run out."""
    asked: list[str] = []

    async def request(
        addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        asked.append(addr)
        raise NoResponseError("refused", False)

    async def main() -> None:
        fleet = Fleet(ClusterState(InternedNames(["red"], ["a"])), 10.0, 1.0, 20.0)
        fleet.fail_over(3, 0.0)
        for number in range(4000):
            fleet.get_or_add(f"host-{number:06d}", 0.0).address = f"host-{number}:9"
        reader = WorkerStatusReader(fleet, FailureDetector(fleet), request, asyncio.Semaphore(4000))
        now, calls = 0.0, 0
        while len(set(asked)) < 4000:
            before = len(asked)
            reader.read_workers(now, late_s)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(asked) - before <= most
            now, calls = now + 0.001, calls + 1
        assert calls == 4000 // most

    asyncio.run(main())


class SlowGround(Ground):
    """Machines answer after a second, with a report that shows no tasks."""

    async def request(
        self, addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        self.asked.append(addr)
        await asyncio.sleep(1.0)
        return ClientResponse(
            200, orjson.dumps({"perch": addr, "flight": 1, "tick": 9, "baton": EPOCH})
        )


@pytest.mark.parametrize("deposed", [False, True])
def test_an_answer_that_comes_after_the_lead_is_lost_changes_nothing(deposed: bool) -> None:
    """Between the command and its answer another leader may have started what the answer lacks."""

    async def main() -> None:
        ground = SlowGround()
        attempt = ground.start(ground.hearing)
        await asyncio.sleep(0.5)
        transition(attempt, OperationState.CONFIRMED)
        if deposed:
            ground.fleet.step_down()
        await asyncio.sleep(2.0)
        assert ground.asked == ["host-1"]
        assert ground.hearing.sequence_number == (-1 if deposed else 9)
        assert attempt.state is (OperationState.CONFIRMED if deposed else OperationState.SUPERSEDED)

    play(main())
