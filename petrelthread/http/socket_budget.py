"""Divides the sockets that a controller may open among their purposes.

At the machine's connection limit every new connection fails, including the one to the state service
that renews the leader's lease. Each purpose therefore has its own share, and the sum of all shares
stays below the limit. Siblings are the other controllers.
"""

from __future__ import annotations

from typing import NamedTuple

MIN_SOCKET_LIMIT = 64  # lower limits are raised to this
RESERVED_SOCKETS = 16  # open files, listening sockets, connections being closed
MIN_SHARE_SOCKETS = 8  # for each purpose
OPERATOR_SOCKETS = 8  # incoming, on the peer address
OUTGOING_SOCKETS = 40  # to the state service and the cloud
SOCKETS_PER_SIBLING = 2
PEER_LIMIT_DIVISOR = 10  # peers get at most a tenth of the sockets
OUTGOING_LIMIT_DIVISOR = 5  # outgoing connections get at most a fifth
COMMAND_SHARE = 0.1  # part of the sockets for commands to workers


class SocketBudget(NamedTuple):
    """How many sockets a controller may have open for each purpose."""

    public: int  # incoming, on the public address: workers, users, health checks
    peers: int  # incoming, on the peer address: siblings and operators
    outgoing: int  # to the state service, the cloud and siblings
    commands: int  # to workers, including idle connections


def divide_sockets(limit: int, siblings: int) -> SocketBudget:
    """Divide ``limit`` sockets; the public address gets what the other purposes leave."""
    available = max(MIN_SOCKET_LIMIT, limit) - RESERVED_SOCKETS
    for_siblings = SOCKETS_PER_SIBLING * siblings
    outgoing = _bounded_share(OUTGOING_SOCKETS + for_siblings, available // OUTGOING_LIMIT_DIVISOR)
    peers = _bounded_share(OPERATOR_SOCKETS + for_siblings, available // PEER_LIMIT_DIVISOR)
    commands = max(MIN_SHARE_SOCKETS, int(available * COMMAND_SHARE))
    return SocketBudget(available - outgoing - peers - commands, peers, outgoing, commands)


def _bounded_share(wanted: int, maximum: int) -> int:
    return max(MIN_SHARE_SOCKETS, min(wanted, maximum))
