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
    """One change that a watch shows: either ``put_key`` or ``deleted_key`` is given."""

    revision: int = msgspec.field(name="stamp")
    put_key: str | None = msgspec.field(name="put", default=None)
    deleted_key: str | None = msgspec.field(name="drop", default=None)
    value: Any = msgspec.field(name="v", default=None)


class WatchResponse(msgspec.Struct, frozen=True):
    """All changes up to ``revision`` since the one that the watch began at."""

    revision: int = msgspec.field(name="epoch")
    changes: tuple[KeyChange, ...] = msgspec.field(name="log", default=())


class TransactionCommitted(msgspec.Struct, frozen=True):
    """All operations were applied, with one revision."""

    revision: int = msgspec.field(name="epoch")


class TransactionFailed(msgspec.Struct, frozen=True):
    """Nothing was applied: the conditions on these keys did not hold."""

    failed_keys: tuple[str, ...] = msgspec.field(name="failed", default=())


class LeaseGranted(msgspec.Struct, frozen=True):
    """A new lease."""

    lease_id: int = msgspec.field(name="tether")


class Condition(msgspec.Struct, frozen=True):
    """The key's last change has this revision; 0: the key does not exist."""

    key: str = msgspec.field(name="path")
    revision: int = msgspec.field(name="stamp")


class PutOperation(msgspec.Struct, frozen=True, omit_defaults=True):
    """Store a value; with a lease, the key is deleted when the lease ends."""

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
    """A compare-and-swap: the operations are applied if all conditions hold."""
    return {
        "when": msgspec.to_builtins(conditions),
        "apply": msgspec.to_builtins(operations),
    }
