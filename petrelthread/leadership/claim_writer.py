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
    FENCED = "fenced"  # this controller does not lead any more, or not with the same epoch
    CONFLICT = "clashed"  # another condition of the claim failed, or it was rejected


class ClaimResult(NamedTuple):
    """The outcome of a claim, and the keys (without prefix) whose conditions failed."""

    outcome: ClaimOutcome
    failed_keys: tuple[str, ...] = ()


@dataclass(slots=True)
class _Claim:
    """A claim in flight."""

    operations: Sequence[protocol.Operation]
    conditions: list[protocol.Condition]
    marker: str | None
    may_be_applied: bool = False  # an attempt had no answer

    def result_of(self, conflict: TransactionConflictError) -> ClaimResult:
        """Tell an attempt that failed because an earlier one was applied from a true conflict."""
        failed = tuple(key.removeprefix(KEY_PREFIX) for key in conflict.failed_keys)
        if self.may_be_applied and self.marker is not None and self.marker in failed:
            return ClaimResult(ClaimOutcome.COMMITTED)
        if LEADER_KEY in failed or EPOCH_KEY in failed:
            return ClaimResult(ClaimOutcome.FENCED, failed)
        return ClaimResult(ClaimOutcome.CONFLICT, failed)


class ClaimWriter:
    """Writes claims one at a time and repeats each until its result is known.

    A claim may name a marker: a key that must be absent and that the claim creates. A repeated
    attempt that fails on the marker proves that an earlier attempt was applied, which makes a claim
    an idempotent request.

    A claim keeps the epoch in which it was requested. Its content was decided on the state as known
    in that epoch. If the leadership is lost and won again while the claim waits for its turn or for
    an answer, another leader may have acted in between, and the claim must not be applied under
    the newer fence; it ends as ``FENCED`` instead. The fencing token may be raised meanwhile,
    because nobody else has led in between.
    """

    def __init__(self, client: StateClient, fence: Callable[[], Fence | None]) -> None:
        """``fence`` returns the present fence, or None without the right to write."""
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
            operations: What is to be written, with whole keys.
            marker: A key (without prefix) that must be absent and that the operations create.
            absent_keys: Further keys (without prefix) that must be absent.
        """
        absent = absent_keys if marker is None else (*absent_keys, marker)
        conditions = [protocol.Condition(KEY_PREFIX + key, 0) for key in absent]
        claim = _Claim(operations, conditions, marker)
        requested_under = self._fence()
        async with self._lock:
            return await self._repeat(claim, requested_under)

    async def _repeat(self, claim: _Claim, requested_under: Fence | None) -> ClaimResult:
        """Attempt a claim until its result is known or the epoch of its request is over."""
        while True:
            fence = self._fence()
            if requested_under is None or fence is None or fence.epoch != requested_under.epoch:
                return ClaimResult(ClaimOutcome.FENCED)
            result = await self._attempt(claim, fence)
            if result is not None:
                return result
            await asyncio.sleep(CLAIM_RETRY_INTERVAL_S)

    async def _attempt(self, claim: _Claim, fence: Fence) -> ClaimResult | None:
        """Attempt a claim once; None if it has to be repeated."""
        try:
            await self._client.transact(fence.conditions + claim.conditions, claim.operations)
        except TransactionConflictError as conflict:
            return claim.result_of(conflict)
        except StateRejectedError as error:
            return self._reject(claim, error)
        except StateResultUnknownError as error:
            log.info("claim %s: result unknown: %s", claim.marker, error)
            claim.may_be_applied = True
            return None
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.debug("claim %s not applied: %s", claim.marker, error)
            return None
        return ClaimResult(ClaimOutcome.COMMITTED)

    @staticmethod
    def _reject(claim: _Claim, error: StateRejectedError) -> ClaimResult:
        """End a claim that would be rejected for ever while all others wait behind it.

        If an earlier attempt was applied, its records show it later; no command was sent for it.
        """
        log.error("claim %s rejected: %s", claim.marker, error)
        return ClaimResult(ClaimOutcome.CONFLICT)
