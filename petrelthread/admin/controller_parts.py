"""The interface through which the administration API accesses a controller."""

from __future__ import annotations

from typing import Protocol

from petrelthread.admin.alerts import AlertTracker
from petrelthread.fleet import Fleet, ZoneMonitor
from petrelthread.history import StoredJobReader
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
    """The parts of a controller that the administration API uses.

    Views and alerts only read them. ``SettingsApi`` also writes the settings, through
    ``state_client``.
    """

    @property
    def settings(self) -> Settings:
        """The settings from the settings file."""

    @property
    def state_client(self) -> StateClient:
        """The client of the state service."""

    @property
    def cluster_state(self) -> ClusterState:
        """Jobs, attempts and records, as read from the state service."""

    @property
    def stored_job_reader(self) -> StoredJobReader:
        """Reads jobs that finished long ago from the state service."""

    @property
    def watch_cache(self) -> WatchCache:
        """The watch on the state service, which keeps ``cluster_state`` current."""

    @property
    def election(self) -> Election:
        """The leader election."""

    @property
    def peer_monitor(self) -> PeerMonitor:
        """The newest heartbeat of each sibling."""

    @property
    def fleet(self) -> Fleet:
        """Machines and their health; maintained on the leader only."""

    @property
    def zone_monitor(self) -> ZoneMonitor:
        """Detects unreachable zones."""

    @property
    def cluster_view(self) -> ClusterView:
        """Demand, team usage and free capacity."""

    @property
    def scheduler(self) -> Scheduler:
        """Decides placement rounds."""

    @property
    def provisioner(self) -> Provisioner:
        """Rents and returns machines; tracks the cloud operations."""

    @property
    def pause_detector(self) -> PauseDetector:
        """Detects pauses of this process."""

    @property
    def load_shedder(self) -> LoadShedder:
        """Sheds requests under overload, and counts them."""

    @property
    def alerts(self) -> AlertTracker:
        """Tracks how long each condition has been active."""
