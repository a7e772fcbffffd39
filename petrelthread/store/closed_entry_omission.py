"""Decides which closed entries a read of all keys keeps, while their pages arrive."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from typing import Any, NamedTuple

from petrelthread.store.closable_entries import ClosableEntries


class VersionedValue(NamedTuple):
    """The value of a key and the revision of the key's last change."""

    value: Any
    revision: int


class _ClosedEntry(NamedTuple):
    closed_at: int  # revision
    name: str
    entry: VersionedValue
    closing: VersionedValue


class ClosedEntryOmission:
    """Keeps open entries, and those closed ones that are recent, referenced or closed just now.

    An entry that was closed after the read began is kept: keys that were read at an earlier
    revision may reference it, and so may changes made during the read.

    Attributes:
        omitted_count: closed entries omitted so far.
    """

    def __init__(self, entries: ClosableEntries, first_revision: int) -> None:
        """``first_revision`` is that of the service when the read began."""
        self._entries = entries
        self._first_revision = first_revision
        self._referenced: set[str] = set()
        self._added: dict[str, VersionedValue] = {}  # by name of entries not decided on yet
        self._closing: dict[str, VersionedValue] = {}  # by name of such entries, and later ones
        self._kept: dict[str, VersionedValue] = {}  # by key
        self._recent: list[_ClosedEntry] = []  # a heap, so that the first is the oldest
        self.omitted_count = 0

    def add_references(self, values: Mapping[str, VersionedValue]) -> None:
        """Keep the entries that these keys reference; called before ``omit_closed``."""
        for key, versioned in values.items():
            self._referenced.update(self._entries.references(key, versioned.value))

    def add(self, key: str, value: VersionedValue) -> bool:
        """Add an entry or a closing key; return False for any other key."""
        entry_prefix, closing_prefix = self._entries.entry_prefix, self._entries.closing_prefix
        if key.startswith(closing_prefix):
            self._closing[key[len(closing_prefix) :]] = value
        elif key.startswith(entry_prefix):
            self._added[key[len(entry_prefix) :]] = value
        else:
            return False
        return True

    def omit_closed(self) -> None:
        """Decide on the entries added since the last call, whose closing keys were added too."""
        for name, entry in self._added.items():
            closing = self._closing.pop(name, None)
            if closing is None:
                self._kept[self._entries.entry_prefix + name] = entry
            elif self._is_needed(name, closing):
                self._keep(name, entry, closing)
            else:
                self._add_recent(_ClosedEntry(closing.revision, name, entry, closing))
        self._added.clear()

    def _is_needed(self, name: str, closing: VersionedValue) -> bool:
        return (
            closing.revision > self._first_revision
            or name in self._referenced
            or self._entries.is_open(name)
        )

    def _add_recent(self, closed: _ClosedEntry) -> None:
        heapq.heappush(self._recent, closed)
        if len(self._recent) > self._entries.retained_count:
            oldest = heapq.heappop(self._recent)
            self._entries.on_omitted(oldest.entry.value)
            self.omitted_count += 1

    def _keep(self, name: str, entry: VersionedValue, closing: VersionedValue) -> None:
        self._kept[self._entries.entry_prefix + name] = entry
        self._kept[self._entries.closing_prefix + name] = closing

    def kept(self) -> dict[str, VersionedValue]:
        """The entries and closing keys to keep, by key; called once all have been added."""
        for closed in self._recent:
            self._keep(closed.name, closed.entry, closed.closing)
        # A missing entry was written after its page was read, so that it is among the changes.
        for name, closing in self._closing.items():
            self._kept[self._entries.closing_prefix + name] = closing
        return self._kept
