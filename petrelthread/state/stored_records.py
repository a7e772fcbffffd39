"""Values of the keys in the state service, as typed records.

The field names that are stored are given once each, here; older and newer versions of the service
read the same form.
"""

from __future__ import annotations

import msgspec


class ScaleOutRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """``c/KEY``: one scale-out request, written before it is sent and once more when
    it has succeeded."""

    machine_type: str = msgspec.field(name="t")
    zone: str = msgspec.field(name="z")
    spot: bool = msgspec.field(name="s")
    count: int = msgspec.field(name="n")
    requested_at: float = msgspec.field(name="at")  # seconds since the epoch of the wall clock
    machine_names: tuple[str, ...] | None = msgspec.field(name="m", default=None)  # once known


class LeaderRecord(msgspec.Struct, frozen=True):
    """``lead``: who leads, tied to the leader's lease."""

    node: str
    nonce: str  # of one candidacy
    epoch: int  # or the fencing token, once it has been raised
    lease: int
