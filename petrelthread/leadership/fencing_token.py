"""Raises the fencing token of a leader without another election."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from petrelthread.leadership.fence import Fence
from petrelthread.leadership.leader_keys import leader_operations
from petrelthread.leadership.roles import ACTIVE_ROLES, Role
from petrelthread.state import LeaderRecord
from petrelthread.store import (
    LeaseExpiredError,
    StateClient,
    StateRejectedError,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
    WatchCache,
)

log = logging.getLogger(__name__)

TOKEN_RETRY_INTERVAL_S = 0.15  # between two attempts to write a higher token


class TokenHolder(Protocol):
    """The part of ``Election`` that ``FencingTokenRaiser`` uses."""

    role: Role
    epoch: int
    fencing_token: int
    highest_known_epoch: int

    def fence(self) -> Fence | None:
        """Return the conditions of a write, or None if this controller may not write."""

    def record_with_token(self, token: int) -> LeaderRecord | None:
        """Return the leader record with another token, or None without a lease."""

    def adopt_token(self, token: int, revision: int) -> None:
        """Use a token that was written at a revision."""

    def observe_epoch(self, epoch: int) -> None:
        """Step down if the epoch or token is another leader's."""


class FencingTokenRaiser:
    """Writes a higher fencing token into the leader keys, under the lease and fence of the leader.

    Workers refuse every command whose token is lower than the highest they have seen, so raising
    the token invalidates all commands sent before.
    """

    def __init__(self, holder: TokenHolder, client: StateClient, watch_cache: WatchCache) -> None:
        """``holder``: the election whose token is raised."""
        self._holder = holder
        self._client = client
        self._watch_cache = watch_cache
        # A token that may have been written although its write is not confirmed; 0 if there is
        # none. Seeing this token is no evidence of another leader.
        self.unconfirmed_token = 0

    async def raise_token(self) -> bool:
        """Raise the token by one; return whether it was raised.

        Retries the write until its result is known or the leadership ends. Must not be called while
        a claim is in flight, because it changes the fence that claims depend on.
        """
        holder = self._holder
        epoch, old_token = holder.epoch, holder.fencing_token
        self.unconfirmed_token = old_token + 1
        while (
            holder.role is Role.LEADING
            and holder.epoch == epoch
            and holder.fencing_token == old_token
        ):
            if await self.write(old_token + 1):
                break
            await asyncio.sleep(TOKEN_RETRY_INTERVAL_S)
        return (
            holder.role in ACTIVE_ROLES
            and holder.epoch == epoch
            and holder.fencing_token > old_token
        )

    async def write(self, token: int) -> bool:
        """Attempt to write the token once.

        Returns True if the result is final: the token is written, or never will be.
        """
        fence, record = self._holder.fence(), self._holder.record_with_token(token)
        if fence is None or record is None:
            return True
        try:
            revision = await self._client.transact(fence.conditions, leader_operations(record))
        except StateRejectedError as error:
            return self._on_rejected(token, error)
        except (StateResultUnknownError, StateUnavailableError) as error:
            log.debug("leadership: token %d not confirmed as written: %s", token, error)
            await self._watch_cache.refresh()
            return self._holder.fencing_token >= token
        except (TransactionConflictError, LeaseExpiredError):
            return await self._resolve_conflict()
        if self._holder.role in ACTIVE_ROLES and self._holder.epoch == fence.epoch:
            self._holder.adopt_token(token, revision)
        return True

    def _on_rejected(self, token: int, error: StateRejectedError) -> bool:
        log.error("leadership: token %d rejected: %s", token, error)
        self.unconfirmed_token = 0
        return True

    async def _resolve_conflict(self) -> bool:
        """Read the leader keys after a failed write; return whether they could be read.

        They show whether an earlier attempt was applied. If not, this controller no longer leads.
        """
        if not await self._watch_cache.refresh():
            return False
        self.unconfirmed_token = 0
        self._holder.observe_epoch(self._holder.highest_known_epoch)
        return True
