"""Recorded scale-out and scale-in operations, whose outcome may be unknown."""

from __future__ import annotations

import time
from collections.abc import Collection
from typing import ClassVar

from petrelthread.fleet import Fleet, Health
from petrelthread.provisioning.context import RecordCleanup
from petrelthread.state import ClusterState, KeyKind, OperationState, ScaleOutRecord, transition

RETRY_INTERVAL_S = 1.5  # time before an operation with unknown outcome is sent again


class CloudOperation:
    """One call to the cloud that is recorded in the state service before it is sent.

    Times are event loop times.
    """

    __slots__ = ("idempotency_key", "in_flight", "retry_at", "state", "unknown_at")

    KEY_KIND: ClassVar[KeyKind]

    def __init__(self, idempotency_key: str, state: OperationState) -> None:
        self.idempotency_key = idempotency_key
        self.state = state
        self.unknown_at = 0.0  # when the outcome became unknown
        self.retry_at = 0.0
        self.in_flight = False

    @property
    def store_key(self) -> str:
        """Key of the operation's record in the state service, without the common prefix."""
        return self.KEY_KIND.key(self.idempotency_key)


class ScaleOutOperation(CloudOperation):
    """A request for new machines. A confirmed one is kept until its machines are scaled in."""

    __slots__ = ("record",)

    KEY_KIND = KeyKind.SCALE_OUT

    def __init__(self, idempotency_key: str, record: ScaleOutRecord, state: OperationState) -> None:
        super().__init__(idempotency_key, state)
        self.record = record


class ScaleInOperation(CloudOperation):
    """A request to scale in machines."""

    __slots__ = ("machine_names",)

    KEY_KIND = KeyKind.SCALE_IN

    def __init__(
        self, idempotency_key: str, machine_names: list[str], state: OperationState
    ) -> None:
        super().__init__(idempotency_key, state)
        self.machine_names = machine_names


class OperationRegistry:
    """Operations of this leader and earlier ones, kept consistent with their records."""

    def __init__(self, cluster_state: ClusterState, fleet: Fleet, cleanup: RecordCleanup) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._cleanup = cleanup
        self._serial = 0
        self.by_store_key: dict[str, ScaleOutOperation | ScaleInOperation] = {}

    def next_idempotency_key(self) -> str:
        """A new unique key: the leader's epoch and a serial number."""
        self._serial += 1
        return f"{self._fleet.epoch}-{self._serial}"

    def begin_epoch(self, now: float) -> None:
        """Load the recorded operations of earlier leaders."""
        self.by_store_key.clear()
        self._serial = 0
        for idempotency_key, record in self._cluster_state.scale_out_records.items():
            scale_out = ScaleOutOperation(idempotency_key, record, OperationState.UNKNOWN)
            scale_out.unknown_at = now
            self.by_store_key[scale_out.store_key] = scale_out
            if record.machine_names is not None:
                transition(scale_out, OperationState.CONFIRMED)
                self.register_machines(scale_out, record.machine_names, now)
        for idempotency_key, names in self._cluster_state.scale_in_records.items():
            scale_in = ScaleInOperation(idempotency_key, names, OperationState.UNKNOWN)
            scale_in.unknown_at = now
            self.by_store_key[scale_in.store_key] = scale_in
            for name in names:
                machine = self._fleet.get_or_add(name, now)
                if machine.health is not Health.TERMINATED:
                    machine.transition(Health.TERMINATING)

    def add_scale_out(self, operation: ScaleOutOperation) -> None:
        """Register an operation whose record has been written."""
        self.by_store_key[operation.store_key] = operation
        self._cluster_state.scale_out_records[operation.idempotency_key] = operation.record

    def add_scale_in(self, operation: ScaleInOperation) -> None:
        """Register an operation whose record has been written."""
        self.by_store_key[operation.store_key] = operation
        names = operation.machine_names
        self._cluster_state.scale_in_records[operation.idempotency_key] = names

    def update_record(self, operation: ScaleOutOperation, record: ScaleOutRecord) -> None:
        """Replace an operation's record in memory; the caller writes it to the state service."""
        operation.record = record
        self._cluster_state.scale_out_records[operation.idempotency_key] = record

    def remove(self, operation: ScaleOutOperation | ScaleInOperation) -> None:
        """Remove an operation from memory; the caller deletes its record from the state service."""
        self.by_store_key.pop(operation.store_key, None)
        if isinstance(operation, ScaleOutOperation):
            self._cluster_state.scale_out_records.pop(operation.idempotency_key, None)
        else:
            self._cluster_state.scale_in_records.pop(operation.idempotency_key, None)

    def discard(self, operation: ScaleOutOperation) -> None:
        """Remove a scale-out without machines, and have the next clean-up delete its record."""
        self.remove(operation)
        self._cleanup.obsolete_keys.append(operation.store_key)

    def confirmed_scale_outs(self) -> list[ScaleOutOperation]:
        """Scale-outs whose granted machines are known."""
        return [
            operation
            for operation in self.by_store_key.values()
            if isinstance(operation, ScaleOutOperation)
            and operation.state is OperationState.CONFIRMED
        ]

    def register_machines(
        self, operation: ScaleOutOperation, names: Collection[str], now: float
    ) -> None:
        """Add the machines granted to a scale-out to the fleet."""
        record = operation.record
        interned_names = self._cluster_state.names
        for name in names:
            machine = self._fleet.get_or_add(name, now)
            if not machine.scale_out_key:
                machine.scale_out_key = operation.store_key
                machine.machine_type = interned_names.machine_types.index(record.machine_type)
                machine.zone = interned_names.zones.index(record.zone)
                machine.spot = record.spot
                machine.rented_at = now - max(0.0, time.time() - record.requested_at)
