"""The leader key and the epoch key, which are always written in one transaction."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.state import KeyKind, LeaderRecord
from petrelthread.store import KEY_PREFIX

LEADER_KEY = KeyKind.LEADER.value  # deleted when the leader's lease ends
EPOCH_KEY = KeyKind.EPOCH.value  # highest epoch or fencing token; never decreases


def leader_conditions(leader_revision: int, epoch_revision: int) -> list[protocol.Condition]:
    """Return the conditions that both keys have these revisions; revision 0 means absent."""
    return [
        protocol.Condition(KEY_PREFIX + LEADER_KEY, leader_revision),
        protocol.Condition(KEY_PREFIX + EPOCH_KEY, epoch_revision),
    ]


def leader_operations(record: LeaderRecord) -> list[protocol.PutOperation]:
    """Return the operations that write both keys."""
    return [
        protocol.PutOperation(KEY_PREFIX + LEADER_KEY, record, record.lease),
        protocol.PutOperation(KEY_PREFIX + EPOCH_KEY, record.epoch),
    ]
