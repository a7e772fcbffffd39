"""One controller: the composition root, the routes of requests, and the periodic work."""

from petrelthread.controller.controller import Controller

__all__ = ["Controller"]
