"""Which task goes where: pure functions of what is wanted and what is free."""

from petrelthread.scheduling.bin_packing import PlacementResult, place_requests
from petrelthread.scheduling.capacity_index import RoomIndex
from petrelthread.scheduling.job_order import QueueEntry, order_jobs
from petrelthread.scheduling.preemption_rules import Victim, choose_victims
from petrelthread.scheduling.slot import PlacementRequest, QuotaHeadroom, Slot

__all__ = [
    "PlacementRequest",
    "PlacementResult",
    "QueueEntry",
    "QuotaHeadroom",
    "RoomIndex",
    "Slot",
    "Victim",
    "choose_victims",
    "order_jobs",
    "place_requests",
]
