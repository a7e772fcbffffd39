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
        self._closing: dict[str, VersionedValue] = {}  # by name of entries not added yet
        self._kept: dict[str, VersionedValue] = {}  # by key
        self._recent: list[_ClosedEntry] = []  # a heap, so that the first is the oldest
        self.omitted_count = 0

    def is_entry_key(self, key: str) -> bool:
        """Whether a key is that of an entry, or closes one."""
        return key.startswith((self._entries.entry_prefix, self._entries.closing_prefix))

    def set_referenced(self, values: Mapping[str, VersionedValue]) -> None:
        """Keep the entries that other keys reference; called before entries are added."""
        for key, versioned in values.items():
            self._referenced.update(self._entries.references(key, versioned.value))

    def add_closing(self, key: str, closing: VersionedValue) -> None:
        """Add a key that closes an entry, before that entry; other keys are ignored."""
        if key.startswith(self._entries.closing_prefix):
            self._closing[key[len(self._entries.closing_prefix) :]] = closing

    def add_entry(self, key: str, entry: VersionedValue) -> None:
        """Add an entry, once its closing key was added if there is one; ignores other keys."""
        if not key.startswith(self._entries.entry_prefix):
            return
        name = key[len(self._entries.entry_prefix) :]
        closing = self._closing.pop(name, None)
        if closing is None:
            self._kept[key] = entry
        elif self._is_needed(name, closing):
            self._keep(name, entry, closing)
        else:
            self._add_recent(_ClosedEntry(closing.revision, name, entry, closing))

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
