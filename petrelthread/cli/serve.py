"""Runs a controller as a daemon: its servers, and the clients for its outgoing requests."""

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

LEASE_SOCKETS = 2  # outgoing sockets reserved for renewals of the leader's lease
# A public connection is stale after MISSED_HEARTBEATS heartbeat intervals plus STALE_MARGIN_S
# without a request: its worker has terminated or is partitioned.
MISSED_HEARTBEATS = 2.5
STALE_MARGIN_S = 2.0
IDLE_CHECK_INTERVAL_S = 5.0  # between two checks for idle outgoing connections


def serve(settings: Settings) -> int:
    """Run one controller until it is interrupted, and return the exit code."""
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        log.error("cannot run the controller: %s", error)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0


async def _serve(settings: Settings) -> None:
    sockets = divide_sockets(
        settings.cluster.machine_limits.max_connections, len(settings.siblings)
    )
    lease_client = Client(LEASE_SOCKETS)
    client, command_client = Client(sockets.outgoing - LEASE_SOCKETS), Client(sockets.commands)
    controller = Controller(
        settings,
        client.request,
        random.Random(),
        worker_request=command_client.request,
        max_concurrent_commands=command_client.max_concurrent,
        lease_request=lease_client.request,
    )
    stale_after_s = MISSED_HEARTBEATS * settings.cluster.workers.report_s + STALE_MARGIN_S
    public = Server(controller.handle, sockets.public, stale_after_s, controller.load_shedder)
    peers = Server(controller.handle_peer, sockets.peers)
    await public.listen(*split_addr(settings.bind))
    await peers.listen(*split_addr(settings.peer_listen))
    log.info(
        "petrelthread %s listens on %s as controller %s",
        __version__,
        settings.bind,
        settings.host_name,
    )
    gc.freeze()
    await asyncio.gather(
        controller.run(), _close_idle_connections(lease_client, client, command_client)
    )


async def _close_idle_connections(*clients: Client) -> None:
    while True:
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        for client in clients:
            client.close_idle()
