"""Provisioning: plans how many machines of which type are needed, and calls the cloud."""

from petrelthread.provisioning.cloud import (
    CloudClient,
    CloudError,
    CloudResultUnknownError,
    CloudUnavailableError,
    NoCapacityError,
)
from petrelthread.provisioning.context import ProvisioningContext
from petrelthread.provisioning.offer_backoff import OfferBackoff
from petrelthread.provisioning.operations import ScaleInOperation, ScaleOutOperation
from petrelthread.provisioning.plan import (
    Demand,
    Offer,
    OfferKey,
    OwnedMachine,
    Plan,
    ProvisioningOptions,
    ScaleOutRequest,
)
from petrelthread.provisioning.planner import make_plan
from petrelthread.provisioning.provisioner import Provisioner
from petrelthread.provisioning.scale_out import interleave

__all__ = [
    "CloudClient",
    "CloudError",
    "CloudResultUnknownError",
    "CloudUnavailableError",
    "Demand",
    "NoCapacityError",
    "Offer",
    "OfferBackoff",
    "OfferKey",
    "OwnedMachine",
    "Plan",
    "Provisioner",
    "ProvisioningContext",
    "ProvisioningOptions",
    "ScaleInOperation",
    "ScaleOutOperation",
    "ScaleOutRequest",
    "interleave",
    "make_plan",
]
