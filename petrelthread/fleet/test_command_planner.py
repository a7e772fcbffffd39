"""Commands in the response to a worker's heartbeat."""

from __future__ import annotations

import orjson

from petrelthread import protocol
from petrelthread.fleet import CommandPlanner, Fleet
from tests.fleet_builder import (
    ELECTED_AT,
    EPOCH,
    add_attempt,
    attempt_number,
    build_fleet,
    exited,
    heartbeat,
)

MAX_RESPONSE_LINE_BYTES = 64 * 1024  # PROTOCOL


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


def test_starts_for_one_machine_fit_one_line_of_a_heartbeat_response() -> None:
    """Guards against lost leases: a worker cannot read a longer line, and its tasks are killed."""
    task_count = 1500
    fleet = build_fleet(task_count=task_count)
    for task in range(task_count):
        machine, _ = add_attempt(fleet, attempt_number(task), task)
    message = heartbeat(1)
    fleet.on_heartbeat(message, ELECTED_AT, answered=True)
    commands = CommandPlanner(fleet).for_heartbeat(machine, message, ELECTED_AT, may_start=True)
    assert commands
    line = orjson.dumps(protocol.heartbeat_response(EPOCH, commands))
    assert len(line) <= MAX_RESPONSE_LINE_BYTES
