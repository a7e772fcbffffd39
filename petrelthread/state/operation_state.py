"""States of an operation with an effect outside the state service, and the steps between them.

Operations are starts of tasks, scale-out requests and scale-in requests. Each is recorded in the
state service before it is sent, so that a later leader can find out what became of it.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class OperationState(Enum):
    """What this controller knows about an operation's effect."""

    AUTHORIZED = "authorized"  # decided; its record may not be written yet
    DISPATCHING = "dispatching"  # recorded; the request is being sent
    UNKNOWN = "unknown"  # the answer was lost, or another leader sent the request
    CONFIRMED = "confirmed"  # a worker or the cloud has shown the effect
    SUPERSEDED = "superseded"  # it has ended, or will certainly never take effect


class IllegalTransitionError(Exception):
    """An operation was to take a step that does not exist."""


TRANSITIONS = {
    OperationState.AUTHORIZED: {OperationState.DISPATCHING, OperationState.SUPERSEDED},
    OperationState.DISPATCHING: {
        OperationState.CONFIRMED,
        OperationState.UNKNOWN,
        OperationState.SUPERSEDED,
    },
    OperationState.UNKNOWN: {OperationState.CONFIRMED, OperationState.SUPERSEDED},
    # A confirmed start becomes unknown when its machine is unresponsive or the leader changes.
    OperationState.CONFIRMED: {OperationState.UNKNOWN, OperationState.SUPERSEDED},
    OperationState.SUPERSEDED: set(),
}


class Operation(Protocol):
    """Anything with an operation state."""

    state: OperationState


def transition(operation: Operation, target: OperationState) -> None:
    """Change an operation's state; the only function that does.

    Raises:
        IllegalTransitionError: there is no such step.
    """
    if operation.state is target:
        return
    if target not in TRANSITIONS[operation.state]:
        raise IllegalTransitionError(f"{operation.state.value} to {target.value}")
    operation.state = target
