"""Workers' heartbeats, and the commands that controllers send to workers."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Any

import msgspec

from petrelthread.protocol.errors import BadRequestError

HEARTBEAT_PATH = "/checkin"
COMMAND_PATH = "/do"
STATUS_PATH = "/show"

# How long a worker may take to try another controller: it waits 4 s for the response to a
# heartbeat, and tries the next controller 1 s later.
LEADER_DISCOVERY_S = 5.0


class TaskState(StrEnum):
    """State of a task on its machine."""

    FETCHING = "fetching"  # waits for its image to be fetched
    GATHERING = "gathering"  # waits for the other tasks of its gang
    RUNNING = "running"
    SAVING = "flushing"  # received a stop command and saves its progress
    EXITED = "ended"


class ExitCause(StrEnum):
    """Why a task exited, or why its start was refused."""

    DONE = "done"
    ERROR = "error"
    NO_CAPACITY = "full"
    IN_USE = "in_use"  # the machine has another attempt of the task
    UNKNOWN_TASK = "unknown"


def task_id(job_id: str, index: int) -> str:
    """Build the identifier of a task on the wire."""
    return f"{job_id}/{index}"


class TaskReport(msgspec.Struct):
    """A task in its worker's heartbeat."""

    task_id: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="try")
    state: str = msgspec.field(name="status")
    exit_cause: str | None = msgspec.field(name="cause", default=None)
    progress_saved: bool = msgspec.field(name="stored", default=False)

    @property
    def job_and_index(self) -> tuple[str, int]:
        """The job's id and the task's index. Raises ValueError if ``task_id`` is malformed."""
        job_id, _, index = self.task_id.rpartition("/")
        return job_id, int(index)


class WorkerHeartbeat(msgspec.Struct):
    """A worker's heartbeat, with the status of its machine and of all tasks on it.

    Of two heartbeats from the same machine, the newer one has the larger (``incarnation``,
    ``sequence_number``).
    """

    machine_name: str = msgspec.field(name="perch")
    incarnation: int = msgspec.field(name="flight")
    sequence_number: int = msgspec.field(name="tick")
    address: str = msgspec.field(name="addr", default="")
    machine_type: str = msgspec.field(name="hull", default="")
    zone: str = msgspec.field(name="roost", default="")
    spot: bool = msgspec.field(name="driftwood", default=False)
    fencing_token: int = msgspec.field(name="baton", default=0)
    spot_notice_s: float | None = msgspec.field(name="warning_s", default=None)
    tasks: list[TaskReport] = msgspec.field(name="legs", default_factory=list)


_heartbeat_decoder = msgspec.json.Decoder(WorkerHeartbeat)


def parse_heartbeat(body: bytes) -> WorkerHeartbeat:
    """Decode a heartbeat.

    Raises:
        BadRequestError: The body is malformed.
    """
    try:
        heartbeat = _heartbeat_decoder.decode(body)
        for task in heartbeat.tasks:
            _ = task.job_and_index
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise BadRequestError(str(error)) from error
    return heartbeat


class StartCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="launch"):
    """Start an attempt; no effect if the worker's heartbeats list that attempt already."""

    task_id: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="try")


class StopCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="halt"):
    """Stop an attempt, which saves its progress if it can do so in the grace period."""

    task_id: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="try")
    grace_period_s: float = msgspec.field(name="leeway_s")


class ForgetCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="forget"):
    """Remove an exited attempt from the worker's heartbeats."""

    task_id: str = msgspec.field(name="leg")
    attempt: int = msgspec.field(name="try")


Command = StartCommand | StopCommand | ForgetCommand


def heartbeat_response(fencing_token: int, commands: Sequence[Command]) -> dict[str, Any]:
    """Build the response to a heartbeat, which renews the worker's lease."""
    return {"baton": fencing_token, "orders": msgspec.to_builtins(commands)}


def command_request(
    fencing_token: int, incarnation: int, commands: Sequence[Command]
) -> dict[str, Any]:
    """Build a request that sends commands to a worker; it does not renew the worker's lease."""
    return {
        "baton": fencing_token,
        "flight": incarnation,
        "orders": msgspec.to_builtins(commands),
    }


def redirect_response(node_name: str | None) -> dict[str, Any]:
    """Build a response that redirects a worker; with None it must find a controller by itself."""
    return {"home": node_name} if node_name else {}
