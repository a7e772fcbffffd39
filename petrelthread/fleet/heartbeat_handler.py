"""Workers' heartbeats at ``POST /checkin``: whether one is answered, and with what response."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Sequence
from http import HTTPStatus

from petrelthread import protocol
from petrelthread.fleet.command_planner import CommandPlanner
from petrelthread.fleet.fleet import Fleet
from petrelthread.http import Response, error_response, json_response
from petrelthread.leadership import Election, Role

log = logging.getLogger(__name__)

RECENT_INTERVALS = 2  # heartbeat intervals for which a heartbeat counts as recent


class HeartbeatHandler:
    """Handles heartbeats, and answers them if this controller may renew worker leases."""

    def __init__(
        self, node: str, election: Election, fleet: Fleet, command_planner: CommandPlanner
    ) -> None:
        """Create the handler of the controller named ``node``."""
        self._node = node
        self._election = election
        self._fleet = fleet
        self._command_planner = command_planner
        self._received_at: deque[float] = deque()

    @property
    def recent_window_s(self) -> float:
        """For how long a heartbeat counts as recent, in seconds."""
        return RECENT_INTERVALS * self._fleet.heartbeat_interval_s

    def recent_heartbeat_count(self, now: float) -> int:
        """Return how many heartbeats were received recently, answered or not."""
        while self._received_at and now - self._received_at[0] > self.recent_window_s:
            self._received_at.popleft()
        return len(self._received_at)

    def discard_recent_heartbeats(self) -> None:
        """Discard the recent heartbeats, when they are no longer evidence of connectivity."""
        self._received_at.clear()

    def handle(self, body: bytes) -> Response:
        """Answer one heartbeat. A malformed one gets status 400 and changes no state."""
        try:
            heartbeat = protocol.parse_heartbeat(body)
        except protocol.BadRequestError as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))
        now = asyncio.get_running_loop().time()
        self._received_at.append(now)
        self.recent_heartbeat_count(now)  # discards heartbeats that are no longer recent
        self._election.observe_epoch(heartbeat.fencing_token)
        refusal = self._refusal(heartbeat, now)
        if refusal is not None:
            return refusal
        commands = self._commands_for(heartbeat, now)
        return json_response(
            HTTPStatus.OK, protocol.heartbeat_response(self._election.fencing_token, commands)
        )

    def _refusal(self, heartbeat: protocol.WorkerHeartbeat, now: float) -> Response | None:
        """Decide whether the heartbeat is answered. This decision is made nowhere else.

        Returns:
            None if the heartbeat is answered, which renews the worker's lease. Otherwise the
            response to send instead. Its status is 421 if this controller may not answer workers;
            its body then names the leader, if another controller leads. Its status is 503 if the
            worker's lease has to expire: a direct start may still reach the machine, and the lease
            grace period has passed since its job was last known to have no final status.
        """
        election = self._election
        if not election.may_answer_workers:
            leader = election.leader_name
            return json_response(
                HTTPStatus.MISDIRECTED_REQUEST,
                protocol.redirect_response(None if leader == self._node else leader),
            )
        if self._lease_must_expire(heartbeat, now):
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "a late start may still reach this machine: its lease must end",
            )
        return None

    def _lease_must_expire(self, heartbeat: protocol.WorkerHeartbeat, now: float) -> bool:
        """Whether a response could keep a start executable past the cancellation deadline.

        If not, the response is recorded as a lease renewal for the machine's starts.
        """
        starts, token = self._fleet.unacknowledged_starts, self._election.fencing_token
        machine = self._fleet.find(heartbeat.machine_name)
        if machine is None or not starts.has_any_on(machine.index):
            return False
        if not starts.may_answer(machine.index, token, now):
            # The heartbeat itself may invalidate the start, by a new incarnation or a higher token.
            self._fleet.on_heartbeat(heartbeat, now, answered=False)
            if not starts.may_answer(machine.index, token, now):
                log.info(
                    "heartbeat of machine %s is not answered: a delayed start command may still"
                    " reach it, so its lease has to expire",
                    machine.name,
                )
                return True
        starts.on_lease_renewed(machine.index, token, now)
        return False

    def _commands_for(
        self, heartbeat: protocol.WorkerHeartbeat, now: float
    ) -> Sequence[protocol.Command]:
        """Reconcile an answered heartbeat and return the commands for its response.

        Only a leader may send all commands. A controller that is failing over or in its lease grace
        period only stops tasks of jobs with a final status.
        """
        election = self._election
        if election.role is Role.FAILING_OVER:
            return self._command_planner.stops_for_finished_jobs(heartbeat)
        machine = self._fleet.on_heartbeat(heartbeat, now, answered=True)
        if not election.is_leader:
            return self._command_planner.stops_for_finished_jobs(heartbeat)
        if machine is None:
            return []
        return self._command_planner.for_heartbeat(
            machine, heartbeat, now, election.may_start_tasks
        )
