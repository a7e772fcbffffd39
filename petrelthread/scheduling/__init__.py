"""Which task goes where: pure functions of what is wanted and what is free."""

from petrelthread.scheduling.bin_packing import Round, place
from petrelthread.scheduling.capacity_index import RoomIndex
from petrelthread.scheduling.job_order import Standing, order
from petrelthread.scheduling.preemption_rules import Victim, choose_victims
from petrelthread.scheduling.slot import PlacementRequest, QuotaHeadroom, Slot

__all__ = [
    "PlacementRequest",
    "QuotaHeadroom",
    "RoomIndex",
    "Round",
    "Slot",
    "Standing",
    "Victim",
    "choose_victims",
    "order",
    "place",
]
