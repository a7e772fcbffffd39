"""HTTP/1.1 client and server with load limits, built on asyncio streams and h11."""

from petrelthread.http.client import Client, NoResponseError
from petrelthread.http.client_connection import ClientResponse
from petrelthread.http.load_shedder import LoadShedder
from petrelthread.http.responses import Response, error_response, json_response
from petrelthread.http.server import Server
from petrelthread.http.socket_budget import SocketBudget, divide_sockets

__all__ = [
    "Client",
    "ClientResponse",
    "LoadShedder",
    "NoResponseError",
    "Response",
    "Server",
    "SocketBudget",
    "divide_sockets",
    "error_response",
    "json_response",
]
