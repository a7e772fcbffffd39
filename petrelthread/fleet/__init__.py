"""Machines and the attempts on them: heartbeats, leases, commands, and detection of failures.

Where the decisions are made:

- whether a worker is answered: ``HeartbeatHandler._refusal``;
- whether a start on record may be sent: ``CommandDispatcher._starts_that_may_be_sent`` for direct
  commands, ``CommandPlanner.for_heartbeat`` for answers to heartbeats;
- when a machine is unresponsive, and when it is lost: ``FailureDetector``; when the lease of its
  worker has certainly expired: ``WorkerLeases.expires_at``;
- what ends the tasks of a cancelled job: ``CommandPlanner``; and ``UnacknowledgedStarts`` for
  starts that may still arrive, where the life of a start is documented.
"""

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
