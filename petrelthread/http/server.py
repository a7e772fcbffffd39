"""Listens on an address and serves each connection in a separate asyncio task."""

from __future__ import annotations

import asyncio
import logging
import socket

from petrelthread.http.connection_table import ConnectionTable
from petrelthread.http.load_shedder import LoadShedder
from petrelthread.http.server_connection import Handler, ServerConnection

log = logging.getLogger(__name__)

DEFAULT_STALE_AFTER_S = 15.0
LISTEN_BACKLOG = 8192  # connections that may wait to be accepted; the kernel may set a lower limit
MAX_ACCEPTS = 32  # connections accepted in one iteration of the event loop
READ_BUFFER_BYTES = 128 * 1024  # received on one connection and not yet parsed


class Server:
    """Serves one address; ``ConnectionTable`` describes its limits on connections."""

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        stale_after_s: float = DEFAULT_STALE_AFTER_S,
        load_shedder: LoadShedder | None = None,
    ) -> None:
        """Serve requests with ``handler``.

        Args:
            handler: Awaited with method, target and body of each request. An exception that it
                raises is logged, and the response has status 503.
            max_connections: How many connections may be open at the same time.
            stale_after_s: How long a connection may be idle before a new one may replace it.
            load_shedder: Admits requests; by default one for this server alone.
        """
        self._handler = handler
        self._load_shedder = load_shedder or LoadShedder()
        self._table = ConnectionTable(max_connections, stale_after_s)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return self._table.open_count

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Listen on an IPv4 address.

        Raises:
            OSError: The address cannot be bound.
        """
        bound_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound_socket.bind((host, port))
        except OSError:
            bound_socket.close()
            raise
        return await self.listen_on(bound_socket)

    async def listen_on(self, bound_socket: socket.socket) -> asyncio.Server:
        """Listen on a socket that is already bound."""
        # In one iteration asyncio accepts up to ``backlog`` connections. A large value would block
        # the event loop after a failover, so the kernel's queue length is set separately below.
        server = await asyncio.start_server(
            self._serve, sock=bound_socket, limit=READ_BUFFER_BYTES, backlog=MAX_ACCEPTS
        )
        bound_socket.listen(LISTEN_BACKLOG)
        return server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._table.open_count += 1
        try:
            if self._table.is_crowded:
                self._table.close_stale()
            if self._table.exceeds_limit:
                self._load_shedder.record_refused_connection()
            else:
                await self._new_connection(reader, writer).serve()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass  # the client disconnected or timed out
        except Exception:
            log.exception("connection handler failed")
        finally:
            self._table.open_count -= 1
            self._table.mark_busy(writer)
            writer.close()

    def _new_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> ServerConnection:
        return ServerConnection(reader, writer, self._handler, self._load_shedder, self._table)
