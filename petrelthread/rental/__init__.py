"""How many machines, of which kind, and when they go back."""

from petrelthread.rental.cloud import CloudClient, CloudDown, CloudUnsure, NoCapacity
from petrelthread.rental.plan import (
    Demand,
    Offer,
    Options,
    Owned,
    Plan,
    Refusals,
    Rent,
    in_turn,
    plan,
)

__all__ = [
    "CloudClient",
    "CloudDown",
    "CloudUnsure",
    "Demand",
    "NoCapacity",
    "Offer",
    "Options",
    "Owned",
    "Plan",
    "Refusals",
    "Rent",
    "in_turn",
    "plan",
]
