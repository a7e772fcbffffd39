"""A copy of our keys, followed by an open watch and made fresh on demand."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from petrelthread import protocol
from petrelthread.store.client import StateClient, StateResultUnknownError, StateUnavailableError

log = logging.getLogger(__name__)

KEY_PREFIX = "pt/"
WATCH_TIMEOUT_S = 10.0

Listener = Callable[[str, Any, int], None]


class WatchCache:
    """Values by key (below ROOT). Every change is told once, in order, to the listener."""

    def __init__(self, client: StateClient, listener: Listener, poll_interval_s: float) -> None:
        self._client = client
        self._listener = listener
        self.poll_interval_s = poll_interval_s
        self.revisions: dict[str, int] = {}
        self.revision = 0
        self.loaded = asyncio.Event()
        # Everything that the service held at this instant is known here: the start of the newest
        # complete read. An answer that came later may still be older than a change after its start.
        self.current_as_of = float("-inf")
        self._round: asyncio.Task[bool] | None = None
        self._next_round: asyncio.Task[bool] | None = None

    async def load(self) -> None:
        """Read all keys. Changes during the reading come again by the watch from its start.

        Another read may have told newer things meanwhile, this controller's own claims among them:
        what is older than those changes nothing, and the revision never goes back.
        """
        started = asyncio.get_running_loop().time()
        found: dict[str, tuple[Any, int]] = {}
        first: int | None = None
        after: str | None = None
        while True:
            page = await self._client.list_keys(KEY_PREFIX, after)
            first = page.revision if first is None else first
            for pair in page.items:
                found[pair.key[len(KEY_PREFIX) :]] = (pair.value, pair.revision)
            if not page.more:
                break
            last = page.items[-1].key if page.items else ""
            if last <= (after or ""):
                # A reading that lacks keys would make this controller forget what they hold.
                raise StateResultUnknownError(
                    f"page after {after!r} goes no further, though more is to come"
                )
            after = last
        reached = self.revision  # by a watch, which told everything up to it
        for key, told in list(self.revisions.items()):
            if key not in found and told <= first:
                self._notify(key, None, first)
        for key, (value, stamp) in sorted(found.items(), key=lambda item: item[1][1]):
            if stamp > max(reached, self.revisions.get(key, 0)):
                self._notify(key, value, stamp)
        self.revision = max(reached, first)
        self.current_as_of = max(self.current_as_of, started)
        self.loaded.set()

    def _notify(self, key: str, value: Any, revision: int) -> None:
        if value is None:
            self.revisions.pop(key, None)
        else:
            self.revisions[key] = revision
        self._listener(key, value, revision)

    def _apply(self, events: protocol.WatchResponse) -> None:
        # Two watches may be open at once: each answer covers all up to its epoch, so whatever
        # lies at or below the revision reached has been told already.
        for event in events.changes:
            if event.revision <= self.revision:
                continue
            if event.put_key is not None:
                self._notify(event.put_key[len(KEY_PREFIX) :], event.value, event.revision)
            elif event.deleted_key is not None:
                self._notify(event.deleted_key[len(KEY_PREFIX) :], None, event.revision)
        self.revision = max(self.revision, events.revision)

    async def _catch_up(self, wait_s: float, urgent: bool = False) -> None:
        start = asyncio.get_running_loop().time()
        events = await self._client.watch(KEY_PREFIX, self.revision, wait_s, urgent)
        if events is None:
            log.info("state: watch too old, reading all keys again")
            await self.load()
            return
        self._apply(events)
        self.current_as_of = max(self.current_as_of, start)

    async def follow(self) -> None:
        """Keep the cache near the service for as long as the process lives."""
        while True:
            try:
                if not self.loaded.is_set():
                    await self.load()
                else:
                    await self._catch_up(WATCH_TIMEOUT_S)
                await asyncio.sleep(self.poll_interval_s)
            except (StateUnavailableError, StateResultUnknownError) as error:
                log.debug("state: watch failed: %s", error)
                await asyncio.sleep(0.3)

    async def refresh(self) -> bool:
        """True once the cache holds all that was there when this was called.

        Callers share rounds: a round serves only those who asked before it began, so one may be
        running while the next one gathers callers.
        """
        if self._next_round is None:
            self._next_round = asyncio.create_task(self._refresh_round(self._round))
        return await asyncio.shield(self._next_round)

    async def _refresh_round(self, before: asyncio.Task[bool] | None) -> bool:
        if before is not None and not before.done():
            await asyncio.wait([before])
        await self._client.request_bucket.acquire()
        self._round, self._next_round = self._next_round, None
        if not self.loaded.is_set():
            return False
        try:
            await self._catch_up(0.0, urgent=True)
        except (StateUnavailableError, StateResultUnknownError) as error:
            log.debug("state: fresh read failed: %s", error)
            return False
        return True
