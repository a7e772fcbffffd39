"""The right to write as the leader."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread import protocol


class Fence(NamedTuple):
    """Conditions that hold as long as this controller leads with the epoch of its election."""

    epoch: int  # after another lead in between it is another one
    conditions: list[protocol.Condition]  # for the state service to compare
