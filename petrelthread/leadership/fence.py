"""The right to write to the state service as the leader."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread import protocol


class Fence(NamedTuple):
    """Conditions of a transaction that hold only while this controller leads.

    They name the revisions of the leader keys as this controller wrote them, so the state service
    itself refuses the transaction of a leader that was deposed without knowing it.
    """

    epoch: int  # of the election; a later election of the same controller has another one
    conditions: list[protocol.Condition]
