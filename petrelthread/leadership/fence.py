"""The fence: transaction conditions that prevent writes by a deposed leader."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread import protocol


class Fence(NamedTuple):
    """Conditions of a transaction that are met only while this controller leads.

    They require the revisions at which this controller wrote the leader keys, so that the state
    service does not apply the transaction of a leader that does not know that it was deposed.
    """

    epoch: int  # of the election; each later election of the same controller has a higher one
    conditions: list[protocol.Condition]
