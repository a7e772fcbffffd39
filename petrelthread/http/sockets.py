"""One account of all sockets a controller may hold, shared out among its duties.

Past the machine's limit every new connection fails, the one to the state service too, and with it
the lead. So each duty has its own share, and together they never exceed the limit. With 930
workers, six tenths for the public side and idle connections to each worker had reached the limit.
"""

from __future__ import annotations

from typing import NamedTuple

RESERVED_SOCKETS = 16  # files, listening sockets, connections that are just closing
COMMAND_SHARE = 0.1
MIN_SOCKETS = 8


class SocketBudget(NamedTuple):
    public: int  # workers, users, health checks
    peers: int  # siblings and operators who come to us
    outgoing: int  # ours to state service, cloud and siblings: nothing else can take these
    commands: int  # ours to workers, idle ones included


def divide_sockets(limit: int, siblings: int) -> SocketBudget:
    limit = max(64, limit) - RESERVED_SOCKETS
    duties = max(MIN_SOCKETS, min(40 + 2 * siblings, limit // 5))
    peers = max(MIN_SOCKETS, min(8 + 2 * siblings, limit // 10))
    commands = max(MIN_SOCKETS, int(limit * COMMAND_SHARE))
    return SocketBudget(limit - duties - peers - commands, peers, duties, commands)
