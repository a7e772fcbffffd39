"""The daemon: sockets on one side, a Controller on the other."""

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

LEASE_SOCKETS = 2  # of our duties' share, for renewals of the lease alone


def serve(settings: Settings) -> int:
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        log.error("cannot serve: %s", error)
        return 1
    except KeyboardInterrupt:
        return 130
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
    # A worker that has missed two reports is cut off, taken or with another controller.
    stale_s = 2.5 * settings.cluster.workers.report_s + 2.0
    public = Server(controller.handle, sockets.public, stale_s, controller.load_shedder)
    peers = Server(controller.handle_peer, sockets.peers)
    await public.listen(*split_addr(settings.bind))
    await peers.listen(*split_addr(settings.peer_listen))
    log.info("petrelthread %s on %s, node %s", __version__, settings.bind, settings.host_name)
    gc.freeze()
    await asyncio.gather(controller.run(), _sweep(lease, client, commands))


async def _sweep(*clients: Client) -> None:
    while True:
        await asyncio.sleep(5.0)
        for client in clients:
            client.close_idle()
