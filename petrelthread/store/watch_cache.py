"""A copy of the keys in the state service, kept up to date by a watch and refreshed on demand."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from petrelthread import protocol
from petrelthread.store.client import StateClient
from petrelthread.store.errors import StateResultUnknownError, StateUnavailableError

log = logging.getLogger(__name__)

KEY_PREFIX = "pt/"  # of all keys of the scheduler in the state service
WATCH_TIMEOUT_S = 10.0  # the service answers a watch without changes after this time
FOLLOW_RETRY_S = 0.3  # after a failed watch or reload

Listener = Callable[[str, Any, int], None]
"""Takes a key without prefix, its value (None: deleted) and the revision of the change."""


class _Snapshot(NamedTuple):
    """All keys, read page by page."""

    values: dict[str, tuple[Any, int]]  # value and revision by key without prefix
    revision: int  # of the first page: later changes may be missing from the values


class WatchCache:
    """Follows all keys below ``KEY_PREFIX`` and calls a listener once for each change, in order.

    Attributes:
        poll_interval_s: pause between two watches.
        revisions: revision of the last change by key without prefix; deleted keys are absent.
        revision: the listener has had all changes up to this revision.
        loaded: set once all keys have been read.
        current_as_of: event loop time; the listener has had every change made until then. It
            is the start of the newest completed read: changes made during a read may be missing
            from its answer.
    """

    def __init__(self, client: StateClient, listener: Listener, poll_interval_s: float) -> None:
        self._client = client
        self._listener = listener
        self.poll_interval_s = poll_interval_s
        self.revisions: dict[str, int] = {}
        self.revision = 0
        self.loaded = asyncio.Event()
        self.current_as_of = float("-inf")
        self._running_refresh: asyncio.Task[bool] | None = None
        self._next_refresh: asyncio.Task[bool] | None = None  # has not begun to read

    async def load(self) -> None:
        """Read all keys and notify the listener of what differs from the cache.

        A watch may run at the same time and show newer changes. What is older than those is
        skipped, and the revision never decreases.

        Raises:
            StateUnavailableError, StateResultUnknownError: a page could not be read; the
                listener was not called.
        """
        started_at = asyncio.get_running_loop().time()
        snapshot = await self._read_all_keys()
        notified_revision = self.revision  # may have been raised by a watch during the read
        for key, revision in list(self.revisions.items()):
            if key not in snapshot.values and revision <= snapshot.revision:
                self._notify(key, None, snapshot.revision)
        for key, (value, revision) in sorted(snapshot.values.items(), key=lambda item: item[1][1]):
            if revision > max(notified_revision, self.revisions.get(key, 0)):
                self._notify(key, value, revision)
        self.revision = max(notified_revision, snapshot.revision)
        self.current_as_of = max(self.current_as_of, started_at)
        self.loaded.set()

    async def _read_all_keys(self) -> _Snapshot:
        values: dict[str, tuple[Any, int]] = {}
        first_revision: int | None = None
        after: str | None = None
        while True:
            page = await self._client.list_keys(KEY_PREFIX, after)
            first_revision = page.revision if first_revision is None else first_revision
            for item in page.items:
                values[item.key[len(KEY_PREFIX) :]] = (item.value, item.revision)
            if not page.more:
                return _Snapshot(values, first_revision)
            last = page.items[-1].key if page.items else ""
            if last <= (after or ""):
                # An incomplete snapshot would delete the missing keys from the cache.
                raise StateResultUnknownError(
                    f"page after {after!r} goes no further, though more is to come"
                )
            after = last

    def _notify(self, key: str, value: object, revision: int) -> None:
        if value is None:
            self.revisions.pop(key, None)
        else:
            self.revisions[key] = revision
        self._listener(key, value, revision)

    def _apply(self, response: protocol.WatchResponse) -> None:
        # Two watches may be open at once, so changes up to the known revision are skipped.
        for change in response.changes:
            if change.revision <= self.revision:
                continue
            if change.put_key is not None:
                self._notify(change.put_key[len(KEY_PREFIX) :], change.value, change.revision)
            elif change.deleted_key is not None:
                self._notify(change.deleted_key[len(KEY_PREFIX) :], None, change.revision)
        self.revision = max(self.revision, response.revision)

    async def _catch_up(self, wait_s: float, urgent: bool = False) -> None:
        started_at = asyncio.get_running_loop().time()
        response = await self._client.watch(KEY_PREFIX, self.revision, wait_s, urgent)
        if response is None:
            log.info("state: watch too old, reading all keys again")
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
        """Catch up with all changes made before this call.

        Concurrent callers share one read. A read serves only callers that asked before it began,
        so one may be running while the next one collects callers.

        Returns:
            False if the keys are not loaded yet or the service did not answer.
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
            await self._catch_up(0.0, urgent=True)
        except (StateUnavailableError, StateResultUnknownError) as error:
            log.debug("state: fresh read failed: %s", error)
            return False
        return True
