"""Which task goes where: pure functions of what is wanted and what is free."""

from petrelthread.placement.order import Standing, order
from petrelthread.placement.place import PlacementRequest, QuotaHeadroom, Round, Slot, place
from petrelthread.placement.preempt import Victim, choose_victims

__all__ = [
    "PlacementRequest",
    "QuotaHeadroom",
    "Round",
    "Slot",
    "Standing",
    "Victim",
    "choose_victims",
    "order",
    "place",
]
