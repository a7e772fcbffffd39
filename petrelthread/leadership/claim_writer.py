"""Claims: transactions that hold only while this controller leads with its epoch."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum

from petrelthread import protocol
from petrelthread.leadership.fence import Fence
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


class ClaimOutcome(Enum):
    COMMITTED = "won"
    FENCED = "fenced"  # another leader, or none: nothing more may be sent
    CONFLICT = "clashed"  # a condition of the claim itself failed; nothing was applied


class ClaimWriter:
    """Only one claim is under way at a time. An unanswered one is repeated until its fate is known.

    Each claim names a marker, a key that must not exist yet and that the claim creates. A repeat
    that fails on the marker proves that an earlier copy was applied.

    A claim holds with the fence of the moment at which it was asked for, or not at all. What it
    contains was decided on what was known in that epoch; if the lead is lost and won again while it
    waits for its turn or for an answer, another leader may have acted in between.
    """

    def __init__(self, client: StateClient, fence: Callable[[], Fence | None]) -> None:
        """``fence``: the present right, or None without one."""
        self._client = client
        self._fence = fence
        self._lock = asyncio.Lock()

    async def run_exclusive(self, work: Callable[[], Awaitable[bool]]) -> bool:
        """Do something that changes the fence while no claim is under way."""
        async with self._lock:
            return await work()

    async def claim(
        self,
        operations: Sequence[protocol.Operation],
        marker: str | None = None,
        absent_keys: tuple[str, ...] = (),
    ) -> tuple[ClaimOutcome, tuple[str, ...]]:
        conditions = [protocol.Condition(KEY_PREFIX + key, 0) for key in absent_keys]
        if marker is not None:
            conditions.append(protocol.Condition(KEY_PREFIX + marker, 0))
        unsure = False
        asked = self._fence()
        async with self._lock:
            while True:
                fence = self._fence()
                if asked is None or fence is None or fence.epoch != asked.epoch:
                    return ClaimOutcome.FENCED, ()
                try:
                    await self._client.transact(fence.conditions + conditions, operations)
                    return ClaimOutcome.COMMITTED, ()
                except TransactionConflictError as conflict:
                    failed = tuple(key.removeprefix(KEY_PREFIX) for key in conflict.failed_keys)
                    if unsure and marker is not None and marker in failed:
                        return ClaimOutcome.COMMITTED, ()
                    if any(key in ("lead", "epoch") for key in failed):
                        return ClaimOutcome.FENCED, failed
                    return ClaimOutcome.CONFLICT, failed
                except StateRejectedError as error:
                    # The same again would be refused for ever, and all else waits behind it. If an
                    # earlier copy counted, its records show, and nothing of it has been sent.
                    log.error("claim %s: %s", marker, error)
                    return ClaimOutcome.CONFLICT, ()
                except StateResultUnknownError as error:
                    log.info("claim %s unanswered: %s", marker, error)
                    unsure = True
                except (StateUnavailableError, LeaseExpiredError) as error:
                    log.debug("claim %s refused: %s", marker, error)
                await asyncio.sleep(0.15)
