"""The state service: a consistent key-value store with transactions, leases and watches."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec


class KeyValue(msgspec.Struct, frozen=True):
    """A key, its value, and the revision of its last change."""

    key: str = msgspec.field(name="path")
    value: Any = msgspec.field(name="v")
    revision: int = msgspec.field(name="stamp")


class KeyPage(msgspec.Struct, frozen=True):
    """One page of keys in key order, read at ``revision``."""

    revision: int = msgspec.field(name="epoch")
    items: tuple[KeyValue, ...] = msgspec.field(name="pairs", default=())
    more: bool = False


class KeyChange(msgspec.Struct, frozen=True):
    """One change in a watch response: either ``put_key`` or ``deleted_key`` is set."""

    revision: int = msgspec.field(name="stamp")
    put_key: str | None = msgspec.field(name="put", default=None)
    deleted_key: str | None = msgspec.field(name="drop", default=None)
    value: Any = msgspec.field(name="v", default=None)


class WatchResponse(msgspec.Struct, frozen=True):
    """All changes after the revision at which the watch began, up to ``revision``."""

    revision: int = msgspec.field(name="epoch")
    changes: tuple[KeyChange, ...] = msgspec.field(name="log", default=())


class TransactionCommitted(msgspec.Struct, frozen=True):
    """All operations were applied, at one revision."""

    revision: int = msgspec.field(name="epoch")


class TransactionFailed(msgspec.Struct, frozen=True):
    """No operation was applied: the conditions on these keys were not met."""

    failed_keys: tuple[str, ...] = msgspec.field(name="failed", default=())


class LeaseGranted(msgspec.Struct, frozen=True):
    """A new lease."""

    lease_id: int = msgspec.field(name="tether")


class Condition(msgspec.Struct, frozen=True):
    """Requires that the key's last change has this revision, or with 0 that it does not exist."""

    key: str = msgspec.field(name="path")
    revision: int = msgspec.field(name="stamp")


class PutOperation(msgspec.Struct, frozen=True, omit_defaults=True):
    """Store a value. With a lease, the key is deleted when the lease expires or is revoked."""

    key: str = msgspec.field(name="put")
    value: Any = msgspec.field(name="v")
    lease_id: int | None = msgspec.field(name="tether", default=None)


class DeleteOperation(msgspec.Struct, frozen=True):
    """Delete a key."""

    key: str = msgspec.field(name="drop")


Operation = PutOperation | DeleteOperation


def transaction_request(
    conditions: Sequence[Condition], operations: Sequence[Operation]
) -> dict[str, Any]:
    """Build a compare-and-swap: the operations are applied only if all conditions are met."""
    return {
        "when": msgspec.to_builtins(conditions),
        "apply": msgspec.to_builtins(operations),
    }
