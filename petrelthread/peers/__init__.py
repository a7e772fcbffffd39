"""Heartbeats between controllers. They carry hints only: no safety property depends on them."""

from petrelthread.peers.peer_heartbeat import PEER_HEARTBEAT_PATH, PeerHeartbeat
from petrelthread.peers.peer_monitor import PeerMonitor

__all__ = ["PEER_HEARTBEAT_PATH", "PeerHeartbeat", "PeerMonitor"]
