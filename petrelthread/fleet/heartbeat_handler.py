"""Workers' reports at ``POST /checkin``: who may answer them, and what the answer says."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

from petrelthread import protocol
from petrelthread.fleet.command_planner import CommandPlanner
from petrelthread.fleet.fleet import Fleet
from petrelthread.http import Response, error_response, json_response
from petrelthread.leadership import Election, Role

log = logging.getLogger(__name__)

WINDOW_HEARTBEATS = 2  # report intervals that count as lately


class HeartbeatHandler:
    """Takes reports in and answers them, as far as this controller has the right to."""

    def __init__(
        self, node: str, election: Election, fleet: Fleet, commands: CommandPlanner
    ) -> None:
        """``node``: the name of this controller."""
        self._node = node
        self._election = election
        self._fleet = fleet
        self._commands = commands
        self._came_at: deque[float] = deque()

    @property
    def window_s(self) -> float:
        """For how long a report counts as a recent one, in seconds."""
        return WINDOW_HEARTBEATS * self._fleet.heartbeat_interval_s

    def recent_count(self, now: float) -> int:
        """How many reports have come lately, whatever became of them."""
        while self._came_at and now - self._came_at[0] > self.window_s:
            self._came_at.popleft()
        return len(self._came_at)

    def reset_recent(self) -> None:
        """Count anew: what came before says nothing about what comes from now on."""
        self._came_at.clear()

    def handle(self, body: bytes) -> Response:
        """Answer one report. A malformed one gets 400 and changes nothing."""
        try:
            report = protocol.parse_heartbeat(body)
        except protocol.BadRequestError as error:
            return error_response(400, str(error))
        now = asyncio.get_running_loop().time()
        self._came_at.append(now)
        self.recent_count(now)
        election = self._election
        election.observe_epoch(report.fencing_token)
        if not election.may_answer_workers:
            home = election.leader_name
            if home == self._node:
                home = None
            return json_response(421, protocol.redirect_response(home))
        if self._lease_must_end(report, now):
            return error_response(
                503, "a late start may still reach this machine: its lease must end"
            )
        if election.role is Role.FAILING_OVER:
            return json_response(
                200,
                protocol.heartbeat_response(
                    election.fencing_token, self._commands.stops_for_finished_jobs(report)
                ),
            )
        machine = self._fleet.on_heartbeat(report, now, answered=True)
        if not election.is_leader:
            orders = self._commands.stops_for_finished_jobs(report)
        elif machine is not None:
            orders = self._commands.for_heartbeat(machine, report, now, election.may_start_tasks)
        else:
            orders = []
        return json_response(200, protocol.heartbeat_response(election.fencing_token, orders))

    def _lease_must_end(self, report: protocol.WorkerHeartbeat, now: float) -> bool:
        """Whether an answer might keep a start executable that was cancelled too long ago."""
        uncertain, token = self._fleet.unacknowledged_starts, self._election.fencing_token
        machine = self._fleet.find(report.host)
        if machine is None or not uncertain.has_any_on(machine.index):
            return False
        if not uncertain.may_answer(machine.index, token, now):
            # What it shows is evidence all the same: a later session, or a higher token.
            self._fleet.on_heartbeat(report, now, answered=False)
            if not uncertain.may_answer(machine.index, token, now):
                log.info("machine %s is not answered: a start may come late", machine.name)
                return True
        uncertain.on_lease_renewed(machine.index, token, now)
        return False
