"""Commands in the response to a worker's heartbeat."""

from __future__ import annotations

from petrelthread.fleet import CommandPlanner, Fleet
from tests.fleet_builder import ELECTED_AT, add_attempt, attempt_number, exited, heartbeat


def test_exited_task_gets_no_forget_command_while_delayed_start_may_arrive(
    fleet: Fleet, command_planner: CommandPlanner
) -> None:
    machine, attempt = add_attempt(fleet, attempt_number(1))
    fleet.on_start_sent(attempt, machine, ELECTED_AT)
    fleet.unacknowledged_starts.on_no_response(attempt)
    stopped = heartbeat(1, tasks=[exited(attempt.number, "stopped")])
    fleet.on_heartbeat(stopped, 101.0, answered=True)
    assert not command_planner.for_heartbeat(machine, stopped, 101.0, may_start=True)
    # A new incarnation rejects the delayed command.
    fleet.on_heartbeat(heartbeat(2, incarnation=2), 102.0, answered=True)
    assert not fleet.unacknowledged_starts.count()
