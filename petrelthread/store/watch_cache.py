"""Follows the keys in the state service by a watch, and refreshes them on demand."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from petrelthread import protocol
from petrelthread.store.client import StateClient
from petrelthread.store.closable_entries import ClosableEntries
from petrelthread.store.errors import StateResultUnknownError, StateUnavailableError
from petrelthread.store.snapshot import read_snapshot

log = logging.getLogger(__name__)

KEY_PREFIX = "pt/"  # prefix of all keys of the scheduler in the state service
WATCH_TIMEOUT_S = 10.0  # the service responds to a watch without changes after this time
FOLLOW_RETRY_S = 0.3  # pause after a failed watch or reload

Listener = Callable[[str, Any, int], None]
"""Called with a key without prefix, its value (None: deleted) and the revision of the change."""


class WatchCache:
    """Follows all keys below ``KEY_PREFIX`` and calls a listener once for each change, in order.

    A load omits closed entries that need not be kept; the listener is not called for these.

    Attributes:
        poll_interval_s: pause between two watches.
        revisions: revision of the last change by key without prefix; absent are deleted keys, and
            closable entries and their closing keys, which never change.
        revision: the listener was called for all changes up to this revision.
        loaded: set once all keys have been read.
        current_as_of: event loop time; the listener was called for all changes made until then.
            It is when the newest completed read started, since its response may lack changes made
            during the read.
    """

    def __init__(
        self,
        client: StateClient,
        listener: Listener,
        poll_interval_s: float,
        entries: ClosableEntries | None = None,
    ) -> None:
        """Read nothing yet.

        Args:
            client: the state service.
            listener: called for each change.
            poll_interval_s: pause between two watches.
            entries: which keys are closable entries; None if no key is.
        """
        self._client = client
        self._entries = entries
        self._unversioned_prefixes = (
            (entries.entry_prefix, entries.closing_prefix) if entries is not None else ()
        )
        self._listener = listener
        self.poll_interval_s = poll_interval_s
        self.revisions: dict[str, int] = {}
        self.revision = 0
        self.loaded = asyncio.Event()
        self.current_as_of = float("-inf")
        self._running_refresh: asyncio.Task[bool] | None = None
        self._next_refresh: asyncio.Task[bool] | None = None  # has not started to read

    async def load(self) -> None:
        """Read all keys and notify the listener of what differs from the cache.

        The cache takes over the state of one revision. A concurrent watch may deliver newer
        changes. Older ones in the snapshot are then skipped, and the revision never decreases.

        Raises:
            StateUnavailableError, StateResultUnknownError: the keys could not be read; the
                listener was not called.
        """
        started_at = asyncio.get_running_loop().time()
        snapshot = await read_snapshot(self._client, KEY_PREFIX, self._entries)
        notified_revision = self.revision  # a watch may have raised it during the read
        for key, revision in list(self.revisions.items()):
            if key not in snapshot.values and revision <= snapshot.revision:
                self._notify(key, None, snapshot.revision)
        for key, (value, revision) in sorted(snapshot.values.items(), key=lambda item: item[1][1]):
            if revision > max(notified_revision, self.revisions.get(key, 0)):
                self._notify(key, value, revision)
        self.revision = max(notified_revision, snapshot.revision)
        self.current_as_of = max(self.current_as_of, started_at)
        self.loaded.set()

    def _notify(self, key: str, value: object, revision: int) -> None:
        if value is None:
            self.revisions.pop(key, None)
        elif not key.startswith(self._unversioned_prefixes):
            self.revisions[key] = revision
        self._listener(key, value, revision)

    def _apply(self, response: protocol.WatchResponse) -> None:
        # Concurrent watches may return the same changes; those already applied are skipped.
        for change in response.changes:
            if change.revision <= self.revision:
                continue
            if change.put_key is not None:
                self._notify(change.put_key[len(KEY_PREFIX) :], change.value, change.revision)
            elif change.deleted_key is not None:
                self._notify(change.deleted_key[len(KEY_PREFIX) :], None, change.revision)
        self.revision = max(self.revision, response.revision)

    async def _catch_up(self, wait_s: float, skip_rate_limit: bool = False) -> None:
        started_at = asyncio.get_running_loop().time()
        response = await self._client.watch(KEY_PREFIX, self.revision, wait_s, skip_rate_limit)
        if response is None:
            log.info("state: watched revision is too old, reading all keys again")
            await self.load()
            return
        self._apply(response)
        self.current_as_of = max(self.current_as_of, started_at)

    async def follow(self) -> None:
        """Load all keys, then watch them until cancelled."""
        while True:
            try:
                if not self.loaded.is_set():
                    await self.load()
                else:
                    await self._catch_up(WATCH_TIMEOUT_S)
                await asyncio.sleep(self.poll_interval_s)
            except (StateUnavailableError, StateResultUnknownError) as error:
                log.debug("state: watch failed: %s", error)
                await asyncio.sleep(FOLLOW_RETRY_S)

    async def refresh(self) -> bool:
        """Apply all changes made before this call.

        Concurrent callers share one read. Only calls made before a read starts may rely on it, so
        later callers share the next read, which starts when the running one ends.

        Returns:
            False if the keys are not loaded yet or the read failed.
        """
        if self._next_refresh is None:
            self._next_refresh = asyncio.create_task(self._refresh_after(self._running_refresh))
        return await asyncio.shield(self._next_refresh)

    async def _refresh_after(self, previous: asyncio.Task[bool] | None) -> bool:
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        await self._client.request_bucket.acquire()
        self._running_refresh, self._next_refresh = self._next_refresh, None
        if not self.loaded.is_set():
            return False
        try:
            await self._catch_up(0.0, skip_rate_limit=True)
        except (StateUnavailableError, StateResultUnknownError) as error:
            log.debug("state: refresh failed: %s", error)
            return False
        return True
