"""The life of an effect: what is known about it, and which steps between those states exist."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class OperationState(Enum):
    AUTHORIZED = "authorized"  # decided, its record not yet surely written
    DISPATCHING = "dispatching"  # record written, request on its way or about to be
    UNKNOWN = "unknown"  # reply lost, or a take-over came between
    CONFIRMED = "confirmed"  # its authority has shown it
    SUPERSEDED = "superseded"  # its authority has shown that it will never take effect (again)


class IllegalTransitionError(Exception):
    pass


TRANSITIONS = {
    OperationState.AUTHORIZED: {OperationState.DISPATCHING, OperationState.SUPERSEDED},
    OperationState.DISPATCHING: {
        OperationState.CONFIRMED,
        OperationState.UNKNOWN,
        OperationState.SUPERSEDED,
    },
    OperationState.UNKNOWN: {OperationState.CONFIRMED, OperationState.SUPERSEDED},
    # A confirmed start becomes unknown again when its machine falls silent or a leader changes.
    OperationState.CONFIRMED: {OperationState.UNKNOWN, OperationState.SUPERSEDED},
    OperationState.SUPERSEDED: set(),
}


class Stateful(Protocol):
    state: OperationState


def transition(operation: Stateful, target: OperationState) -> None:
    """The one place where an operation changes its state."""
    if operation.state is target:
        return
    if target not in TRANSITIONS[operation.state]:
        raise IllegalTransitionError(f"{operation.state.value} to {target.value}")
    operation.state = target
