"""The machines: what is known of them, what they are told, and when they count as lost."""

from petrelthread.fleet.callbacks import FleetCallbacks
from petrelthread.fleet.command_dispatcher import CommandDispatcher
from petrelthread.fleet.command_planner import CommandPlanner
from petrelthread.fleet.failure_detector import FailureDetector
from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.heartbeat_handler import HeartbeatHandler
from petrelthread.fleet.machine import Health, Machine
from petrelthread.fleet.worker_status_reader import WorkerStatusReader
from petrelthread.fleet.zone_monitor import ZoneMonitor

__all__ = [
    "CommandDispatcher",
    "CommandPlanner",
    "FailureDetector",
    "Fleet",
    "FleetCallbacks",
    "Health",
    "HeartbeatHandler",
    "Machine",
    "WorkerStatusReader",
    "ZoneMonitor",
]
