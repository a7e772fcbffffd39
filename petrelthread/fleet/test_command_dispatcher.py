"""Direct commands, in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from petrelthread.fleet import CommandDispatcher, CommandPlanner, Machine
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.state import Attempt, OperationState, transition
from tests.fleet_builder import EPOCH, JOB_ID, add_attempt, attempt_number, build_fleet, heartbeat
from tests.virtual import play

REACHABLE, UNREACHABLE = "host-1", "host-2"


class TwoMachines:
    """A reachable machine and an unreachable one, with a single slot for commands."""

    def __init__(self) -> None:
        self.fleet = build_fleet(elected_at=asyncio.get_running_loop().time(), task_count=9)
        self.asked: list[str] = []
        self.dispatcher = CommandDispatcher(
            self.fleet, self.request, asyncio.Semaphore(1), lambda: True
        )
        self.reachable = self.add_machine(REACHABLE)
        self.unreachable = self.add_machine(UNREACHABLE)
        self.task = 0

    def add_machine(self, name: str) -> Machine:
        machine = self.fleet.get_or_add(name, asyncio.get_running_loop().time())
        machine.address, machine.incarnation = name, 1
        return machine

    def start(self, machine: Machine) -> Attempt:
        """Start the next task on the machine."""
        self.task += 1
        _, attempt = add_attempt(
            self.fleet,
            attempt_number(self.task),
            self.task,
            host=machine.name,
            state=OperationState.DISPATCHING,
        )
        self.dispatcher.send([attempt], [])
        return attempt

    def commanded_tasks(self, machine: Machine) -> list[str]:
        """The machine reports: the tasks that the answer's commands are about."""
        report = heartbeat(1, host=machine.name)
        report.address = machine.name
        now = asyncio.get_running_loop().time()
        assert self.fleet.on_heartbeat(report, now, answered=True) is machine
        commands = CommandPlanner(self.fleet).for_heartbeat(machine, report, now, may_start=True)
        return [command.task_id for command in commands]

    async def request(
        self, addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        self.asked.append(addr)
        if addr == UNREACHABLE:
            await asyncio.sleep(timeout)
            raise NoResponseError("timeout", True)
        return ClientResponse(409, b"{}")


class SlowMachines(TwoMachines):
    """Machines respond after a second, with a heartbeat that lists no tasks."""

    async def request(
        self, addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        self.asked.append(addr)
        await asyncio.sleep(1.0)
        return ClientResponse(
            200, orjson.dumps({"perch": addr, "flight": 1, "tick": 9, "baton": EPOCH})
        )


def test_unreachable_machine_does_not_occupy_the_command_slots() -> None:
    async def main() -> None:
        machines = TwoMachines()
        machines.start(machines.unreachable)
        await asyncio.sleep(2.5)
        unsent = [machines.start(machines.unreachable) for _ in range(3)]
        machines.start(machines.reachable)
        await asyncio.sleep(0.1)
        assert machines.asked == [UNREACHABLE, REACHABLE]
        # Those starts are not lost: they go out with the answer to its next heartbeat.
        commanded = set(machines.commanded_tasks(machines.unreachable))
        assert commanded >= {f"{JOB_ID}/{attempt.task}" for attempt in unsent}
        machines.start(machines.unreachable)  # it has reported since: worth another try
        await asyncio.sleep(0.1)
        assert machines.asked[-1] == UNREACHABLE

    play(main())


def test_start_that_went_out_with_an_answer_while_waiting_is_not_sent_again() -> None:
    """After a forget command the second copy would start the attempt anew."""

    async def main() -> None:
        machines = TwoMachines()
        machines.start(machines.unreachable)
        await asyncio.sleep(0.1)
        attempt = machines.start(machines.reachable)  # waits for the slot
        assert machines.commanded_tasks(machines.reachable) == [f"{JOB_ID}/{attempt.task}"]
        await asyncio.sleep(5.0)
        assert machines.asked == [UNREACHABLE]

    play(main())


@pytest.mark.parametrize("deposed", [False, True], ids=["leader", "deposed"])
def test_response_after_loss_of_leadership_has_no_effect(deposed: bool) -> None:
    """Meanwhile another leader may have started what the response does not list."""

    async def main() -> None:
        machines = SlowMachines()
        attempt = machines.start(machines.reachable)
        await asyncio.sleep(0.5)
        transition(attempt, OperationState.CONFIRMED)
        if deposed:
            machines.fleet.step_down()
        await asyncio.sleep(2.0)
        assert machines.asked == [REACHABLE]
        assert machines.reachable.sequence_number == (-1 if deposed else 9)
        assert attempt.state is (OperationState.CONFIRMED if deposed else OperationState.SUPERSEDED)

    play(main())
