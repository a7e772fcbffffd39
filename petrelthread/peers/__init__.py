"""What controllers tell one another: hints only. Nothing here is ever needed for safety."""

from petrelthread.peers.gossip import Gossip, Hello

__all__ = ["Gossip", "Hello"]
