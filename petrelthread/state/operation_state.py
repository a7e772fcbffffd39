"""States of an operation that has an external effect, and the transitions between them.

Operations are starts of tasks, scale-out requests and scale-in requests. Each is recorded in the
state service before it is sent, so that a later leader can determine its result.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class OperationState(Enum):
    """What this controller knows about the effect of an operation."""

    AUTHORIZED = "authorized"  # decided; its record may not be written yet
    DISPATCHING = "dispatching"  # recorded; the request is being sent
    UNKNOWN = "unknown"  # no response was received, or another leader sent the request
    CONFIRMED = "confirmed"  # a worker or the cloud has reported the effect
    SUPERSEDED = "superseded"  # it has ended, or will certainly never take effect


class IllegalTransitionError(Exception):
    """A transition that is not defined, of an operation or of a controller's role."""


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
    """Change an operation's state; no other function changes it.

    Raises:
        IllegalTransitionError: ``TRANSITIONS`` has no such change.
    """
    if operation.state is target:
        return
    if target not in TRANSITIONS[operation.state]:
        raise IllegalTransitionError(
            f"no transition from state {operation.state.value} to {target.value}"
        )
    operation.state = target
