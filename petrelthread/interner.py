"""Interning: maps external names to the small integers that the scheduler uses for them."""

from __future__ import annotations

from collections.abc import Iterable


class Interner:
    """Assigns the indices 0, 1, 2 and so on to one kind of name; an index is never reused."""

    def __init__(self) -> None:
        self._index: dict[str, int] = {}
        self._names: list[str] = []

    def index(self, name: str) -> int:
        """The index of a name; a new name gets the next free index."""
        found = self._index.get(name)
        if found is None:
            found = self._index[name] = len(self._names)
            self._names.append(name)
        return found

    def find(self, name: str) -> int | None:
        """The index of a name, or None if it has none yet."""
        return self._index.get(name)

    def name(self, index: int) -> str:
        """The name that has an index."""
        return self._names[index]

    def __len__(self) -> int:
        return len(self._names)


class InternedNames:
    """One interner for each kind of name.

    Indices differ between controllers, so they are neither stored nor sent.
    """

    def __init__(self, teams: Iterable[str] = (), zones: Iterable[str] = ()) -> None:
        self.teams = Interner()
        self.zones = Interner()
        self.machine_types = Interner()
        self.images = Interner()
        self.machines = Interner()
        self.job_classes = Interner()
        for team in teams:
            self.teams.index(team)
        for zone in zones:
            self.zones.index(zone)
