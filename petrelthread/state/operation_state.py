"""The life of an effect: what is known about it, and which steps between those states exist."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Op(Enum):
    AUTHORIZED = "authorized"  # decided, its record not yet surely written
    DISPATCHING = "dispatching"  # record written, request on its way or about to be
    UNKNOWN = "unknown"  # reply lost, or a take-over came between
    CONFIRMED = "confirmed"  # its authority has shown it
    SUPERSEDED = "superseded"  # its authority has shown that it will never take effect (again)


class IllegalMove(Exception):
    pass


STEPS = {
    Op.AUTHORIZED: {Op.DISPATCHING, Op.SUPERSEDED},
    Op.DISPATCHING: {Op.CONFIRMED, Op.UNKNOWN, Op.SUPERSEDED},
    Op.UNKNOWN: {Op.CONFIRMED, Op.SUPERSEDED},
    # A confirmed start becomes unknown again when its machine falls silent or a leader changes.
    Op.CONFIRMED: {Op.UNKNOWN, Op.SUPERSEDED},
    Op.SUPERSEDED: set(),
}


class HasState(Protocol):
    state: Op


def move(operation: HasState, to: Op) -> None:
    """The one place where an operation changes its state."""
    if operation.state is to:
        return
    if to not in STEPS[operation.state]:
        raise IllegalMove(f"{operation.state.value} to {to.value}")
    operation.state = to
