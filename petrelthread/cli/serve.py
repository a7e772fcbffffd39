"""The daemon: sockets on one side, a Controller on the other."""

from __future__ import annotations

import asyncio
import gc
import logging
import random

from petrelthread import __version__
from petrelthread.controller import Controller
from petrelthread.http import Client, Server
from petrelthread.settings import Settings, split_addr

log = logging.getLogger(__name__)


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
    client = Client()
    controller = Controller(settings, client.request, random.Random())
    room = max(50, settings.cluster.machine_limits.max_connections)
    public = Server(controller.handle, int(room * 0.6))
    peers = Server(controller.handle_peer, max(20, int(room * 0.05)))
    await public.listen(*split_addr(settings.bind))
    await peers.listen(*split_addr(settings.peer_listen))
    log.info("petrelthread %s on %s, node %s", __version__, settings.bind, settings.host_name)
    gc.freeze()
    await asyncio.gather(controller.run(), _sweep(client))


async def _sweep(client: Client) -> None:
    while True:
        await asyncio.sleep(5.0)
        client.sweep()
