"""HTTP/1.1 over asyncio streams, spoken with h11."""

from petrelthread.http.client import Client, NoAnswer, Reply
from petrelthread.http.load_shedder import TurnGate
from petrelthread.http.server import Response, Server, answer
from petrelthread.http.sockets import Sockets, share_out

__all__ = [
    "Client",
    "NoAnswer",
    "Reply",
    "Response",
    "Server",
    "Sockets",
    "TurnGate",
    "answer",
    "share_out",
]
