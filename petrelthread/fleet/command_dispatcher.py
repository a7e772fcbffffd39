"""Direct commands: the quick way to start what a claim has just allowed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from petrelthread import protocol
from petrelthread.fleet.failure_detector import FailureDetector
from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.machine import Machine
from petrelthread.fleet.machine_registry import NO_EPOCH
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.state import Attempt, OperationState, transition
from petrelthread.store import Request

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 2.0
OK, CONFLICT = 200, 409  # a worker has carried a command out, or nothing of it
PROBE_TIMEOUT_S = 1.0
MAX_READS = 250  # workers that one call asks for their reports,
MAX_READS_WHEN_LATE = 25  # and while the event loop
MAX_LOOP_DELAY_S = 0.1  # runs later than this


class CommandDispatcher:
    def __init__(
        self,
        fleet: Fleet,
        failure_detector: FailureDetector,
        request: Request,
        max_concurrent_commands: int,
        may_start_tasks: Callable[[], bool],
    ) -> None:
        """Send commands with ``request`` while ``may_start_tasks`` allows it."""
        self._fleet = fleet
        self._failure_detector = failure_detector
        self._request = request
        self._room = asyncio.Semaphore(max_concurrent_commands)
        self._may_start_tasks = may_start_tasks

    def send(self, launches: list[Attempt], stops: list[Attempt]) -> None:
        """Send what a won claim allows. What is lost on the way rides on check-in answers."""
        if self._fleet.epoch == NO_EPOCH:
            return  # the lead was lost while the claim was under way
        by_machine: dict[int, tuple[list[Attempt], list[Attempt]]] = {}
        for attempt in launches:
            by_machine.setdefault(attempt.machine, ([], []))[0].append(attempt)
        for attempt in stops:
            by_machine.setdefault(attempt.machine, ([], []))[1].append(attempt)
        for index, (starting, stopping) in by_machine.items():
            machine = self._fleet.machines.get(index)
            if machine is None or not machine.address:
                continue
            # Cut and hanging machines would hold all the room for commands while those that hear
            # wait: one that has not answered gets its orders with its next report.
            if machine.last_message_at >= machine.last_unanswered_at:
                asyncio.create_task(self._send(machine, starting, stopping, self._fleet.epoch))

    def read_workers(self, now: float, late_s: float = 0.0) -> None:
        """Read some workers after a take-over (DESIGN: "re-reads its view of workers").

        Those whose controller hangs find us only 5 s and more later, and until they have heard us
        nothing may be placed on them. ``late_s``: how late the event loop runs. To read thousands
        at once kept it from renewing the leader's lease; most of them report by themselves.
        """
        most = MAX_READS if late_s < MAX_LOOP_DELAY_S else MAX_READS_WHEN_LATE
        for machine in self._failure_detector.unread_machines(now)[:most]:
            machine.last_read_at = now
            asyncio.create_task(self._read_worker(machine, self._fleet.epoch))

    async def _read_worker(self, machine: Machine, epoch: int) -> None:
        fleet = self._fleet
        async with self._room:
            if fleet.epoch != epoch or machine.acknowledged_epoch == epoch:
                return
            clock = asyncio.get_running_loop().time
            asked = clock()
            try:
                shown = await self._request(
                    machine.address, "GET", protocol.STATUS_PATH, timeout=RESPONSE_TIMEOUT_S
                )
                session = protocol.parse_heartbeat(shown.body).incarnation
                # No orders: that it takes our token is all. From then on it refuses older ones.
                body = protocol.command_request(fleet.fencing_token, session, [])
                reply = await self._request(
                    machine.address, "POST", protocol.COMMAND_PATH, body, timeout=RESPONSE_TIMEOUT_S
                )
                report = protocol.parse_heartbeat(reply.body)
            except (NoResponseError, protocol.BadRequestError) as error:
                log.debug("machine %s: not read: %s", machine.name, error)
                # A time limit that struck late, or while we stood still, shows only that we were.
                on_time = (
                    clock() - asked < 2 * RESPONSE_TIMEOUT_S + MAX_LOOP_DELAY_S
                    and fleet.resumed_at < asked
                )
                if fleet.epoch == epoch and on_time and isinstance(error, NoResponseError):
                    self._failure_detector.on_read(machine, answered=False)
                return
        if reply.status == 200 and fleet.epoch == epoch:
            fleet.on_heartbeat(report, asyncio.get_running_loop().time(), answered=False)

    def probe(self, now: float) -> None:
        """Ask machines with replicas that should have reported whether they are there."""
        for machine in self._failure_detector.overdue_machines(now):
            machine.probing = True
            asyncio.create_task(self._probe(machine, self._fleet.epoch))

    async def _probe(self, machine: Machine, epoch: int) -> None:
        asked = asyncio.get_running_loop().time()
        try:
            await self._request(
                machine.address, "GET", protocol.STATUS_PATH, timeout=PROBE_TIMEOUT_S
            )
            answered = True
        except NoResponseError:
            answered = False
        finally:
            machine.probing = False
        if self._fleet.epoch == epoch and machine.last_seen_at < asked:
            self._failure_detector.on_probe(machine, answered, asyncio.get_running_loop().time())

    async def _send(
        self, machine: Machine, starting: list[Attempt], stopping: list[Attempt], epoch: int
    ) -> None:
        fleet = self._fleet
        async with self._room:
            token = fleet.fencing_token
            reply = await self._command(machine, starting, stopping, epoch)
            if reply is None or fleet.epoch != epoch:
                return
            self._take_in(machine, reply)
            if reply.status == CONFLICT and fleet.fencing_token > token:
                # The token was raised while the command was under way: nothing was carried out.
                reply = await self._command(machine, starting, stopping, epoch)
                if reply is not None and fleet.epoch == epoch:
                    self._take_in(machine, reply)

    async def _command(
        self, machine: Machine, starting: list[Attempt], stopping: list[Attempt], epoch: int
    ) -> ClientResponse | None:
        """Send one direct command with what is still wanted of it; the answer, if one came."""
        fleet = self._fleet
        if fleet.epoch != epoch:
            return None
        going = self._still_to_start(machine, starting)
        orders: list[protocol.Command] = [
            protocol.StopCommand(protocol.task_id(a.job.id, a.task), a.number, a.job.grace_period_s)
            for a in stopping
        ]
        orders += [
            protocol.StartCommand(protocol.task_id(a.job.id, a.task), a.number) for a in going
        ]
        if not orders:
            return None
        clock = asyncio.get_running_loop().time
        for attempt in going:
            fleet.on_start_sent(attempt, machine, clock())
        body = protocol.command_request(fleet.fencing_token, machine.incarnation, orders)
        machine.commands_in_flight += 1
        try:
            reply = await self._request(
                machine.address, "POST", protocol.COMMAND_PATH, body, timeout=RESPONSE_TIMEOUT_S
            )
        except NoResponseError as error:
            log.debug("machine %s: no answer to commands: %s", machine.name, error)
            machine.last_unanswered_at = clock()
            self._give_up(going, error.request_sent)
            return None
        finally:
            machine.commands_in_flight = max(0, machine.commands_in_flight - 1)
        if reply.status not in (OK, CONFLICT):
            self._give_up(going, sent=True)
            return None
        for attempt in going:
            fleet.unacknowledged_starts.on_answered(attempt)
        return reply

    def _still_to_start(self, machine: Machine, starting: list[Attempt]) -> list[Attempt]:
        """What waited for its turn may have gone out with the answer to a report meanwhile, or this
        controller may have lost the right to start it."""
        if not self._may_start_tasks():
            return []
        return [
            attempt
            for attempt in starting
            if attempt.state is OperationState.DISPATCHING
            and attempt.incarnation == machine.incarnation
            and not attempt.start_delivered
            and not attempt.stop_requested_at
            and not attempt.job.final_status
        ]

    def _give_up(self, going: list[Attempt], sent: bool) -> None:
        """No answer came. ``sent``: the command may have left, so it may arrive at any time."""
        for attempt in going:
            if not sent:
                self._fleet.unacknowledged_starts.on_answered(attempt)
                continue
            self._fleet.unacknowledged_starts.on_unanswered(attempt)
            if attempt.state is OperationState.DISPATCHING:
                transition(attempt, OperationState.UNKNOWN)

    def _take_in(self, machine: Machine, reply: ClientResponse) -> None:
        """The answer to a command is the worker's report."""
        try:
            report = protocol.parse_heartbeat(reply.body)
        except protocol.BadRequestError as error:
            log.info("machine %s: garbled answer: %s", machine.name, error)
            return
        self._fleet.on_heartbeat(report, asyncio.get_running_loop().time(), answered=False)
