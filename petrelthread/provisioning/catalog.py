"""The cloud's catalog of machine types."""

from __future__ import annotations

import logging

from petrelthread import protocol
from petrelthread.provisioning.cloud import CloudClient, CloudError
from petrelthread.state import InternedNames

log = logging.getLogger(__name__)

CATALOG_INTERVAL_S = 60.0
FIRST_CATALOG_INTERVAL_S = 1.0  # time between two reads while the catalog is unknown


class MachineCatalog:
    """Machine types by interned index, read periodically from the cloud."""

    def __init__(self, cloud: CloudClient, names: InternedNames) -> None:
        self._cloud = cloud
        self._names = names
        self._read_at = float("-inf")
        self.machine_types: dict[int, protocol.MachineType] = {}

    def update(self, catalog: protocol.Catalog) -> None:
        """Add or replace the machine types of a catalog."""
        for machine_type in catalog.machine_types:
            index = self._names.machine_types.index(machine_type.name)
            self.machine_types[index] = machine_type

    def known_types(self) -> tuple[protocol.MachineType, ...] | None:
        """All machine types, or None while the catalog is unknown."""
        return tuple(self.machine_types.values()) or None

    async def read(self, now: float) -> bool:
        """Read the catalog if a read is due. Returns whether it is known."""
        interval_s = CATALOG_INTERVAL_S if self.machine_types else FIRST_CATALOG_INTERVAL_S
        if now - self._read_at >= interval_s:
            self._read_at = now
            try:
                self.update(await self._cloud.catalog())
            except CloudError as error:
                log.info("cloud: reading the catalog failed: %s", error)
        return bool(self.machine_types)
