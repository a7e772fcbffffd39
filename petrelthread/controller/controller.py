"""The composition root: builds the components of a controller and connects them."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any

from petrelthread.admin import Admin, AlertTracker, active_conditions
from petrelthread.controller.housekeeping import Housekeeping
from petrelthread.controller.provisioning_loop import ProvisioningLoop
from petrelthread.controller.routes import PeerRoutes, PublicRoutes
from petrelthread.controller.scheduling_loop import SchedulingLoop
from petrelthread.controller.state_changes import StateChangeHandler
from petrelthread.controller.write_rate_manager import WriteRateManager
from petrelthread.fleet import (
    CommandDispatcher,
    CommandPlanner,
    FailureDetector,
    Fleet,
    FleetCallbacks,
    HeartbeatHandler,
    WorkerStatusReader,
    ZoneMonitor,
)
from petrelthread.history import JobRestorer, ReadBudget, StoredJobReader
from petrelthread.http import LoadShedder, Response
from petrelthread.job_api import JobApi
from petrelthread.leadership import ACTIVE_ROLES, ClaimWriter, Election, Role
from petrelthread.pause_detector import PauseDetector
from petrelthread.peers import PeerHeartbeat, PeerMonitor
from petrelthread.provisioning import (
    CloudClient,
    Provisioner,
    ProvisioningContext,
    ProvisioningOptions,
)
from petrelthread.scheduling import ClusterView, RunTimeEstimates, Scheduler
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, InternedNames, StoredJobs
from petrelthread.store import SendRequest, StateClient, TokenBucket, WatchCache, WriteRates

log = logging.getLogger(__name__)

STATE_SERVICE_SHARE = 0.9  # share of the state service's limits that all controllers use
CLOUD_SHARE = 0.85  # share of the cloud's limit; not divided, since the leader makes the calls
CLOUD_BURST_S = 2.0  # seconds' worth of calls that the cloud accepts in one burst
# Share of the write burst that deletions of settled records, which are no longer needed, leave for
# other writes.
CLEANUP_RESERVE_SHARE = 0.5
# Without a completed read for this long, the state service counts as unreachable.
STATE_SERVICE_TIMEOUT_S = 3.0
MAX_CONCURRENT_COMMANDS = 24  # default limit on simultaneous direct requests to workers
LEADER_POLL_INTERVAL_S = 0.03  # pause between two watches of the state service
FOLLOWER_POLL_INTERVAL_S = 0.15
UNLIMITED_CACHE_GB = 1e9  # assumed for the image cache of a machine of unknown type


class Controller:
    """One controller of the cluster; ``run`` runs its loops.

    ``handle`` answers requests to the public address, ``handle_peer`` those to the peer address.
    """

    def __init__(
        self,
        settings: Settings,
        request: SendRequest,
        randomness: random.Random,
        worker_request: SendRequest | None = None,
        max_concurrent_commands: int = MAX_CONCURRENT_COMMANDS,
        lease_request: SendRequest | None = None,
    ) -> None:
        """Build and connect all components; nothing is sent before ``run``.

        Args:
            settings: the settings that the platform supplies.
            request: sends HTTP requests.
            randomness: source of nonces, and of delays that differ between controllers.
            worker_request: sends requests to workers; ``request`` if None.
            max_concurrent_commands: how many requests to workers may be in flight.
            lease_request: sends lease renewals, so that they never queue behind other requests;
                ``request`` if None.
        """
        self.settings = settings
        self.pause_detector = PauseDetector(self._on_process_resumed)
        self.load_shedder = LoadShedder()  # for requests to the public address
        self.alerts = AlertTracker()
        self._build_state(request, lease_request)
        self._build_leadership(randomness)
        self._build_fleet(worker_request or request, max_concurrent_commands)
        self._build_scheduling()
        self._build_provisioning(request)
        self._build_apis(request)
        self._build_loops()

    # ---- construction --------------------------------------------------------------------------

    def _build_state(self, request: SendRequest, lease_request: SendRequest | None) -> None:
        cluster = self.settings.cluster
        controllers = max(1, cluster.count)
        write_rates = WriteRates.divide(cluster.state.write_rps, controllers)
        request_rate = cluster.state.rps * STATE_SERVICE_SHARE / controllers
        write_rate = cluster.state.write_rps * STATE_SERVICE_SHARE / controllers
        self.state_client = StateClient(
            request,
            self.settings.endpoints.state,
            TokenBucket(request_rate, request_rate / 2),
            TokenBucket(write_rate, write_rates.burst),
            lease_request,
        )
        self.write_rates = WriteRateManager(
            self.settings, self.state_client, write_rates, lambda: self.election.role
        )
        names = InternedNames([team.name for team in cluster.teams], cluster.zones)
        self.cluster_state = ClusterState(names)
        self.watch_cache = WatchCache(
            self.state_client,
            self._on_key,
            FOLLOWER_POLL_INTERVAL_S,
            StoredJobs(self.cluster_state),
        )
        self.stored_job_reader = StoredJobReader(
            self.state_client, ReadBudget(self.state_client.request_bucket)
        )
        self._job_restorer = JobRestorer(self.cluster_state, self.stored_job_reader)

    def _build_leadership(self, randomness: random.Random) -> None:
        self.election = Election(
            self.settings.host_name,
            self.state_client,
            self.watch_cache,
            self.settings.lease_grace_s,
            randomness,
            self,
        )
        self.claims = ClaimWriter(self.state_client, self.election.fence)

    def _build_fleet(self, worker_request: SendRequest, max_concurrent_commands: int) -> None:
        workers = self.settings.cluster.workers
        self.estimates = RunTimeEstimates()
        self.fleet = Fleet(
            self.cluster_state,
            workers.lease_s,
            workers.report_s,
            self.settings.lease_grace_s,
            FleetCallbacks(
                on_change=lambda: self.scheduler.wake.set(),
                on_replicas_lost=lambda: self.provisioner.wake.set(),
                on_run_time=self.estimates.add_run_time,
                image_cache_gb=self._image_cache_gb,
                on_unknown_job=self._job_restorer.request,
                state_current_as_of=lambda: self.watch_cache.current_as_of,
            ),
        )
        self.failure_detector = FailureDetector(self.fleet)
        self.command_planner = CommandPlanner(self.fleet)
        self.heartbeat_handler = HeartbeatHandler(
            self.settings.host_name, self.election, self.fleet, self.command_planner
        )
        command_slots = asyncio.Semaphore(max_concurrent_commands)
        self.command_dispatcher = CommandDispatcher(
            self.fleet, worker_request, command_slots, lambda: self.election.may_start_tasks
        )
        self.worker_status_reader = WorkerStatusReader(
            self.fleet, self.failure_detector, worker_request, command_slots
        )
        self.zone_monitor = ZoneMonitor(workers.report_s)

    def _build_scheduling(self) -> None:
        self.cluster_view = ClusterView(
            self.settings,
            self.cluster_state,
            self.fleet,
            lambda: self.provisioner.machine_types,
            self.estimates,
        )
        self.scheduler = Scheduler(
            self.settings,
            self.cluster_state,
            self.fleet,
            self.claims,
            self.command_dispatcher,
            self.cluster_view,
            self.watch_cache.refresh,
            lambda now: self.state_client.write_bucket.available(now, CLEANUP_RESERVE_SHARE),
        )

    def _build_provisioning(self, request: SendRequest) -> None:
        cloud_rate = self.settings.cluster.cloud.rps * CLOUD_SHARE
        bucket = TokenBucket(cloud_rate, CLOUD_BURST_S * cloud_rate)
        context = ProvisioningContext(
            self.settings,
            self.cluster_state,
            self.fleet,
            self.claims,
            CloudClient(request, self.settings.endpoints.cloud, bucket),
            self.election,
        )
        self.provisioner = Provisioner(
            context,
            self.scheduler,
            self.cluster_view,
            lambda: self._state_change_handler.provisioning_options,
            self.zone_monitor.cut_off_since,
        )
        self._state_change_handler = StateChangeHandler(
            self.election, self.cluster_state, self.scheduler, self.provisioner
        )

    def _build_apis(self, request: SendRequest) -> None:
        self.job_api = JobApi(
            self.settings,
            self.cluster_state,
            self.watch_cache,
            self.state_client,
            self.provisioner.catalog,
            self.stored_job_reader,
        )
        self.peer_monitor = PeerMonitor(
            self.settings.siblings,
            request,
            self._own_heartbeat,
            lambda heartbeat: self.election.observe_epoch(heartbeat.epoch),
            lambda heartbeat: self.write_rates.lend(heartbeat, self.peer_monitor),
            self.write_rates.quota.record_loan,
        )
        self.admin = Admin(self, request)
        self._public_routes = PublicRoutes(
            self.job_api,
            self.heartbeat_handler,
            self.watch_cache,
            self.peer_monitor,
            self.pause_detector,
        )
        self._peer_routes = PeerRoutes(self.peer_monitor, self.admin, self.pause_detector)

    def _build_loops(self) -> None:
        self.scheduling_loop = SchedulingLoop(
            self.election,
            self.claims,
            self.fleet,
            self.failure_detector,
            self.worker_status_reader,
            self.scheduler,
            self.pause_detector,
            self.load_shedder,
        )
        self._provisioning_loop = ProvisioningLoop(
            self.election,
            self.claims,
            self.cluster_state,
            self.provisioner,
            self.pause_detector,
            self.settings.cluster.state.value_kb,
        )
        self._housekeeping = Housekeeping(
            self.settings,
            self.election,
            self.watch_cache,
            self.write_rates,
            self.peer_monitor,
            self.pause_detector,
            self.fleet,
            self.heartbeat_handler,
            self.worker_status_reader,
            self.zone_monitor,
            self.cluster_view,
            self.stored_job_reader,
            self._update_alerts,
        )

    # ---- loops and requests --------------------------------------------------------------------

    async def run(self) -> None:
        """Run all loops until cancelled."""
        self.write_rates.start()
        await asyncio.gather(
            self.watch_cache.follow(),
            self.election.run(),
            self.peer_monitor.run(),
            self.scheduling_loop.run(),
            self._provisioning_loop.run(),
            self._housekeeping.run(),
        )

    async def handle(self, method: str, target: str, body: bytes) -> Response:
        """Answer a request of a user, a worker or a health check."""
        return await self._public_routes.handle(method, target, body)

    async def handle_peer(self, method: str, target: str, body: bytes) -> Response:
        """Answer a request of a sibling or an operator."""
        return await self._peer_routes.handle(method, target, body)

    @property
    def provisioning_options(self) -> ProvisioningOptions:
        """The provisioning options in force, as set by operators."""
        return self._state_change_handler.provisioning_options

    # ---- events --------------------------------------------------------------------------------

    def _on_key(self, key: str, value: Any, revision: int) -> None:
        self._state_change_handler.on_key(key, value, revision)

    def on_role_changed(self, role: Role) -> None:
        """Adapt to a new role; see ``LeadershipListener``."""
        active = role in ACTIVE_ROLES
        if not active:
            self.fleet.step_down()
        self.write_rates.update(self.peer_monitor, asyncio.get_running_loop().time())
        self.watch_cache.poll_interval_s = (
            LEADER_POLL_INTERVAL_S if active else FOLLOWER_POLL_INTERVAL_S
        )
        if role is Role.LEADING:
            # The provisioner reads the catalog; submissions are refused until it is known.
            self.provisioner.wake.set()
            self.scheduler.wake.set()

    def on_fencing_token_raised(self, token: int) -> None:
        """Send all further commands with the raised fencing token."""
        self.fleet.fencing_token = token

    async def on_elected(self) -> None:
        """Rebuild the in-memory state of a leader from the stored state, which was just read."""
        now = asyncio.get_running_loop().time()
        epoch = self.election.epoch
        self.fleet.begin_leadership(epoch, now, self.cluster_state.recorded_machines())
        self.fleet.fencing_token = self.election.fencing_token
        self.scheduler.begin_epoch(epoch)
        self.provisioner.begin_epoch(now)
        self.zone_monitor.clear()
        self.heartbeat_handler.discard_recent_heartbeats()
        attempts = self.cluster_state.attempts_by_machine.values()
        log.info(
            "failover with epoch %d: state read up to revision %d (%.2f s ago);"
            " %d open jobs, %d starts and %d cloud operations to settle",
            epoch,
            self.watch_cache.revision,
            now - self.watch_cache.current_as_of,
            len(self.cluster_state.open_jobs),
            sum(len(on_machine) for on_machine in attempts),
            len(self.provisioner.operations),
        )
        self.scheduler.wake.set()

    def _on_process_resumed(self, _pause_s: float, now: float) -> None:
        """Discard evidence from before a process pause, which is at least as old as the pause."""
        self.election.on_process_resumed()
        self.fleet.resumed_at = now
        self.peer_monitor.last_received.clear()
        self.heartbeat_handler.discard_recent_heartbeats()

    def _own_heartbeat(self) -> PeerHeartbeat:
        now = asyncio.get_running_loop().time()
        return PeerHeartbeat(
            self.settings.host_name,
            self.election.highest_known_epoch,
            self.election.is_leader,
            now - self.watch_cache.current_as_of < STATE_SERVICE_TIMEOUT_S,
            self.heartbeat_handler.recent_heartbeat_count(now),
            self.settings.zone,
            requested_write_rate=self.write_rates.requested_rate(now),
        )

    def _update_alerts(self, now: float) -> None:
        self.alerts.update(active_conditions(self, now), now)

    def _image_cache_gb(self, machine_type_index: int) -> float:
        machine_type = self.provisioner.machine_types.get(machine_type_index)
        return machine_type.local_disk_gb if machine_type else UNLIMITED_CACHE_GB
