"""Reads all keys with a prefix as of one revision.

The state service returns the keys in pages, and each page shows them as they are when it is read.
Pages of different revisions are no state that the service ever had: a record on a later page may
name a job that was written after the page of the jobs was read. The changes made since the first
page are therefore read as well, and applied to the pages.

Closed entries (``ClosableEntries``) are omitted while the pages arrive, so that the memory that a
read needs does not grow with their number. This is safe at any revision because neither an entry
nor the key that closes it ever changes. All other keys are read before the entries, since a closed
entry that one of them references is kept.
"""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple

from petrelthread import protocol
from petrelthread.store.client import LIST_TIMEOUT_S, StateClient
from petrelthread.store.closable_entries import ClosableEntries
from petrelthread.store.closed_entry_omission import ClosedEntryOmission, VersionedValue
from petrelthread.store.errors import StateResultUnknownError, StateUnavailableError

log = logging.getLogger(__name__)

# The service knows the last 10,000 changes, several of which may have one revision. The changes are
# read whenever this many revisions passed, so that a read of any length completes.
MAX_UNREAD_REVISIONS = 500


class Snapshot(NamedTuple):
    """All keys with a prefix, as they were at one revision, without omitted closed entries."""

    values: dict[str, VersionedValue]  # by key without prefix
    revision: int


async def read_snapshot(
    client: StateClient, prefix: str, entries: ClosableEntries | None = None
) -> Snapshot:
    """Read all keys with a prefix, and what changed while their pages were read.

    Args:
        client: the state service.
        prefix: the prefix of the keys.
        entries: which keys are closable entries; None if all keys are kept.

    Raises:
        StateUnavailableError: a request was refused, or so much changed meanwhile that the service
            no longer knows all changes.
        StateResultUnknownError: a response is missing or unusable.
    """
    started_at = asyncio.get_running_loop().time()
    reader = _SnapshotReader(client, prefix)
    if entries is None:
        await reader.read_all()
    else:
        await reader.read_without_closed(entries)
    await reader.read_changes()
    reader.apply_changes()
    if entries is not None:
        _check_open_entries(reader.values, entries)
    log.info(
        "state: %d keys kept and %d closed entries omitted of %d pages at revisions %d to %d,"
        " %d changes up to %d, in %.2f s",
        len(reader.values),
        reader.omitted_count,
        reader.page_count,
        reader.first_revision,
        reader.page_revision,
        reader.change_count,
        reader.revision,
        asyncio.get_running_loop().time() - started_at,
    )
    return Snapshot(reader.values, reader.revision)


def _check_open_entries(values: dict[str, VersionedValue], entries: ClosableEntries) -> None:
    """Check that no entry was omitted that a concurrent watch has shown as open meanwhile.

    Raises:
        StateUnavailableError: there is one; the keys have to be read again.
    """
    if any(entries.entry_prefix + name not in values for name in entries.open_names()):
        raise StateUnavailableError("an entry was shown as open while it was read as closed")


class _SnapshotReader:
    """One read of all keys with a prefix.

    Attributes:
        values: the keys kept so far, without prefix.
        page_count: pages read so far.
        omitted_count: closed entries that were omitted.
        change_count: changes read so far.
        first_revision: revision of the service when the first page was read.
        page_revision: the same of the newest page.
        revision: all changes up to it have been read.
    """

    def __init__(self, client: StateClient, prefix: str) -> None:
        self._client = client
        self._prefix = prefix
        self.values: dict[str, VersionedValue] = {}
        self.page_count = 0
        self.omitted_count = 0
        self.change_count = 0
        self.first_revision = 0
        self.page_revision = 0
        self.revision = 0
        self._newest_changes: dict[str, VersionedValue | None] = {}  # by key; None: deleted

    # ---- pages ---------------------------------------------------------------------------------

    async def read_all(self) -> None:
        """Read all keys and keep them."""
        page, after = await self._read_page(self._prefix, None)
        self._keep(page.items)
        while page.more:
            page, after = await self._read_page(self._prefix, after)
            self._keep(page.items)

    async def read_without_closed(self, entries: ClosableEntries) -> None:
        """Read all keys, and omit closed entries that need not be kept.

        Keys of kinds that sort between the entries and their closing keys are not read.
        """
        first, last = sorted((entries.closing_prefix, entries.entry_prefix))
        page, after = await self._read_page(self._prefix, None)
        while page.more and after < self._prefix + first:
            self._keep(page.items)
            page, after = await self._read_page(self._prefix, after)
        omission = ClosedEntryOmission(entries, self.first_revision)
        others = [item for item in page.items if not omission.is_entry_key(self._name(item))]
        self._keep(others)
        if page.more:
            await self._keep_all_after(self._prefix + _successor(last))
        omission.set_referenced(self.values)
        if page.more:
            await self._read_entries(entries, omission)
        else:
            self._take_entries(page.items, omission)
        self.values.update(omission.kept())
        self.omitted_count = omission.omitted_count

    async def _keep_all_after(self, after: str) -> None:
        more = True
        while more:
            page, after = await self._read_page(self._prefix, after)
            self._keep(page.items)
            more = page.more

    async def _read_entries(self, entries: ClosableEntries, omission: ClosedEntryOmission) -> None:
        """Read entries and their closing keys side by side, in order of their names."""
        prefix = self._prefix + entries.entry_prefix
        closing_prefix = self._prefix + entries.closing_prefix
        after = closed_after = None
        more = more_closing = True
        while more:
            page, after = await self._read_page(prefix, after)
            more = page.more
            last_name = after[len(prefix) :]
            while more_closing and (closed_after or "")[len(closing_prefix) :] < last_name:
                closing, closed_after = await self._read_page(closing_prefix, closed_after)
                more_closing = closing.more
                self._add_closing(closing.items, omission)
            self._take_entries(page.items, omission)

    def _take_entries(
        self, items: tuple[protocol.KeyValue, ...], omission: ClosedEntryOmission
    ) -> None:
        self._add_closing(items, omission)
        for item in items:
            omission.add_entry(self._name(item), VersionedValue(item.value, item.revision))

    def _add_closing(
        self, items: tuple[protocol.KeyValue, ...], omission: ClosedEntryOmission
    ) -> None:
        for item in items:
            omission.add_closing(self._name(item), VersionedValue(item.value, item.revision))

    def _keep(self, items: tuple[protocol.KeyValue, ...] | list[protocol.KeyValue]) -> None:
        for item in items:
            self.values[self._name(item)] = VersionedValue(item.value, item.revision)

    def _name(self, item: protocol.KeyValue) -> str:
        return item.key[len(self._prefix) :]

    async def _read_page(self, prefix: str, after: str | None) -> tuple[protocol.KeyPage, str]:
        """Read one page; also return its last key, after which the next page starts."""
        page = await self._client.list_keys(prefix, after)
        if not self.page_count:
            self.first_revision = self.revision = page.revision
        self.page_count += 1
        self.page_revision = page.revision
        last = page.items[-1].key if page.items else ""
        if page.more and last <= (after or ""):
            # Applying an incomplete snapshot would delete the missing keys.
            raise StateResultUnknownError(
                f"page after {after!r} goes no further, although it says that more follow"
            )
        if page.revision - self.revision >= MAX_UNREAD_REVISIONS:
            await self.read_changes()
        return page, last

    # ---- changes -------------------------------------------------------------------------------

    async def read_changes(self) -> None:
        """Read the changes made until the newest page was read, at least."""
        if self.page_revision <= self.revision:
            return
        response = await self._client.watch(
            self._prefix, self.revision, wait_s=0.0, margin_s=LIST_TIMEOUT_S
        )
        if response is None:
            raise StateUnavailableError("changes made during the read are no longer known")
        for change in response.changes:
            self._add_change(change)
        self.change_count += len(response.changes)
        self.revision = response.revision

    def _add_change(self, change: protocol.KeyChange) -> None:
        if change.put_key is not None:
            key = change.put_key[len(self._prefix) :]
            self._newest_changes[key] = VersionedValue(change.value, change.revision)
        elif change.deleted_key is not None:
            self._newest_changes[change.deleted_key[len(self._prefix) :]] = None

    def apply_changes(self) -> None:
        """Apply the newest change of each key to the values."""
        for key, value in self._newest_changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value


def _successor(prefix: str) -> str:
    """The first string that sorts after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
