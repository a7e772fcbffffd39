"""Machines and their workers: what each one last said, and what it must be told."""

from petrelthread.fleet.dispatch import Dispatch
from petrelthread.fleet.machine import Health, Machine
from petrelthread.fleet.table import Fleet
from petrelthread.fleet.zones import ZoneWatch

__all__ = ["Dispatch", "Fleet", "Health", "Machine", "ZoneWatch"]
