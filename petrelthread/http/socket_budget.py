"""Divides the sockets that a controller may hold among its duties.

At the machine's limit every new connection fails, also the one to the state service on which the
leader's lease depends. Each duty therefore has a share of its own, and all shares together stay
below the limit.
"""

from __future__ import annotations

from typing import NamedTuple

MIN_SOCKET_LIMIT = 64  # a lower limit is taken for this one
RESERVED_SOCKETS = 16  # files, listening sockets, connections that are just closing
MIN_SHARE = 8  # sockets of any duty
PEER_BASE = 8  # operators
OUTGOING_BASE = 40
SOCKETS_PER_SIBLING = 2
MAX_PEER_FRACTION = 10  # at most one in so many sockets
MAX_OUTGOING_FRACTION = 5
COMMAND_SHARE = 0.1


class SocketBudget(NamedTuple):
    """How many sockets each duty of a controller may hold at once."""

    public: int  # incoming, on the public address: workers, users, health checks
    peers: int  # incoming, on the peer address: siblings and operators
    outgoing: int  # to the state service, the cloud and siblings
    commands: int  # to workers, idle connections included


def divide_sockets(limit: int, siblings: int) -> SocketBudget:
    """Divide ``limit`` sockets; the public address gets what the other duties leave."""
    available = max(MIN_SOCKET_LIMIT, limit) - RESERVED_SOCKETS
    for_siblings = SOCKETS_PER_SIBLING * siblings
    outgoing = _share(OUTGOING_BASE + for_siblings, available // MAX_OUTGOING_FRACTION)
    peers = _share(PEER_BASE + for_siblings, available // MAX_PEER_FRACTION)
    commands = max(MIN_SHARE, int(available * COMMAND_SHARE))
    return SocketBudget(available - outgoing - peers - commands, peers, outgoing, commands)


def _share(wanted: int, most: int) -> int:
    return max(MIN_SHARE, min(wanted, most))
