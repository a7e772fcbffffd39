"""Direct commands, which carry out a committed claim without waiting for heartbeats.

Commands that are lost are sent again with the response to the machine's next heartbeat, which
``CommandPlanner`` prepares. ``unacknowledged_starts`` documents the life cycle of a start.
"""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from petrelthread import protocol
from petrelthread.background_tasks import BackgroundTasks
from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.machine import Machine
from petrelthread.fleet.machine_registry import NO_EPOCH
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.state import Attempt, OperationState, transition
from petrelthread.store import SendRequest

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 2.0
# A response with one of these statuses means that the worker has executed all commands of the
# request, or none. With any other status, it is unknown which commands it has executed.
KNOWN_OUTCOMES = (HTTPStatus.OK, HTTPStatus.CONFLICT)


@dataclass(slots=True)
class MachineChanges:
    """The attempts that a claim starts and stops on one machine."""

    starts: list[Attempt] = field(default_factory=list)
    stops: list[Attempt] = field(default_factory=list)


class CommandDispatcher:
    """Sends direct commands to workers, one request per claim and machine."""

    def __init__(
        self,
        fleet: Fleet,
        request: SendRequest,
        command_slots: asyncio.Semaphore,
        may_start_tasks: Callable[[], bool],
    ) -> None:
        """Create the dispatcher.

        Args:
            fleet: The machines.
            request: Sends one HTTP request.
            command_slots: Limits the requests to workers that are in flight.
            may_start_tasks: Whether this controller's view of cancellations is recent enough.
        """
        self._fleet = fleet
        self._request = request
        self._command_slots = command_slots
        self._may_start_tasks = may_start_tasks
        self._sending = BackgroundTasks()

    def send(self, starts: list[Attempt], stops: list[Attempt]) -> None:
        """Send the starts and stops of a committed claim to their machines."""
        if self._fleet.epoch == NO_EPOCH:
            return  # leadership was lost while the claim was in flight
        by_machine: defaultdict[int, MachineChanges] = defaultdict(MachineChanges)
        for attempt in starts:
            by_machine[attempt.machine].starts.append(attempt)
        for attempt in stops:
            by_machine[attempt.machine].stops.append(attempt)
        for index, changes in by_machine.items():
            machine = self._fleet.machines.get(index)
            if machine is None or not machine.address:
                continue
            # A machine whose last command got no response, and that has sent no heartbeat since,
            # gets its commands with the response to its next heartbeat. Unreachable machines would
            # otherwise occupy the slots while others wait.
            if machine.last_message_at >= machine.last_unanswered_at:
                self._sending.start(self._send(machine, changes, self._fleet.epoch))

    async def _send(self, machine: Machine, changes: MachineChanges, epoch: int) -> None:
        fleet = self._fleet
        async with self._command_slots:
            token = fleet.fencing_token
            response = await self._send_once(machine, changes, epoch)
            if response is None or fleet.epoch != epoch:
                return
            self._reconcile(machine, response)
            if response.status == HTTPStatus.CONFLICT and fleet.fencing_token > token:
                # The token was raised while the request was in flight: no command was executed.
                response = await self._send_once(machine, changes, epoch)
                if response is not None and fleet.epoch == epoch:
                    self._reconcile(machine, response)

    async def _send_once(
        self, machine: Machine, changes: MachineChanges, epoch: int
    ) -> ClientResponse | None:
        """Send one request with the stops and with those starts that may still be sent.

        Returns:
            The response; None if there was nothing to send or the outcome is unknown.
        """
        fleet = self._fleet
        if fleet.epoch != epoch:
            return None
        starting = self._starts_that_may_be_sent(machine, changes.starts)
        commands = _commands(starting, changes.stops)
        if not commands:
            return None
        clock = asyncio.get_running_loop().time
        for attempt in starting:
            fleet.on_start_sent(attempt, machine, clock())
        token = fleet.fencing_token
        body = protocol.command_request(token, machine.incarnation, commands)
        machine.commands_in_flight += 1
        try:
            response = await self._request(
                machine.address, "POST", protocol.COMMAND_PATH, body, timeout=RESPONSE_TIMEOUT_S
            )
        except NoResponseError as error:
            log.debug("machine %s: no response to commands: %s", machine.name, error)
            machine.last_unanswered_at = clock()
            self._mark_unanswered(starting, error.request_sent)
            return None
        finally:
            machine.commands_in_flight = max(0, machine.commands_in_flight - 1)
        if response.status not in KNOWN_OUTCOMES:
            self._mark_unanswered(starting, request_sent=True)
            return None
        for attempt in starting:
            if response.status == HTTPStatus.OK:
                fleet.on_start_executed(attempt)
            else:
                fleet.unacknowledged_starts.on_acknowledged(attempt)
            log.debug(
                "machine %s: status %d for the direct start of %s/%d attempt %d with token %d",
                machine.name,
                response.status,
                attempt.job.id,
                attempt.task,
                attempt.number,
                token,
            )
        return response

    def _starts_that_may_be_sent(self, machine: Machine, starts: list[Attempt]) -> list[Attempt]:
        """Decide which of a machine's direct starts may be sent now.

        While a start waited for a slot, it may have been sent with a heartbeat response, its job
        may have been cancelled, its worker may have restarted, or this controller may have lost the
        right to start tasks. Starts beyond the limit of ``ExecutedStarts`` are left for heartbeat
        responses, for which ``CommandPlanner`` decides.
        """
        if not self._may_start_tasks():
            return []
        tracked = self._fleet.unacknowledged_starts.count_on(machine.index)
        left = self._fleet.executed_starts.direct_starts_left(machine.index, tracked)
        sendable = [
            attempt
            for attempt in starts
            if attempt.state is OperationState.DISPATCHING
            and attempt.incarnation == machine.incarnation
            and not attempt.start_delivered
            and not attempt.stop_requested_at
            and not attempt.job.final_status
        ]
        return sendable[:left]

    def _mark_unanswered(self, starts: list[Attempt], request_sent: bool) -> None:
        """Record that no response came. A request that was sent may still reach the worker."""
        for attempt in starts:
            if not request_sent:
                self._fleet.unacknowledged_starts.on_acknowledged(attempt)
                continue
            self._fleet.unacknowledged_starts.on_no_response(attempt)
            if attempt.state is OperationState.DISPATCHING:
                transition(attempt, OperationState.UNKNOWN)

    def _reconcile(self, machine: Machine, response: ClientResponse) -> None:
        """Reconcile the worker's heartbeat, which is the body of a command response."""
        try:
            heartbeat = protocol.parse_heartbeat(response.body)
        except protocol.BadRequestError as error:
            log.info("machine %s: malformed response to commands: %s", machine.name, error)
            return
        self._fleet.on_heartbeat(heartbeat, asyncio.get_running_loop().time(), answered=False)


def _commands(starts: list[Attempt], stops: list[Attempt]) -> list[protocol.Command]:
    """Return the commands, stops first, because they free capacity for the starts."""
    commands: list[protocol.Command] = [
        protocol.StopCommand(protocol.task_id(a.job.id, a.task), a.number, a.job.grace_period_s)
        for a in stops
    ]
    commands += [
        protocol.StartCommand(protocol.task_id(a.job.id, a.task), a.number) for a in starts
    ]
    return commands
