"""Scale-out calls: recorded, sent within the cloud's rate limit, and confirmed."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter

import msgspec

from petrelthread import protocol
from petrelthread.leadership import ClaimOutcome
from petrelthread.provisioning.cloud import CloudError, CloudUnavailableError, NoCapacityError
from petrelthread.provisioning.context import ProvisioningContext
from petrelthread.provisioning.offer_backoff import OfferBackoff
from petrelthread.provisioning.operations import (
    RETRY_INTERVAL_S,
    OperationRegistry,
    ScaleOutOperation,
)
from petrelthread.provisioning.plan import OfferKey, ScaleOutRequest
from petrelthread.state import OperationState, ScaleOutRecord, transition
from petrelthread.store import KEY_PREFIX

log = logging.getLogger(__name__)


def interleave(requests: list[ScaleOutRequest]) -> list[ScaleOutRequest]:
    """Order requests so that each offer gets its first call before any offer gets its second.

    It is then known early which offers have capacity.
    """
    calls: Counter[OfferKey] = Counter()
    rounds: list[int] = []
    for request in requests:
        rounds.append(calls[request.offer_key])
        calls[request.offer_key] += 1
    order = sorted(range(len(requests)), key=rounds.__getitem__)
    return [requests[position] for position in order]


class ScaleOutExecutor:
    """Records, sends and confirms scale-out requests."""

    def __init__(
        self,
        context: ProvisioningContext,
        operations: OperationRegistry,
        offer_backoff: OfferBackoff,
    ) -> None:
        self._names = context.cluster_state.names
        self._claims = context.claims
        self._cloud = context.cloud
        self._leadership = context.leadership
        self._operations = operations
        self._offer_backoff = offer_backoff

    async def execute_all(self, requests: list[ScaleOutRequest]) -> bool:
        """Make the calls as fast as the rate limit allows. Returns whether all were filled.

        Calls to an offer that has fallen short meanwhile are skipped: they would only be refused,
        and delay the calls to other offers.
        """
        clock = asyncio.get_running_loop().time
        calls: list[asyncio.Task[bool]] = []
        skipped = False
        for request in interleave(requests):
            await self._cloud.acquire_call()
            if not self._offer_backoff.is_available(request.offer_key, clock()):
                self._cloud.refund_call()
                skipped = True
                continue
            calls.append(asyncio.create_task(self.execute(request, clock())))
        return all(await asyncio.gather(*calls)) and not skipped

    async def execute(self, request: ScaleOutRequest, now: float) -> bool:
        """Record and send one request. The caller must have acquired the call.

        Returns False if the cloud gave fewer machines than requested.
        """
        record = ScaleOutRecord(
            self._names.machine_types.name(request.machine_type),
            self._names.zones.name(request.zone),
            request.spot,
            request.machine_count,
            round(time.time(), 1),
        )
        operation = ScaleOutOperation(
            self._operations.next_idempotency_key(), record, OperationState.AUTHORIZED
        )
        put = protocol.PutOperation(KEY_PREFIX + operation.store_key, record)
        outcome, _ = await self._claims.claim([put], operation.store_key)
        if outcome is not ClaimOutcome.COMMITTED:
            return True
        transition(operation, OperationState.DISPATCHING)
        self._operations.add_scale_out(operation)
        await self.send(operation, now, call_acquired=True)
        return self._offer_backoff.is_available(request.offer_key, now)

    async def send(
        self, operation: ScaleOutOperation, now: float, call_acquired: bool = False
    ) -> None:
        """Send a recorded operation, for the first time or again."""
        record = operation.record
        offer = self._offer_key(record)
        operation.in_flight = True
        try:
            machine_names = await self._cloud.scale_out(
                operation.idempotency_key,
                record.machine_type,
                record.zone,
                record.spot,
                record.count,
                call_acquired,
            )
        except CloudError as error:
            self._handle_error(operation, offer, error, now)
            return
        finally:
            operation.in_flight = False
        if len(machine_names) < record.count:
            self._offer_backoff.record_refusal(offer, now)
        else:
            self._offer_backoff.record_grant(offer)
        if self._leadership.is_leader:  # otherwise the next leader repeats the request
            await self._confirm(operation, machine_names)

    def _handle_error(
        self, operation: ScaleOutOperation, offer: OfferKey, error: CloudError, now: float
    ) -> None:
        key = operation.idempotency_key
        if isinstance(error, NoCapacityError):
            log.info("scale-out %s: no capacity: %s", key, _describe(operation.record))
            self._offer_backoff.record_refusal(offer, now)
            self._supersede(operation)
        elif isinstance(error, CloudUnavailableError):
            log.info("scale-out %s not carried out: %s", key, error)
            if operation.state is OperationState.UNKNOWN:
                # An earlier attempt at the same request may have been carried out.
                operation.retry_at = now + RETRY_INTERVAL_S
            else:
                self._supersede(operation)
        else:
            log.info("scale-out %s unknown: %s", key, error)
            if operation.state is OperationState.DISPATCHING:
                transition(operation, OperationState.UNKNOWN)
                operation.unknown_at = now
            operation.retry_at = now + RETRY_INTERVAL_S

    def _supersede(self, operation: ScaleOutOperation) -> None:
        transition(operation, OperationState.SUPERSEDED)
        self._operations.discard(operation)

    async def _confirm(self, operation: ScaleOutOperation, machine_names: tuple[str, ...]) -> None:
        transition(operation, OperationState.CONFIRMED)
        log.info(
            "scale-out %s: %d of %d machines: %s",
            operation.idempotency_key,
            len(machine_names),
            operation.record.count,
            _describe(operation.record),
        )
        record = msgspec.structs.replace(operation.record, machine_names=machine_names)
        self._operations.update_record(operation, record)
        now = asyncio.get_running_loop().time()
        self._operations.register_machines(operation, machine_names, now)
        if machine_names:
            put = protocol.PutOperation(KEY_PREFIX + operation.store_key, record)
            await self._claims.claim([put])
        else:
            self._operations.discard(operation)

    def _offer_key(self, record: ScaleOutRecord) -> OfferKey:
        return OfferKey(
            self._names.machine_types.index(record.machine_type),
            self._names.zones.index(record.zone),
            record.spot,
        )


def _describe(record: ScaleOutRecord) -> str:
    """The offer that a record requests, as text for the log."""
    kind = "spot" if record.spot else "on-demand"
    return f"{kind} {record.machine_type} in {record.zone}"
