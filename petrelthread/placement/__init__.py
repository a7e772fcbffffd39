"""Which task goes where: pure functions of what is wanted and what is free."""

from petrelthread.placement.order import Standing, order
from petrelthread.placement.place import Round, Slot, TeamRoom, Want, place
from petrelthread.placement.preempt import Victim, choose_victims

__all__ = [
    "Round",
    "Slot",
    "Standing",
    "TeamRoom",
    "Victim",
    "Want",
    "choose_victims",
    "order",
    "place",
]
