"""The machines: what is known of them, what they are told, and when they count as lost."""

from petrelthread.fleet.command_dispatcher import Dispatch
from petrelthread.fleet.command_planner import Commands
from petrelthread.fleet.failure_detector import SilenceWatch
from petrelthread.fleet.heartbeat_handler import CheckIns
from petrelthread.fleet.machine import Health, Machine
from petrelthread.fleet.registry import Fleet
from petrelthread.fleet.zone_monitor import ZoneWatch

__all__ = [
    "CheckIns",
    "Commands",
    "Dispatch",
    "Fleet",
    "Health",
    "Machine",
    "SilenceWatch",
    "ZoneWatch",
]
