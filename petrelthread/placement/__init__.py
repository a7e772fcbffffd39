"""Which task goes where: pure functions of what is wanted and what is free."""

from petrelthread.placement.order import Standing, order
from petrelthread.placement.place import Round, place
from petrelthread.placement.preempt import Victim, choose_victims
from petrelthread.placement.room_index import RoomIndex
from petrelthread.placement.slot import PlacementRequest, QuotaHeadroom, Slot

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
