"""Stored entries that are closed by a second key, such as jobs by their final status.

An entry and the key that closes it are both written once and never deleted, so there is one more
pair for each entry that was ever written. A reader of all keys omits most closed entries, so that
what it keeps in memory does not grow with their number.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Protocol


class ClosableEntries(Protocol):
    """Tells the reader of all keys which keys are entries, and which closed ones it must keep."""

    @property
    def entry_prefix(self) -> str:
        """Prefix of an entry's key; the entry's name follows it."""

    @property
    def closing_prefix(self) -> str:
        """Prefix of the key that closes the entry of the same name."""

    @property
    def retained_count(self) -> int:
        """How many of the most recently closed entries to keep."""

    def references(self, key: str, value: Any) -> Iterable[str]:
        """Names of the entries that another key's value needs; they are kept."""

    def may_be_referenced(self, values: Mapping[str, Any]) -> bool:
        """Whether any other key may reference an entry, given all keys that sort before both."""

    def is_open(self, name: str) -> bool:
        """Whether the listener takes the entry for open, so that it must learn of its closing."""

    def open_names(self) -> Iterable[str]:
        """Names of all entries that the listener takes for open."""

    def on_omitted(self, value: Any) -> None:
        """Note the value of a closed entry that the reader does not keep."""
