"""Listens on an address and serves each connection in a task of its own."""

from __future__ import annotations

import asyncio
import logging
import socket

from petrelthread.http.connection_table import ConnectionTable
from petrelthread.http.load_shedder import LoadShedder
from petrelthread.http.server_connection import Handler, ServerConnection

log = logging.getLogger(__name__)

DEFAULT_STALE_AFTER_S = 15.0
LISTEN_BACKLOG = 8192  # connections that may wait to be accepted; the kernel may allow fewer
MAX_ACCEPTS_PER_TURN = 32  # in one turn of the event loop
READ_BUFFER_BYTES = 128 * 1024  # of one connection that may wait to be parsed


class Server:
    """Serves one address with a limited number of connections; see ``ConnectionTable``."""

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        stale_after_s: float = DEFAULT_STALE_AFTER_S,
        load_shedder: LoadShedder | None = None,
    ) -> None:
        """Serve requests with ``handler``.

        Args:
            handler: Awaited with method, target and body of each request. An exception of its own
                is logged and answered with 503.
            max_connections: How many connections may be open at once.
            stale_after_s: How long a connection may be idle before a new one may replace it.
            load_shedder: Admits requests; by default one that no other server shares.
        """
        self._handler = handler
        self._load_shedder = load_shedder or LoadShedder()
        self._table = ConnectionTable(max_connections, stale_after_s)

    @property
    def open_connections(self) -> int:
        """How many connections are open now."""
        return self._table.open_count

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Serve an IPv4 address.

        Raises:
            OSError: The address cannot be bound.
        """
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((host, port))
        except OSError:
            bound.close()
            raise
        return await self.listen_on(bound)

    async def listen_on(self, bound: socket.socket) -> asyncio.Server:
        """Serve a socket that is bound already."""
        # asyncio accepts as many connections in one turn as its backlog is long. A long one would
        # block the event loop after a failover; the kernel's own queue is set apart from it.
        server = await asyncio.start_server(
            self._serve, sock=bound, limit=READ_BUFFER_BYTES, backlog=MAX_ACCEPTS_PER_TURN
        )
        bound.listen(LISTEN_BACKLOG)
        return server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._table.open_count += 1
        try:
            if self._table.is_crowded:
                self._table.close_stale()
            if self._table.exceeds_limit:
                self._load_shedder.record_refused_connection()
            else:
                await self._connection(reader, writer).serve()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass  # the client is gone or unresponsive
        except Exception:
            log.exception("connection handler failed")
        finally:
            self._table.open_count -= 1
            self._table.mark_busy(writer)
            writer.close()

    def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> ServerConnection:
        return ServerConnection(reader, writer, self._handler, self._load_shedder, self._table)
