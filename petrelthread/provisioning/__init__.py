"""How many machines, of which kind, and when they go back."""

from petrelthread.provisioning.cloud import CloudClient, CloudDown, CloudUnsure, NoCapacity
from petrelthread.provisioning.plan import (
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
