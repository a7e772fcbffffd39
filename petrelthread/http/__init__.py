"""HTTP/1.1 over asyncio streams, spoken with h11."""

from petrelthread.http.client import Client, ClientResponse, NoResponseError
from petrelthread.http.load_shedder import LoadShedder
from petrelthread.http.server import Response, Server, json_response
from petrelthread.http.sockets import SocketBudget, divide_sockets

__all__ = [
    "Client",
    "ClientResponse",
    "LoadShedder",
    "NoResponseError",
    "Response",
    "Server",
    "SocketBudget",
    "divide_sockets",
    "json_response",
]
