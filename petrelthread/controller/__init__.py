"""A controller: the composition root, the request routes, and the periodic loops."""

from petrelthread.controller.controller import Controller

__all__ = ["Controller"]
