"""Scheduling of pending tasks onto machines: job order, bin packing, preemption and claims."""

from petrelthread.scheduling.bin_packing import JobPlacement, PlacementResult, place_requests
from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.cluster_view import ClusterView
from petrelthread.scheduling.guarantees import Guarantee
from petrelthread.scheduling.job_order import order_jobs
from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.queue_entry import QueuedJob, QueueEntry
from petrelthread.scheduling.quota import QuotaHeadroom, TeamUsage
from petrelthread.scheduling.run_time_estimates import RunTimeEstimates
from petrelthread.scheduling.scheduler import MIN_RECORD_NUMBERS_LEFT, Scheduler
from petrelthread.scheduling.tolerance import CAPACITY_TOLERANCE, REQUEST_TOLERANCE
from petrelthread.scheduling.zone_rules import zone_headroom

__all__ = [
    "CAPACITY_TOLERANCE",
    "MIN_RECORD_NUMBERS_LEFT",
    "REQUEST_TOLERANCE",
    "CapacityIndex",
    "ClusterView",
    "Guarantee",
    "JobPlacement",
    "MachineCapacity",
    "PlacementRequest",
    "PlacementResult",
    "QueueEntry",
    "QueuedJob",
    "QuotaHeadroom",
    "RunTimeEstimates",
    "Scheduler",
    "TeamUsage",
    "order_jobs",
    "place_requests",
    "zone_headroom",
]
