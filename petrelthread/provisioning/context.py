"""Collaborators shared by the parts of the provisioner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from petrelthread.fleet import Fleet
from petrelthread.leadership import ClaimWriter
from petrelthread.provisioning.cloud import CloudClient
from petrelthread.settings import Settings
from petrelthread.state import ClusterState


class Leadership(Protocol):
    """Tells whether this controller may act as the leader."""

    @property
    def is_leader(self) -> bool:
        """True while this controller is the leader and its lease has not expired."""


class RecordCleanup(Protocol):
    """Deletes stored records that are no longer needed."""

    obsolete_keys: list[str]  # keys to delete, without the common prefix


@dataclass(frozen=True, slots=True)
class ProvisioningContext:
    """Collaborators that most parts of the provisioner use."""

    settings: Settings
    cluster_state: ClusterState
    fleet: Fleet
    claims: ClaimWriter
    cloud: CloudClient
    leadership: Leadership
