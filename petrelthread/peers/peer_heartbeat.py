"""The heartbeat message that sibling controllers exchange."""

from __future__ import annotations

import msgspec

PEER_HEARTBEAT_PATH = "/peer/v1/hello"


class PeerHeartbeat(msgspec.Struct):
    """State of the sending controller; body of both request and response.

    Rates are in writes to the state service per second.
    """

    node: str  # host name of the sender
    epoch: int = 0  # highest epoch or fencing token that the sender knows
    is_leader: bool = msgspec.field(name="leading", default=False)
    state_service_ok: bool = msgspec.field(name="state_ok", default=False)
    worker_heartbeats: int = msgspec.field(name="workers", default=0)  # received recently
    zone: str = ""
    requested_write_rate: float = msgspec.field(name="asks", default=0.0)  # to borrow; in requests
    lent_write_rate: float = msgspec.field(name="lends", default=0.0)  # in responses
