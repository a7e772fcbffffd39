"""One controller: the slices put together, and who is told of what."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any

import msgspec

from petrelthread import protocol
from petrelthread.admin import Admin, with_defaults
from petrelthread.admin.alerts import AlertTracker, active_conditions
from petrelthread.admin.api import PREFIX as ADMIN_PREFIX
from petrelthread.admin.setting_definitions import provisioning_options
from petrelthread.fleet import (
    CommandDispatcher,
    CommandPlanner,
    FailureDetector,
    Fleet,
    FleetCallbacks,
    HeartbeatHandler,
    ZoneMonitor,
)
from petrelthread.fleet.failure_detector import FIND_LEADER_S
from petrelthread.http import LoadShedder, Response, json_response
from petrelthread.http.server import error_response
from petrelthread.job_api import JobApi
from petrelthread.leadership import ACTIVE_ROLES, ClaimOutcome, ClaimWriter, Election, Role
from petrelthread.pause_detector import PauseDetector
from petrelthread.peers import PeerHeartbeat, PeerMonitor
from petrelthread.peers.peer_monitor import PEER_HEARTBEAT_PATH
from petrelthread.provisioning import CloudClient, ProvisioningOptions
from petrelthread.provisioning.provisioner import Provisioner
from petrelthread.scheduling.cluster_view import ClusterView, RunTimeEstimates
from petrelthread.scheduling.scheduler import MIN_RECORD_NUMBERS_LEFT, Scheduler
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, InternedNames, epoch_of
from petrelthread.store import (
    KEY_PREFIX,
    Request,
    StateClient,
    TokenBucket,
    WatchCache,
    WriteQuota,
    WriteRates,
)

log = logging.getLogger(__name__)

STATE_SERVICE_SHARE = 0.9  # of the state service's limits, over all controllers
PEER_TIMEOUT_S = 10.0  # a sibling not heard for so long is likely to write nothing
BORROW_AFTER_S = 20.0  # since the start, and since the service last refused us for our rate
CLEAN_UP_KEEPS = 0.5  # of the write burst that dropping settled records leaves untouched
ABSTAIN_S = 15.0
READY_S = 3.0
LOAD_LOG_INTERVAL_S = 5.0
FAILURE_CHECK_INTERVAL_S = 0.5
HOUSEKEEPING_INTERVAL_S = 0.5
READ_WORKERS_S = 15.0  # after its election a leader reads workers that do not come by themselves
MAX_CONCURRENT_COMMANDS = 24
PLAN_INTERVAL_S = 0.5  # between two rental plans, at least,
PLAN_SHARE = 0.1  # and as much longer as keeps planning within this share of the time
# The leader stores the catalogue for all. When each controller asked the cloud itself at the start,
# that took most of the burst of calls that the first rentals needed.
CATALOG_OWN_S = 2.0


class Controller:
    def __init__(
        self,
        settings: Settings,
        request: Request,
        randomness: random.Random,
        commands: Request | None = None,
        commands_at_once: int = MAX_CONCURRENT_COMMANDS,
        lease_request: Request | None = None,
    ) -> None:
        """``commands``: what carries requests to workers, if not ``request``. ``lease_request``:
        what carries renewals of the leader's lease."""
        self.settings = settings
        cluster = settings.cluster
        workers = cluster.workers
        nodes = max(1, cluster.count)
        reads = cluster.state.rps * STATE_SERVICE_SHARE / nodes
        self._reads = TokenBucket(reads, reads / 2)
        self._write_limit = cluster.state.write_rps
        self._write_rates = WriteRates.divide(self._write_limit, nodes)
        self._writes = TokenBucket(
            self._write_limit * STATE_SERVICE_SHARE / nodes, self._write_rates.burst
        )
        self.write_quota = WriteQuota(self._write_rates.follower)
        self._writes_of_late = 0.0
        self._started_at = float("inf")
        names = InternedNames([team.name for team in cluster.teams], cluster.zones)
        self.cluster_state = ClusterState(names)
        state = StateClient(
            request, settings.endpoints.state, self._reads, self._writes, lease_request
        )
        self.state = state
        self.watch_cache = WatchCache(state, self._on_key, gap_s=0.15)
        hold_over_s = settings.lease_grace_s
        self.election = Election(
            settings.host_name,
            state,
            self.watch_cache,
            hold_over_s,
            randomness,
            self._on_elected,
            self._on_role,
            self._on_token,
        )
        claims = ClaimWriter(state, self.election.fence)
        self._claims = claims
        estimates = RunTimeEstimates()
        self.fleet = Fleet(
            self.cluster_state,
            workers.lease_s,
            workers.report_s,
            hold_over_s,
            FleetCallbacks(
                on_change=lambda: self.scheduler.wake.set(),
                on_replicas_lost=lambda: self.provisioner.wake.set(),
                on_run_time=estimates.learn,
                image_cache_gb=self._cache_gb,
                state_current_as_of=lambda: self.watch_cache.current_as_of,
            ),
        )
        self.view = ClusterView(
            settings,
            self.cluster_state,
            self.fleet,
            lambda: self.provisioner.machine_types,
            estimates,
        )
        self.failure_detector = FailureDetector(self.fleet)
        self.command_planner = CommandPlanner(self.fleet)
        self.heartbeat_handler = HeartbeatHandler(
            settings.host_name, self.election, self.fleet, self.command_planner
        )
        self.dispatch = CommandDispatcher(
            self.fleet,
            self.failure_detector,
            commands or request,
            commands_at_once,
            lambda: self.election.may_start_tasks,
        )
        self.scheduler = Scheduler(
            settings,
            self.cluster_state,
            self.fleet,
            claims,
            self.dispatch,
            self.view,
            self.watch_cache.refresh,
            lambda now: self._writes.available(now, CLEAN_UP_KEEPS),
        )
        cloud_rate = cluster.cloud.rps * 0.85
        cloud = CloudClient(
            request, settings.endpoints.cloud, TokenBucket(cloud_rate, 2 * cloud_rate)
        )
        self.options = ProvisioningOptions()
        self.zone_monitor = ZoneMonitor(workers.report_s)
        self.provisioner = Provisioner(
            settings,
            self.cluster_state,
            self.fleet,
            claims,
            cloud,
            self.scheduler,
            self.view,
            lambda: self.options,
            lambda: self.election.is_leader,
            self.zone_monitor.cut_off_since,
        )
        self.job_api = JobApi(
            settings, self.cluster_state, self.watch_cache, state, self.provisioner.catalog
        )
        self.peer_monitor = PeerMonitor(
            settings.siblings,
            request,
            self._heartbeat,
            self._on_heartbeat,
            self._lend,
            self.write_quota.record_loan,
        )
        self.pause_detector = PauseDetector(self._on_process_resumed)
        self.load_shedder = LoadShedder()  # of requests to the public address
        self.alerts = AlertTracker()
        self.admin = Admin(self, request)
        self._silent_s = 2.5 * workers.report_s + 4.0

    def _cache_gb(self, kind: int) -> float:
        machine_type = self.provisioner.machine_types.get(kind)
        return machine_type.local_disk_gb if machine_type else 1e9

    # ---- what the state service shows ----------------------------------------------------------

    def _on_key(self, key: str, value: Any, revision: int) -> None:
        if key in ("lead", "epoch"):
            self.election.on_key(key, value, revision)
            return
        if key == "catalog" and value is not None:
            try:
                self.provisioner.set_catalog(msgspec.convert(value, protocol.Catalog))
            except msgspec.ValidationError as error:
                log.warning("stored catalogue unusable: %s", error)
        before = len(self.cluster_state.jobs)
        if key == "options":
            self._apply_options(value or {})
        kind, _, rest = key.partition("/")
        leading = self.election.role is Role.LEADING
        acting = self.election.role in ACTIVE_ROLES
        if acting and kind == "r" and value is not None and self._own_round(int(rest), value):
            return
        self.cluster_state.on_key(key, value, revision)
        if kind == "j" and len(self.cluster_state.jobs) > before and leading:
            job = self.cluster_state.jobs[-1]
            now = asyncio.get_running_loop().time()
            self.provisioner.forecast.note_accepted(job, now)
            self.scheduler.wake.set()
            self.provisioner.wake.set()
        elif kind == "f" and leading:
            self.scheduler.wake.set()

    def _own_round(self, number: int, record: Any) -> bool:
        """Whether a record that the watch shows is dealt with here, as one of this very epoch."""
        if self.scheduler.defer_record(number, record):
            return True
        if (
            number in self.cluster_state.attempts_by_round
            or epoch_of(number) != self.election.epoch
        ):
            return False
        # A claim of ours that counted although we had given it up, so that nothing of it was
        # sent; or a late copy of one that was settled, struck out, and so could be made again.
        self.cluster_state.settle_unsent_round(number)
        return True

    def _apply_options(self, stored: dict[str, Any]) -> None:
        values = with_defaults(stored)
        self.options = provisioning_options(values)
        self.scheduler.round_interval_s = values["round_gap_s"]
        self.scheduler.round_budget_s = values["round_budget_s"]
        log.info("operators' settings: %s", stored or "all at their defaults")

    # ---- leadership ------------------------------------------------------------------------------

    def _on_role(self, role: Role) -> None:
        acting = role in ACTIVE_ROLES
        if not acting:
            self.fleet.step_down()
        self._set_write_rate(asyncio.get_running_loop().time())
        self.watch_cache.poll_interval_s = 0.03 if acting else 0.15
        if role is Role.LEADING:
            # At once: until the catalogue is read, the first users are sent away for a second.
            self.provisioner.wake.set()
            self.scheduler.wake.set()

    def _on_token(self, token: int) -> None:
        self.fleet.fencing_token = token

    async def _on_elected(self) -> None:
        now = asyncio.get_running_loop().time()
        epoch = self.election.epoch
        self.fleet.fail_over(epoch, now, self.cluster_state.recorded_machines())
        self.fleet.fencing_token = self.election.fencing_token
        self.scheduler.fail_over(epoch)
        self.provisioner.fail_over(now)
        self.zone_monitor.clear()
        self.heartbeat_handler.reset_recent()
        unknown = sum(len(there) for there in self.cluster_state.attempts_by_machine.values())
        log.info(
            "take-over with epoch %d: state read up to revision %d (%.2f s ago);"
            " %d open jobs, %d starts and %d cloud calls to settle",
            epoch,
            self.watch_cache.revision,
            now - self.watch_cache.current_as_of,
            len(self.cluster_state.open_jobs),
            unknown,
            len(self.provisioner.operations),
        )
        self.scheduler.wake.set()

    def _on_process_resumed(self, stood_s: float, now: float) -> None:
        """Judge anew what may be older than it looks."""
        self.election.on_process_resumed()
        self.fleet.resumed_at = now
        self.peer_monitor.last_received.clear()
        self.heartbeat_handler.reset_recent()

    def _heartbeat(self) -> PeerHeartbeat:
        now = asyncio.get_running_loop().time()
        return PeerHeartbeat(
            self.settings.host_name,
            self.election.highest_known_epoch,
            self.election.is_leader,
            now - self.watch_cache.current_as_of < READY_S,
            self.heartbeat_handler.recent_count(now),
            self.settings.zone,
            requested_write_rate=self.write_quota.base
            if self._writes.is_low(now) and self._may_ask(now)
            else 0.0,
        )

    def _on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        self.election.observe_epoch(heartbeat.epoch)

    def _lend(self, heartbeat: PeerHeartbeat) -> float:
        now = asyncio.get_running_loop().time()
        # Only who has not written for a while lends.
        asks = heartbeat.requested_write_rate if self._writes.is_full(now) else 0.0
        amount = self.write_quota.lend(heartbeat.node, asks, self._writes_of_late, now)
        self._set_write_rate(now)
        return amount

    def _may_ask(self, now: float) -> bool:
        """A follower always: at the start the users of all may come to the two that are up first,
        who sent them away though the others wrote nothing. The leader not while bursts are spent:
        what it wrote on loans then was refused to submissions, whose users came back 1 s later.
        """
        if self.election.role not in ACTIVE_ROLES:
            return True
        refused = now - self.state.rate_limited_at < BORROW_AFTER_S
        return not refused and now - self._started_at > BORROW_AFTER_S

    def _learn_write_limit(self) -> None:
        """A refused write shows that the service may have lowered its limit, as was announced."""
        lowered = self.settings.cluster.state.lowered_write_rps
        if not self.state.write_rate_limited or self._write_limit <= lowered:
            return
        log.info("the state service takes %.0f writes a second from now on", lowered)
        self._write_limit = lowered
        self._write_rates = WriteRates.divide(lowered, max(1, self.settings.cluster.count))
        self._writes.burst = max(self._write_rates.burst, 1.0)

    def _set_write_rate(self, now: float) -> None:
        self._learn_write_limit()
        unheard = len(self.settings.siblings) - len(self.peer_monitor.recent(PEER_TIMEOUT_S))
        if self.election.role not in ACTIVE_ROLES or not self._may_ask(now):
            unheard = 0
        rates = self._write_rates
        self.write_quota.base = (
            rates.leader if self.election.role in ACTIVE_ROLES else rates.follower
        )
        # Beyond its share a leader may use, for siblings not heard from, half of what they have;
        # they may be alive. Together with what we leave free that stays within the limit.
        idle = unheard * rates.follower / 2
        self.write_quota.extra = min(rates.unused, idle)
        self._writes.set_rate(self.write_quota.rate(now), now)

    # ---- requests --------------------------------------------------------------------------------

    async def handle(self, method: str, target: str, body: bytes) -> Response:
        self.pause_detector.check(asyncio.get_running_loop().time())
        path = target.partition("?")[0]
        if path == protocol.HEARTBEAT_PATH:
            return (
                self.heartbeat_handler.handle(body)
                if method == "POST"
                else error_response(405, "use POST")
            )
        if path == protocol.JOBS_PATH or path.startswith(protocol.JOBS_PATH + "/"):
            return await self.job_api.handle(method, path, body)
        if path == protocol.READY_PATH:
            return self._ready() if method == "GET" else error_response(405, "use GET")
        return error_response(404, "no such path")

    async def handle_peer(self, method: str, target: str, body: bytes) -> Response:
        self.pause_detector.check(asyncio.get_running_loop().time())
        path = target.partition("?")[0]
        if path == PEER_HEARTBEAT_PATH:
            return await self.peer_monitor.handle(method, body)
        if path.startswith(ADMIN_PREFIX):
            return await self.admin.handle(method, target, body)
        return error_response(404, "no such path")

    def _ready(self) -> Response:
        now = asyncio.get_running_loop().time()
        if not self.watch_cache.loaded.is_set():
            return error_response(503, "still starting", 1)
        # Refused by the state service alone, others serve better. If it is down for all, to leave
        # would only add the way back to the outage.
        alone = any(heartbeat.state_service_ok for heartbeat in self.peer_monitor.recent(3.0))
        if alone and now - self.watch_cache.current_as_of > READY_S:
            return error_response(503, "state service unreachable", 1)
        return json_response(200, {"ready": True})

    # ---- loops -----------------------------------------------------------------------------------

    async def run(self) -> None:
        self._started_at = asyncio.get_running_loop().time()
        await asyncio.gather(
            self.watch_cache.follow(),
            self.election.run(),
            self.peer_monitor.run(),
            self._round_loop(),
            self._provisioning_loop(),
            self._housekeeping(),
        )

    async def _round_loop(self) -> None:
        wake = self.scheduler.wake
        silence_at = 0.0
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await wake.wait()
            except TimeoutError:
                pass
            wake.clear()
            self.pause_detector.check(asyncio.get_running_loop().time())
            if not self.election.is_leader:
                await asyncio.sleep(0.05)
                continue
            now = asyncio.get_running_loop().time()
            try:
                if now - silence_at >= FAILURE_CHECK_INTERVAL_S:
                    silence_at = now
                    self.failure_detector.check(now, self._silence_limit_s(now))
                    self.dispatch.probe(now)
                    await self._make_starts_void(now)
                if self.scheduler.record_numbers_left() < MIN_RECORD_NUMBERS_LEFT:
                    await self.election.resign("the numbers of this epoch are used up", 0.0)
                elif await self.scheduler.run_round(now):
                    wake.set()
            except Exception:
                log.exception("round failed")
            await asyncio.sleep(self.scheduler.round_interval_s)

    async def _make_starts_void(self, now: float) -> None:
        """Raise the fencing token when starts without an answer must not be carried out any more"""
        uncertain = self.fleet.unacknowledged_starts
        reason = uncertain.raise_reason(self.election.fencing_token, now)
        if reason is None:
            return
        log.info("raising the token: %s (%d uncertain)", reason.value, uncertain.count())
        await self._claims.run_exclusive(self.election.raise_fencing_token)
        uncertain.on_raise_attempted(asyncio.get_running_loop().time())

    def _silence_limit_s(self, now: float) -> float:
        """How long a machine may be silent.

        While reports are turned away for want of processor time their lack proves little: machines
        that were well were returned by the hundred. What the lease proves holds all the same.
        """
        overloaded = now - self.load_shedder.last_shed_at < self._silent_s
        return max(self._silent_s, self.fleet.lease_s) if overloaded else self._silent_s

    async def _provisioning_loop(self) -> None:
        started = asyncio.get_running_loop().time()
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await self.provisioner.wake.wait()
            except TimeoutError:
                pass
            self.provisioner.wake.clear()
            now = asyncio.get_running_loop().time()
            self.pause_detector.check(now)
            pause_s = PLAN_INTERVAL_S
            try:
                if self.election.is_leader:
                    await self.provisioner.step(now)
                    await self._store_catalog()
                    pause_s = max(pause_s, self.provisioner.last_plan_duration_s / PLAN_SHARE)
                elif not self.provisioner.machine_types and now - started > CATALOG_OWN_S:
                    await self.provisioner.read_catalog(now)
            except Exception:
                log.exception("rental step failed")
            await asyncio.sleep(pause_s)

    async def _store_catalog(self) -> None:
        """So that a controller started while the cloud is down still knows the machine types."""
        if self.cluster_state.catalog is not None or not self.provisioner.machine_types:
            return
        value = msgspec.to_builtins(protocol.Catalog(self.provisioner.catalog() or ()))
        if len(msgspec.json.encode(value)) > self.settings.cluster.state.value_kb * 1000:
            return
        outcome, _ = await self._claims.claim(
            [protocol.PutOperation(KEY_PREFIX + "catalog", value)], "catalog"
        )
        if outcome is ClaimOutcome.COMMITTED:
            self.cluster_state.catalog = value

    async def _housekeeping(self) -> None:
        loop = asyncio.get_running_loop()
        late_s, told_at = 0.0, loop.time()
        taken = 0.0
        while True:
            asked = loop.time()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = loop.time()
            self.pause_detector.check(now)
            self.alerts.update(active_conditions(self, now), now)
            late_s = max(late_s, now - asked - HOUSEKEEPING_INTERVAL_S)
            lately = (self._writes.total_acquired - taken) / max(now - asked, 0.1)
            taken = self._writes.total_acquired
            self._writes_of_late += (lately - self._writes_of_late) * 0.3
            self._set_write_rate(now)
            if now - told_at > LOAD_LOG_INTERVAL_S:
                if self.election.is_leader and log.isEnabledFor(logging.DEBUG):
                    log.debug(
                        "load: %s; late by %.2f s at most; token %d, %d starts uncertain,"
                        " the oldest for %.1f s",
                        self.view.load_summary(),
                        late_s,
                        self.election.fencing_token,
                        self.fleet.unacknowledged_starts.count(),
                        self.fleet.unacknowledged_starts.oldest_age_s(now),
                    )
                late_s, told_at = 0.0, now
            if self.watch_cache.loaded.is_set() and now - self.watch_cache.current_as_of > 1.0:
                await self.watch_cache.refresh()
            await self._judge_hearing(now)
            if self.election.is_leader:
                self._judge_zones(now)
                if now - self.election.elected_at < READ_WORKERS_S:
                    self.dispatch.read_workers(now, late_s=now - asked - HOUSEKEEPING_INTERVAL_S)

    def _judge_zones(self, now: float) -> None:
        """Say plainly when a zone falls over, and when it is back."""
        names = self.cluster_state.names.zones
        nodes = {names.index(zone): heard for zone, heard in self._zones_heard().items()}
        machines = self.fleet.machines.values()
        begun = max(self.election.elected_at, self.pause_detector.resumed_at)
        fallen, back = self.zone_monitor.update(machines, nodes, begun, now)
        for zone in sorted(fallen):
            log.warning("zone %s is cut off: nothing in it is heard", names.name(zone))
        for zone in sorted(back):
            log.info("zone %s is heard again", names.name(zone))

    def _zones_heard(self) -> dict[str, bool]:
        """For each zone with controllers, whether one of them was heard lately."""
        fresh = {heartbeat.node for heartbeat in self.peer_monitor.recent(3.0)}
        heard = {self.settings.zone: True} if self.settings.zone else {}
        for sibling in self.settings.siblings:
            if sibling.zone:
                heard[sibling.zone] = heard.get(sibling.zone, False) or sibling.host_name in fresh
        return heard

    async def _judge_hearing(self, now: float) -> None:
        """A leader that no worker reaches, while its siblings hear them, gives the lead away."""
        election = self.election
        begun = max(election.elected_at, self.pause_detector.resumed_at)
        if not election.is_leader or now - begun < self.heartbeat_handler.window_s + FIND_LEADER_S:
            return
        if self.heartbeat_handler.recent_count(now) == 0:
            heard = sum(heartbeat.worker_heartbeats for heartbeat in self.peer_monitor.recent(3.0))
            if heard >= 2:
                log.info("no worker reaches this node, siblings hear %d reports", heard)
                await election.resign("workers do not reach this node", ABSTAIN_S)
