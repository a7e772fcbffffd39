"""What controllers tell one another: hints only. Nothing here is ever needed for safety."""

from petrelthread.peers.peer_monitor import PeerHeartbeat, PeerMonitor

__all__ = ["PeerHeartbeat", "PeerMonitor"]
