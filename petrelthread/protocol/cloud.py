"""The cloud's API: machine types, scale-out, scale-in and the list of rented machines."""

from __future__ import annotations

from typing import Any

import msgspec

CATALOG_PATH = "/catalog"
MACHINES_PATH = "/hosts"
SCALE_IN_PATH = "/hosts/return"

MAX_MACHINES_PER_SCALE_OUT = 50
MAX_MACHINES_PER_SCALE_IN = 100
MAX_MACHINES_PER_LIST_PAGE = 500
MACHINE_FAILED = "failed"  # status of a listed machine


class MachineType(msgspec.Struct, frozen=True):
    """A machine type of the catalog. Prices are per hour, boot times in seconds."""

    name: str = msgspec.field(name="sku")
    cores: float
    ram_gb: float
    accelerators: float = 0.0
    local_disk_gb: float = msgspec.field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = 1.0
    on_demand_price: float = msgspec.field(name="hourly", default=0.0)
    spot_price: float = msgspec.field(name="low_price", default=0.0)
    boot_s: float = msgspec.field(name="startup_s", default=60.0)
    zones: tuple[str, ...] = msgspec.field(name="roosts", default=())


class Catalog(msgspec.Struct, frozen=True):
    """All machine types that the cloud offers."""

    machine_types: tuple[MachineType, ...] = msgspec.field(name="hulls")


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's list. ``age_s`` counts from the request that rented it."""

    name: str = msgspec.field(name="name_id")
    machine_type: str = msgspec.field(name="hull", default="")
    zone: str = msgspec.field(name="roost", default="")
    spot: bool = msgspec.field(name="driftwood", default=False)
    status: str = ""
    address: str = msgspec.field(name="addr", default="")
    age_s: float = msgspec.field(name="held_s", default=0.0)


class MachineListPage(msgspec.Struct, frozen=True):
    """One page of the list of machines."""

    machines: tuple[ListedMachine, ...] = msgspec.field(name="perches", default=())
    more: bool = False


class ScaleOutResponse(msgspec.Struct, frozen=True):
    """The machines that a scale-out request rented: possibly fewer than it asked for."""

    machine_names: tuple[str, ...] = msgspec.field(name="perches", default=())


def scale_out_request(
    idempotency_key: str, machine_type: str, zone: str, spot: bool, count: int
) -> dict[str, Any]:
    """Build a request to rent machines; a repeat with the same key rents no more machines."""
    return {
        "charter": idempotency_key,
        "hull": machine_type,
        "roost": zone,
        "driftwood": spot,
        "count": count,
    }


def scale_in_request(machine_names: list[str]) -> dict[str, Any]:
    """Build a request to return machines; the cloud ignores names that it does not know."""
    return {"perches": machine_names}
