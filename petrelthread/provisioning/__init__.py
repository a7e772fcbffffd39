"""How many machines, of which kind, and when they go back."""

from petrelthread.provisioning.cloud import (
    CloudClient,
    CloudResultUnknownError,
    CloudUnavailableError,
    NoCapacityError,
)
from petrelthread.provisioning.plan import (
    Demand,
    Offer,
    OfferBackoff,
    OwnedMachine,
    Plan,
    ProvisioningOptions,
    ScaleOutRequest,
    interleave,
    make_plan,
)

__all__ = [
    "CloudClient",
    "CloudResultUnknownError",
    "CloudUnavailableError",
    "Demand",
    "NoCapacityError",
    "Offer",
    "OfferBackoff",
    "OwnedMachine",
    "Plan",
    "ProvisioningOptions",
    "ScaleOutRequest",
    "interleave",
    "make_plan",
]
