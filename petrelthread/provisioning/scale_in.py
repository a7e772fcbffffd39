"""Scale-in calls: recorded, sent and confirmed, with the clean-up of the scale-out records."""

from __future__ import annotations

import logging

import msgspec

from petrelthread import protocol
from petrelthread.fleet import Health, Machine
from petrelthread.leadership import ClaimOutcome
from petrelthread.provisioning.cloud import CloudError
from petrelthread.provisioning.context import ProvisioningContext
from petrelthread.provisioning.offer_backoff import OfferBackoff
from petrelthread.provisioning.operations import (
    RETRY_INTERVAL_S,
    OperationRegistry,
    ScaleInOperation,
    ScaleOutOperation,
)
from petrelthread.provisioning.plan import OfferKey
from petrelthread.state import OperationState, transition
from petrelthread.store import KEY_PREFIX

log = logging.getLogger(__name__)

RECORD_SIZE_SHARE = 0.8  # maximum record size, as a share of the state service's value limit
NAME_OVERHEAD_BYTES = 3  # quotes and comma around a name in a JSON list


class ScaleInExecutor:
    """Records, sends and confirms scale-ins."""

    def __init__(
        self,
        context: ProvisioningContext,
        operations: OperationRegistry,
        offer_backoff: OfferBackoff,
    ) -> None:
        self._fleet = context.fleet
        self._claims = context.claims
        self._cloud = context.cloud
        self._leadership = context.leadership
        self._operations = operations
        self._offer_backoff = offer_backoff
        state_limits = context.settings.cluster.state
        self._max_record_bytes = int(state_limits.value_kb * 1024 * RECORD_SIZE_SHARE)
        self._max_transaction_operations = state_limits.txn_ops

    async def execute_all(self, machines: list[Machine], now: float) -> None:
        """Scale in machines, in as many calls as needed, while this controller leads."""
        while machines and self._leadership.is_leader:
            await self._execute(machines, now)
            remaining = [
                m for m in machines if m.health not in (Health.TERMINATED, Health.TERMINATING)
            ]
            if len(remaining) == len(machines):
                return  # the claim failed: the next step decides again
            machines = remaining

    async def _execute(self, machines: list[Machine], now: float) -> None:
        """Record and send one call for as many of the machines as it may contain."""
        names = self._names_for_one_call(machines)
        operation = ScaleInOperation(
            self._operations.next_idempotency_key(), names, OperationState.AUTHORIZED
        )
        put = protocol.PutOperation(KEY_PREFIX + operation.store_key, names)
        outcome, _ = await self._claims.claim([put], operation.store_key)
        if outcome is not ClaimOutcome.COMMITTED:
            return
        transition(operation, OperationState.DISPATCHING)
        self._operations.add_scale_in(operation)
        for machine in machines[: len(names)]:
            if machine.health is not Health.TERMINATED:
                machine.transition(Health.TERMINATING)
        await self.send(operation, now)

    def _names_for_one_call(self, machines: list[Machine]) -> list[str]:
        """The first machines' names, as many as one call and its record may contain."""
        names: list[str] = []
        size = 0
        for machine in machines[: protocol.MAX_MACHINES_PER_SCALE_IN]:
            size += len(machine.name) + NAME_OVERHEAD_BYTES
            if size > self._max_record_bytes:
                break
            names.append(machine.name)
        return names

    async def send(self, operation: ScaleInOperation, now: float) -> None:
        """Send a recorded operation, for the first time or again."""
        names = operation.machine_names
        operation.in_flight = True
        try:
            await self._cloud.scale_in(names)
        except CloudError as error:
            log.info("scale-in %s not confirmed: %s", operation.idempotency_key, error)
            transition(operation, OperationState.UNKNOWN)
            operation.retry_at = now + RETRY_INTERVAL_S
            return
        finally:
            operation.in_flight = False
        if not self._leadership.is_leader:
            return  # the next leader repeats the call and gets the same confirmation
        transition(operation, OperationState.CONFIRMED)
        log.info("scaled in %d machines: %s", len(names), " ".join(names))
        for name in names:
            self._mark_terminated(name, now)
        await self._delete_records(operation)

    def _mark_terminated(self, name: str, now: float) -> None:
        machine = self._fleet.get_or_add(name, now)
        self._fleet.mark_lost(machine, f"{name} was scaled in")
        if machine.health is Health.TERMINATED:
            return
        if machine.health is not Health.TERMINATING:
            machine.transition(Health.TERMINATING)
        machine.transition(Health.TERMINATED)
        machine.terminated_at = now
        self._offer_backoff.reset(OfferKey(machine.machine_type, machine.zone, machine.spot))

    async def _delete_records(self, operation: ScaleInOperation) -> None:
        """Remove the machines from their scale-outs' records, and delete the operation's record.

        A new leader would count machines that are left in a record as booting capacity. The
        operation's own record is deleted last: until then, a new leader repeats the scale-in.
        """
        changes: list[protocol.Operation] = []
        terminated = set(operation.machine_names)
        for scale_out in self._operations.confirmed_scale_outs():
            change = self._remove_machines(scale_out, terminated)
            if change is not None:
                changes.append(change)
        self._operations.remove(operation)
        changes.append(protocol.DeleteOperation(KEY_PREFIX + operation.store_key))
        limit = self._max_transaction_operations
        for start in range(0, len(changes), limit):
            await self._claims.claim(changes[start : start + limit])

    def _remove_machines(
        self, scale_out: ScaleOutOperation, terminated: set[str]
    ) -> protocol.Operation | None:
        """Remove machines from a scale-out. Returns the change of its record, or None."""
        names = scale_out.record.machine_names or ()
        remaining = tuple(name for name in names if name not in terminated)
        if len(remaining) == len(names):
            return None
        key = KEY_PREFIX + scale_out.store_key
        if not remaining:
            self._operations.remove(scale_out)
            return protocol.DeleteOperation(key)
        record = msgspec.structs.replace(scale_out.record, machine_names=remaining)
        self._operations.update_record(scale_out, record)
        return protocol.PutOperation(key, record)
