"""Names become dense indices at the door; everything inside works with the indices."""

from __future__ import annotations


class Interner:
    """Indices for one kind of name. They are never reused."""

    def __init__(self) -> None:
        self._index: dict[str, int] = {}
        self._names: list[str] = []

    def index(self, name: str) -> int:
        """The index of a name; a new name gets the next one."""
        found = self._index.get(name)
        if found is None:
            found = self._index[name] = len(self._names)
            self._names.append(name)
        return found

    def find(self, name: str) -> int | None:
        """The index of a name, or None if it has none yet."""
        return self._index.get(name)

    def name(self, index: int) -> str:
        """The name of an index."""
        return self._names[index]

    def __len__(self) -> int:
        return len(self._names)
