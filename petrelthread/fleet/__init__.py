"""Machines and the attempts on them: heartbeats, leases, commands, and failure detection.

Where the decisions are made:

- whether a heartbeat is answered: ``HeartbeatHandler._refusal``;
- whether a recorded start may be sent: ``CommandDispatcher._starts_that_may_be_sent`` for direct
  commands, ``CommandPlanner.for_heartbeat`` for heartbeat responses;
- when a machine is unresponsive, and when its tasks are lost: ``FailureDetector``;
- when the lease of a worker has certainly expired: ``WorkerLeases.expires_at``;
- how the tasks of a cancelled job are stopped: ``CommandPlanner`` for listed tasks,
  ``UnacknowledgedStarts`` for starts that may still arrive. The module ``unacknowledged_starts``
  documents the life cycle of a start;
- when an exited attempt may be forgotten: ``CommandPlanner._may_forget``, by ``ExecutedStarts``;
- when the fencing token is raised: ``TokenRaisePolicy``.
"""

from petrelthread.fleet.callbacks import FleetCallbacks
from petrelthread.fleet.command_dispatcher import CommandDispatcher
from petrelthread.fleet.command_planner import CommandPlanner
from petrelthread.fleet.failure_detector import FailureDetector
from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.heartbeat_handler import HeartbeatHandler
from petrelthread.fleet.machine import Health, Machine
from petrelthread.fleet.token_raise_policy import ROUTINE_REASONS
from petrelthread.fleet.worker_status_reader import WorkerStatusReader
from petrelthread.fleet.zone_monitor import ZoneMonitor

__all__ = [
    "ROUTINE_REASONS",
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
