"""What the administration API sees of a controller."""

from __future__ import annotations

from typing import Protocol

from petrelthread.admin.alerts import AlertTracker
from petrelthread.fleet import Fleet, ZoneMonitor
from petrelthread.http import LoadShedder
from petrelthread.leadership import Election
from petrelthread.pause_detector import PauseDetector
from petrelthread.peers import PeerMonitor
from petrelthread.provisioning import Provisioner
from petrelthread.scheduling import ClusterView, Scheduler
from petrelthread.settings import Settings
from petrelthread.state import ClusterState
from petrelthread.store import StateClient, WatchCache


class ControllerParts(Protocol):
    """The parts of a controller that views and alerts read; none of them changes anything."""

    @property
    def settings(self) -> Settings:
        """The settings file."""

    @property
    def state(self) -> StateClient:
        """The client of the state service."""

    @property
    def cluster_state(self) -> ClusterState:
        """Jobs, attempts and records, as stored."""

    @property
    def watch_cache(self) -> WatchCache:
        """How current the stored state is here."""

    @property
    def election(self) -> Election:
        """Who leads."""

    @property
    def peer_monitor(self) -> PeerMonitor:
        """Siblings' heartbeats."""

    @property
    def fleet(self) -> Fleet:
        """Machines, as the leader knows them."""

    @property
    def zone_monitor(self) -> ZoneMonitor:
        """Zones that are cut off."""

    @property
    def view(self) -> ClusterView:
        """Demand and free capacity."""

    @property
    def scheduler(self) -> Scheduler:
        """Placement rounds."""

    @property
    def provisioner(self) -> Provisioner:
        """Operations in the cloud."""

    @property
    def pause_detector(self) -> PauseDetector:
        """Pauses of this process."""

    @property
    def load_shedder(self) -> LoadShedder:
        """Requests that were refused for overload."""

    @property
    def alerts(self) -> AlertTracker:
        """Conditions that operators should know of."""
