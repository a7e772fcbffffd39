"""The daemon: connects a controller to its sockets."""

from __future__ import annotations

import asyncio
import gc
import logging
import random

from petrelthread import __version__
from petrelthread.controller import Controller
from petrelthread.http import Client, Server, divide_sockets
from petrelthread.settings import Settings, split_addr

log = logging.getLogger(__name__)

EXIT_FAILED = 1
EXIT_INTERRUPTED = 130  # as shells report SIGINT

LEASE_SOCKETS = 2  # of those for outgoing requests: renewals of the leader's lease alone
MISSED_HEARTBEATS = 2.5  # a connection without a request for so many heartbeat intervals
STALE_MARGIN_S = 2.0  # and this belongs to a worker that is gone
IDLE_CHECK_INTERVAL_S = 5.0  # between two looks for idle connections


def serve(settings: Settings) -> int:
    """Run one controller until it is interrupted; the exit code."""
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        log.error("cannot serve: %s", error)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0


async def _serve(settings: Settings) -> None:
    sockets = divide_sockets(
        settings.cluster.machine_limits.max_connections, len(settings.siblings)
    )
    lease = Client(LEASE_SOCKETS)
    client, commands = Client(sockets.outgoing - LEASE_SOCKETS), Client(sockets.commands)
    controller = Controller(
        settings,
        client.request,
        random.Random(),
        commands=commands.request,
        commands_at_once=commands.max_concurrent,
        lease_request=lease.request,
    )
    stale_s = MISSED_HEARTBEATS * settings.cluster.workers.report_s + STALE_MARGIN_S
    public = Server(controller.handle, sockets.public, stale_s, controller.load_shedder)
    peers = Server(controller.handle_peer, sockets.peers)
    await public.listen(*split_addr(settings.bind))
    await peers.listen(*split_addr(settings.peer_listen))
    log.info("petrelthread %s on %s, node %s", __version__, settings.bind, settings.host_name)
    gc.freeze()
    await asyncio.gather(controller.run(), _close_idle_connections(lease, client, commands))


async def _close_idle_connections(*clients: Client) -> None:
    while True:
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        for client in clients:
            client.close_idle()
