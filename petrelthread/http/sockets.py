"""One account of all sockets a controller may hold, shared out among its duties.

Past the machine's limit every new connection fails, the one to the state service too, and with it
the lead. So each duty has its own share, and together they never exceed the limit. With 930
workers, six tenths for the public side and idle connections to each worker had reached the limit.
"""

from __future__ import annotations

from typing import NamedTuple

SPARE = 16  # files, listening sockets, connections that are just closing
COMMANDS_SHARE = 0.1
LEAST = 8


class Sockets(NamedTuple):
    public: int  # workers, users, health checks
    peers: int  # siblings and operators who come to us
    duties: int  # ours to state service, cloud and siblings: nothing else can take these
    commands: int  # ours to workers, idle ones included


def share_out(limit: int, siblings: int) -> Sockets:
    limit = max(64, limit) - SPARE
    duties = max(LEAST, min(40 + 2 * siblings, limit // 5))
    peers = max(LEAST, min(8 + 2 * siblings, limit // 10))
    commands = max(LEAST, int(limit * COMMANDS_SHARE))
    return Sockets(limit - duties - peers - commands, peers, duties, commands)
