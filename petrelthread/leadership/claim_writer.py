"""Claims: transactions that the state service applies only while this controller leads."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from petrelthread import protocol
from petrelthread.leadership.fence import Fence
from petrelthread.leadership.leader_keys import EPOCH_KEY, LEADER_KEY
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    StateClient,
    StateRejectedError,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
)

log = logging.getLogger(__name__)

CLAIM_RETRY_INTERVAL_S = 0.15


class ClaimOutcome(Enum):
    """How a claim ended."""

    COMMITTED = "won"
    FENCED = "fenced"  # this controller no longer leads, or leads in another epoch
    CONFLICT = "clashed"  # another condition failed, or the claim was rejected


class ClaimResult(NamedTuple):
    """The outcome of a claim, and the keys (without prefix) whose conditions failed."""

    outcome: ClaimOutcome
    failed_keys: tuple[str, ...] = ()


@dataclass(slots=True)
class _Claim:
    """A claim in flight."""

    operations: Sequence[protocol.Operation]
    conditions: list[protocol.Condition]
    marker: str | None  # see ``ClaimWriter``
    may_be_applied: bool = False  # the result of an earlier attempt is unknown

    def result_of(self, conflict: TransactionConflictError) -> ClaimResult:
        """Return the result of an attempt whose conditions failed.

        A failed marker after an attempt with an unknown result shows that the claim was applied.
        """
        failed = tuple(key.removeprefix(KEY_PREFIX) for key in conflict.failed_keys)
        if self.may_be_applied and self.marker is not None and self.marker in failed:
            return ClaimResult(ClaimOutcome.COMMITTED)
        if LEADER_KEY in failed or EPOCH_KEY in failed:
            return ClaimResult(ClaimOutcome.FENCED, failed)
        return ClaimResult(ClaimOutcome.CONFLICT, failed)


class ClaimWriter:
    """Writes claims one at a time and retries each until its result is known.

    A claim may name a marker: a key that must be absent and that the claim creates. The marker is
    an idempotency key: a retry that fails on it proves that an earlier attempt was applied.

    A claim is only valid in the epoch in which it was requested, because it is based on the state
    known in that epoch. If this controller loses the leadership and is elected again while the
    claim is queued or in flight, another leader may have acted in between. The claim must not be
    applied under the newer fence and ends as ``FENCED``. A fencing token that is raised meanwhile
    does not end the claim, because no other controller leads within an epoch.
    """

    def __init__(self, client: StateClient, fence: Callable[[], Fence | None]) -> None:
        """``fence`` returns the current fence, or None if this controller may not write."""
        self._client = client
        self._fence = fence
        self._lock = asyncio.Lock()

    async def run_exclusive(self, work: Callable[[], Awaitable[bool]]) -> bool:
        """Await ``work``, which may change the fence, while no claim is in flight."""
        async with self._lock:
            return await work()

    async def claim(
        self,
        operations: Sequence[protocol.Operation],
        marker: str | None = None,
        absent_keys: tuple[str, ...] = (),
    ) -> ClaimResult:
        """Write a claim and return its result; never raises an error of the state service.

        Args:
            operations: The writes, with keys that include the prefix.
            marker: A key (without prefix) that must be absent and that the operations create.
            absent_keys: Further keys (without prefix) that must be absent.
        """
        absent = absent_keys if marker is None else (*absent_keys, marker)
        conditions = [protocol.Condition(KEY_PREFIX + key, 0) for key in absent]
        claim = _Claim(operations, conditions, marker)
        initial_fence = self._fence()
        async with self._lock:
            return await self._write_until_known(claim, initial_fence)

    async def _write_until_known(self, claim: _Claim, initial_fence: Fence | None) -> ClaimResult:
        """Retry a claim until its result is known or the epoch in which it was requested ends."""
        while True:
            fence = self._fence()
            if initial_fence is None or fence is None or fence.epoch != initial_fence.epoch:
                return ClaimResult(ClaimOutcome.FENCED)
            result = await self._try_once(claim, fence)
            if result is not None:
                return result
            await asyncio.sleep(CLAIM_RETRY_INTERVAL_S)

    async def _try_once(self, claim: _Claim, fence: Fence) -> ClaimResult | None:
        """Attempt a claim once; return None if it has to be retried."""
        try:
            await self._client.transact(fence.conditions + claim.conditions, claim.operations)
        except TransactionConflictError as conflict:
            return claim.result_of(conflict)
        except StateRejectedError as error:
            return self._on_rejected(claim, error)
        except StateResultUnknownError as error:
            log.info("claim %s: result unknown: %s", claim.marker, error)
            claim.may_be_applied = True
            return None
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.debug("claim %s not applied: %s", claim.marker, error)
            return None
        return ClaimResult(ClaimOutcome.COMMITTED)

    @staticmethod
    def _on_rejected(claim: _Claim, error: StateRejectedError) -> ClaimResult:
        """End a rejected claim: a retry would be rejected again and block all later claims.

        If an earlier attempt was applied, the watch shows its records; no command was sent
        for it.
        """
        log.error("claim %s rejected: %s", claim.marker, error)
        return ClaimResult(ClaimOutcome.CONFLICT)
