"""The machines: what is known of them, what they are told, and when they count as lost."""

from petrelthread.fleet.check_ins import CheckIns
from petrelthread.fleet.commands import Commands
from petrelthread.fleet.dispatch import Dispatch
from petrelthread.fleet.machine import Health, Machine
from petrelthread.fleet.silence import SilenceWatch
from petrelthread.fleet.table import Fleet
from petrelthread.fleet.zones import ZoneWatch

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
