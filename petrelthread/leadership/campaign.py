"""The transaction with which a candidate becomes the leader."""

from __future__ import annotations

from collections.abc import Callable

from petrelthread.leadership.leader_keys import LEADER_KEY, leader_conditions, leader_operations
from petrelthread.state import LeaderRecord
from petrelthread.store import (
    LeaseExpiredError,
    StateClient,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
    WatchCache,
)


class CampaignLostError(Exception):
    """The candidate was not elected, or the result is unknown; the message gives the cause."""


class Campaign:
    """Writes the leader keys if there is no leader and the epoch is still the one that was read.

    The compare-and-swap on the epoch key ensures that no two elections get the same epoch.
    """

    def __init__(
        self,
        client: StateClient,
        watch_cache: WatchCache,
        current_leader: Callable[[], LeaderRecord | None],
    ) -> None:
        """``current_leader`` returns the leader record that the watch cache read last."""
        self._client = client
        self._watch_cache = watch_cache
        self._current_leader = current_leader

    async def run(self, record: LeaderRecord, epoch_revision: int) -> int:
        """Write the leader keys and return the revision at which they were written.

        Args:
            record: The candidate's record, with an epoch one above the epoch read.
            epoch_revision: The revision of the epoch key when it was read, 0 if it is absent.

        Raises:
            CampaignLostError: The caller must revoke the lease. A transaction whose result is
                unknown may still arrive late; it cannot be applied once its lease is revoked.
        """
        conditions = leader_conditions(0, epoch_revision)
        try:
            return await self._client.transact(conditions, leader_operations(record))
        except (TransactionConflictError, LeaseExpiredError, StateUnavailableError) as error:
            raise CampaignLostError(f"not elected: {error}") from error
        except StateResultUnknownError as error:
            revision = await self._revision_if_elected(record.nonce)
            if not revision:
                raise CampaignLostError("the result of the election is unknown") from error
            return revision

    async def _revision_if_elected(self, nonce: str) -> int:
        """Read the leader key; return its revision if this candidate wrote it, otherwise 0."""
        if not await self._watch_cache.refresh():
            return 0
        leader = self._current_leader()
        if leader is None or leader.nonce != nonce:
            return 0
        return self._watch_cache.revisions[LEADER_KEY]
