"""Reads all keys with a prefix as of one revision.

The state service returns the keys in pages, and each page shows them as they are when it is read.
Pages of different revisions are no state that the service ever had: a record on a later page may
name a job that was written after the page of the jobs was read. The changes made since the first
page are therefore read as well, and applied to the pages.

Closed entries (``ClosableEntries``) are omitted while the pages arrive, so that the memory that a
read needs does not grow with their number. This is safe at any revision because neither an entry
nor the key that closes it ever changes. A closed entry that another key references is kept, so the
keys that sort after the entries are read twice: first for their references.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
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


class _KeyRange(NamedTuple):
    """All keys with a prefix."""

    prefix: str

    @property
    def end(self) -> str:
        """The first string that sorts after all keys of the range."""
        return _successor(self.prefix)


@dataclass
class _ClosingCursor:
    """How far the closing keys have been read."""

    range: _KeyRange
    after: str  # the last key read
    more: bool

    @property
    def last_name(self) -> str:
        """Name of the entry that the last key read closes; empty if none was read."""
        return self.after[len(self.range.prefix) :]


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
        """Read all keys in order, and omit closed entries that need not be kept.

        Keys of kinds that sort between the entries and their closing keys are not read.
        """
        closing_range = _KeyRange(self._prefix + entries.closing_prefix)
        page, after = await self._read_page(self._prefix, None)
        while page.more and after < closing_range.prefix:
            self._keep(page.items)
            page, after = await self._read_page(self._prefix, after)
        omission = ClosedEntryOmission(entries, self.first_revision)
        self._take(page.items, omission)
        omission.add_references(self.values)
        if page.more and entries.may_be_referenced(self.values):
            await self._read_references(self._prefix + _successor(entries.entry_prefix), omission)
        closing = _ClosingCursor(closing_range, after, page.more and after < closing_range.end)
        if closing.more:
            after = closing_range.end
        omission.omit_closed()
        while page.more:
            page, after = await self._read_page(self._prefix, after)
            await self._read_closing(closing, self._last_entry(page, entries), omission)
            self._take(page.items, omission)
            omission.omit_closed()
        self.values.update(omission.kept())
        self.omitted_count = omission.omitted_count

    async def _read_references(self, after: str, omission: ClosedEntryOmission) -> None:
        """Read the keys that sort after the entries, for the entries that they reference."""
        more = True
        while more:
            page, after = await self._read_page(self._prefix, after)
            more = page.more
            omission.add_references(
                {self._name(item): VersionedValue(item.value, item.revision) for item in page.items}
            )

    async def _read_closing(
        self, closing: _ClosingCursor, last_entry: str | None, omission: ClosedEntryOmission
    ) -> None:
        """Read closing keys up to that of the entry named ``last_entry``."""
        while closing.more and last_entry is not None and closing.last_name < last_entry:
            page, closing.after = await self._read_page(closing.range.prefix, closing.after)
            closing.more = page.more
            self._take(page.items, omission)

    def _last_entry(self, page: protocol.KeyPage, entries: ClosableEntries) -> str | None:
        """Name of the last entry on a page; None if there is none."""
        prefix = self._prefix + entries.entry_prefix
        names = [item.key[len(prefix) :] for item in page.items if item.key.startswith(prefix)]
        return names[-1] if names else None

    def _take(self, items: Iterable[protocol.KeyValue], omission: ClosedEntryOmission) -> None:
        """Pass entries and closing keys on, and keep the other keys."""
        for item in items:
            name, value = self._name(item), VersionedValue(item.value, item.revision)
            if not omission.add(name, value):
                self.values[name] = value

    def _keep(self, items: Iterable[protocol.KeyValue]) -> None:
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
