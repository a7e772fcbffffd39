"""The leader's duty towards the cloud: rent, list, return, and settle what stayed unanswered."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Collection
from typing import Any

import msgspec

from petrelthread import protocol
from petrelthread.fleet import Fleet, Health, Machine
from petrelthread.leadership import ClaimOutcome, ClaimWriter
from petrelthread.provisioning.cloud import (
    CloudClient,
    CloudResultUnknownError,
    CloudUnavailableError,
    NoCapacityError,
)
from petrelthread.provisioning.demand import LATE_BOOT_FACTOR, DemandForecast
from petrelthread.provisioning.plan import (
    Offer,
    OfferBackoff,
    OwnedMachine,
    Plan,
    ProvisioningOptions,
    ScaleOutRequest,
    interleave,
    make_plan,
)
from petrelthread.scheduling.cluster_view import ClusterView
from petrelthread.scheduling.scheduler import Scheduler
from petrelthread.settings import Settings
from petrelthread.state import ClusterState, OperationState, ScaleOutRecord, transition
from petrelthread.store import KEY_PREFIX

log = logging.getLogger(__name__)

LIST_INTERVAL_S = 10.0
CATALOG_INTERVAL_S = 60.0
RETRY_INTERVAL_S = 1.5
MAX_REPLANS = 10
VALUE_SHARE = 0.8  # of the largest value that the state service takes
QUOTES_AND_COMMA = 3  # bytes that a name takes in a JSON list besides its letters
LOST_BOOT_FACTOR = 2.5  # and later than this it is given back


class CloudOperation:
    """One recorded call to the cloud."""

    __slots__ = ("in_flight", "key", "retry_at", "state", "unknown_at", "value")

    def __init__(self, key: str, value: Any, state: OperationState) -> None:
        self.key = key
        self.value = value
        self.state = state
        self.unknown_at = 0.0
        self.retry_at = 0.0
        self.in_flight = False


class Provisioner:
    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        fleet: Fleet,
        claims: ClaimWriter,
        cloud: CloudClient,
        scheduler: Scheduler,
        view: ClusterView,
        options: Callable[[], ProvisioningOptions],
        leading: Callable[[], bool],
        zones_down: Collection[int] = (),
    ) -> None:
        self._settings = settings
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._claims = claims
        self._cloud = cloud
        self._scheduler = scheduler
        self._view = view
        self._options = options
        self._leading = leading
        self._zones_down = zones_down
        self.offer_backoff = OfferBackoff()
        self.machine_types: dict[int, protocol.MachineType] = {}
        self.operations: dict[str, CloudOperation] = {}
        self.last_plan_duration_s = 0.0  # how long the newest plan took
        self._serial = 0
        self._listed_at = float("-inf")
        self._list_ok_at = float("-inf")  # when the newest list that was answered was asked for
        self._catalog_at = float("-inf")
        self.forecast = DemandForecast(
            settings, cluster_state, fleet, view, self.machine_types, zones_down
        )
        # That a worker may take to find a new leader and report to it.
        self._hear_s = 2 * settings.cluster.workers.report_s + 5.0
        # In one plan: as many as the cloud takes in a burst.
        self._calls = max(2, int(2 * settings.cluster.cloud.rps))
        self.wake = asyncio.Event()

    # ---- catalogue ---------------------------------------------------------------------------

    def set_catalog(self, catalog: protocol.Catalog) -> None:
        for machine_type in catalog.machine_types:
            self.machine_types[self._cluster_state.names.machine_types.index(machine_type.name)] = (
                machine_type
            )

    def catalog(self) -> tuple[protocol.MachineType, ...] | None:
        return tuple(self.machine_types.values()) or None

    async def read_catalog(self, now: float) -> bool:
        """Also followers need the machine types, to judge submissions."""
        if now - self._catalog_at < (CATALOG_INTERVAL_S if self.machine_types else 1.0):
            return bool(self.machine_types)
        self._catalog_at = now
        try:
            self.set_catalog(await self._cloud.catalog())
        except (CloudUnavailableError, CloudResultUnknownError, NoCapacityError) as error:
            log.info("cloud: no catalogue: %s", error)
        return bool(self.machine_types)

    # ---- take-over ---------------------------------------------------------------------------

    def fail_over(self, now: float) -> None:
        self.operations.clear()
        self._serial = 0
        self._listed_at = float("-inf")
        self.forecast.fail_over(now)
        for idempotency_key, record in self._cluster_state.scale_out_records.items():
            op = CloudOperation(f"c/{idempotency_key}", record, OperationState.UNKNOWN)
            op.unknown_at = now
            self.operations[op.key] = op
            if record.machine_names is not None:
                transition(op, OperationState.CONFIRMED)
                self._machines_of(op, record.machine_names, now)
        for number, names in self._cluster_state.scale_in_records.items():
            op = CloudOperation(f"x/{number}", names, OperationState.UNKNOWN)
            op.unknown_at = now
            self.operations[op.key] = op
            for name in names:
                machine = self._fleet.get_or_add(name, now)
                if machine.health is not Health.TERMINATED:
                    machine.transition(Health.TERMINATING)

    def _machines_of(self, op: CloudOperation, names: Collection[str], now: float) -> None:
        record: ScaleOutRecord = op.value
        for name in names:
            machine = self._fleet.get_or_add(name, now)
            if not machine.scale_out_key:
                machine.scale_out_key = op.key
                machine.machine_type = self._cluster_state.names.machine_types.index(
                    record.machine_type
                )
                machine.zone = self._cluster_state.names.zones.index(record.zone)
                machine.spot = record.spot
                machine.rented_at = now - max(0.0, time.time() - record.requested_at)

    # ---- the loop ----------------------------------------------------------------------------

    async def step(self, now: float) -> None:
        """One turn: settle, plan, make the calls, list."""
        await self.read_catalog(now)
        if self._listed_at == float("-inf") and (
            self._cluster_state.scale_out_records or self._fleet.machines
        ):
            # The list tells a new leader where its workers are, so that it can read them.
            await self._read_list(now)
        await self._settle(now)
        if not self.machine_types or not self._leading():
            return
        # Replicas return elsewhere as soon as their machine's return is confirmed: that first.
        await self._scale_in_all(
            [m for m in self._unresponsive() if self._fleet.hosts_replicas(m)], now
        )
        plan = self.plan_now(now)
        for machine in self._fleet.machines.values():
            machine.cordoned = machine.index in plan.cordoned
        rents = plan.scale_outs
        # An offer that gives less than was asked leaves the rest to the next one, at once.
        for _ in range(MAX_REPLANS):
            if not rents:
                break
            if await self._scale_out_all(rents) or not self._leading():
                break
            now = asyncio.get_running_loop().time()
            rents = self.plan_now(now).scale_outs
        await self._scale_in_all(self._machines_to_return(plan, now), now)
        if now - self._listed_at >= LIST_INTERVAL_S and self._leading():
            await self._read_list(asyncio.get_running_loop().time())

    async def _settle(self, now: float) -> None:
        for op in list(self.operations.values()):
            if not self._leading():
                return
            if op.state is not OperationState.UNKNOWN or op.in_flight or now < op.retry_at:
                continue
            if op.key.startswith("x/"):
                await self._send_scale_in(op, now)
                continue
            age_s = max(now - op.unknown_at, time.time() - op.value.requested_at)
            old = age_s > 4 * self._settings.cluster.cloud.list_lag_s + 5.0
            if self._cluster_state.open_jobs and not old:
                # Still wanted: the same charter again rents nothing twice.
                await self._send_scale_out(op, now)
            elif old and self._list_ok_at > op.unknown_at:
                # Not wanted, or so old that the plan has asked anew for what is: refused calls of
                # earlier leaders, not struck out yet, were repeated by the dozen at each take-over
                # and rented what nobody needed. Whatever a late request still rents shows in the
                # list, unrecorded: it is used, or idles there and goes back.
                log.info("operation superseded: rental %s, no longer wanted", op.key)
                transition(op, OperationState.SUPERSEDED)
                self._discard(op)

    def _discard(self, op: CloudOperation) -> None:
        self.operations.pop(op.key, None)
        self._cluster_state.scale_out_records.pop(op.key[2:], None)
        self._cluster_state.scale_in_records.pop(op.key[2:], None)
        self._scheduler.obsolete_keys.append(op.key)

    # ---- list ---------------------------------------------------------------------------------

    async def _read_list(self, now: float) -> None:
        self._listed_at = now
        try:
            listed = await self._cloud.list_machines()
        except (CloudUnavailableError, CloudResultUnknownError, NoCapacityError) as error:
            log.info("cloud: no list: %s", error)
            return
        self._list_ok_at = now
        names = set()
        for entry in listed:
            names.add(entry.name)
            fresh = self._fleet.find(entry.name) is None
            machine = self._fleet.get_or_add(entry.name, now)
            if fresh:
                log.info("machine %s is listed without a record", entry.name)
                machine.rented_at = now - entry.age_s
            machine.listed = True
            machine.address = machine.address or entry.address
            machine.machine_type = self._cluster_state.names.machine_types.index(entry.machine_type)
            machine.zone = self._cluster_state.names.zones.index(entry.zone)
            machine.spot = entry.spot
            if entry.status == protocol.MACHINE_FAILED and not machine.quarantine_reason:
                machine.quarantine_reason = "listed as failed"
                log.info("machine %s has failed", machine.name)
        for machine in self._fleet.machines.values():
            missing = machine.listed and machine.name not in names
            machine.missing_from_lists = machine.missing_from_lists + 1 if missing else 0
            # Twice: a list may be older than the one before, and lack a machine that has just come.
            gone = machine.missing_from_lists > 1 and not machine.quarantine_reason
            if gone and machine.health not in (Health.TERMINATED, Health.TERMINATING, Health.UP):
                machine.quarantine_reason = "no longer listed"
                log.info("machine %s is gone from the list", machine.name)

    # ---- plan ---------------------------------------------------------------------------------

    def _late(self, machine: Machine, now: float) -> bool:
        """Booting for so long that nobody should wait for it, though it may still come. To a new
        leader a machine that was idle looks the same until it reports, and must not be rented anew.
        """
        machine_type = self.machine_types.get(machine.machine_type)
        return (
            machine_type is not None
            and machine.health is Health.BOOTING
            and now - machine.rented_at > LATE_BOOT_FACTOR * machine_type.boot_s
            and now - machine.registered_at > self._hear_s
        )

    def late_boot_count(self, now: float) -> int:
        return sum(self._late(machine, now) for machine in self._fleet.machines.values())

    def _owned(
        self, machine: Machine, machine_type: protocol.MachineType, now: float
    ) -> OwnedMachine:
        there = self._fleet.attempts_on(machine)
        held = 0.0
        replicas = 0
        for attempt in there.values():
            if attempt.has_exited:
                continue
            if attempt.job.is_service:
                replicas += 1
            elif attempt.job.pending_count == 0:
                held += attempt.job.cores
        idle = machine.health is Health.UP and not there
        return OwnedMachine(
            machine.index,
            machine.machine_type,
            machine.zone,
            machine.spot,
            machine_type.cores,
            machine_type.accelerators,
            machine_type.ram_gb,
            machine_type.spot_price if machine.spot else machine_type.on_demand_price,
            now - machine.idle_since if idle else None,
            len(there),
            held,
            replicas,
        )

    def plan_now(self, now: float) -> Plan:
        """What to rent, return and retire as things stand now. Changes nothing there."""
        clock = asyncio.get_running_loop().time
        begun = clock()
        decided = self._plan(now)
        self.last_plan_duration_s = clock() - begun
        return decided

    def _plan(self, now: float) -> Plan:
        owned = []
        for machine in self._fleet.machines.values():
            machine_type = self.machine_types.get(machine.machine_type)
            if machine_type is None or machine.quarantine_reason:
                continue
            if machine.health not in (Health.UP, Health.BOOTING):
                continue
            if self._late(machine, now):
                continue
            if machine.health is Health.BOOTING and machine.zone in self._zones_down:
                continue
            owned.append(self._owned(machine, machine_type, now))
        offers = []
        for index, machine_type in self.machine_types.items():
            for zone_name in machine_type.zones:
                zone = self._cluster_state.names.zones.index(zone_name)
                if zone in self._zones_down:
                    continue  # what boots there is paid for and cannot be reached
                for spot in (True, False):
                    price = machine_type.spot_price if spot else machine_type.on_demand_price
                    if price > 0 and self.offer_backoff.is_available(index, zone, spot, now):
                        offers.append(
                            Offer(
                                index,
                                zone,
                                spot,
                                machine_type.cores,
                                machine_type.accelerators,
                                machine_type.ram_gb,
                                price,
                                machine_type.boot_s,
                                self.offer_backoff.last_filled(index, zone, spot),
                                bool(self._fleet.machines)
                                or self.offer_backoff.was_tried(index, zone, spot),
                            )
                        )
        options = self._options()
        reserve = self.forecast.urgent_reserve(now) * options.reserve_share
        return make_plan(
            self.forecast.demands(now),
            owned,
            offers,
            reserve,
            options,
            self._calls,
            self.forecast.standing_reserve(now),
        )

    # ---- return -------------------------------------------------------------------------------

    def _unresponsive(self) -> list[Machine]:
        """Those that are lost by themselves. If most fall silent at once, the trouble is rather
        ours or a network's: then none, until their leases have run out."""
        machines = self._fleet.machines.values()
        up = sum(m.health in (Health.UP, Health.DRAINING) for m in machines)
        silent = [m for m in machines if m.health is Health.UNRESPONSIVE]
        return [] if len(silent) >= 4 and len(silent) > up else silent

    def _idle(self, machine: Machine | None) -> bool:
        return (
            machine is not None
            and machine.health is Health.UP
            and machine.index not in self._cluster_state.attempts_by_machine
        )

    def _machines_to_return(self, plan: Plan, now: float) -> list[Machine]:
        machines = self._fleet.machines
        # Rentals were made since the plan: what got work meanwhile is not idle any more.
        out = [machines[index] for index in plan.scale_ins if self._idle(machines.get(index))]
        silent = self._unresponsive()
        lag = self._settings.cluster.cloud.list_lag_s
        for machine in machines.values():
            if machine.health in (Health.TERMINATED, Health.TERMINATING):
                continue
            machine_type = self.machine_types.get(machine.machine_type)
            boot_s = machine_type.boot_s if machine_type else 60.0
            why = ""
            if machine.quarantine_reason:
                why = machine.quarantine_reason
            elif machine.health is Health.UNRESPONSIVE:
                if machine in silent or now > self._fleet.lease_expires_at(machine):
                    why = "silent"
            elif machine.health is Health.DRAINING and machine.spot_notice_s is not None:
                if machine.index not in self._cluster_state.attempts_by_machine:
                    why = "drained before it is taken"
            elif machine.health is Health.BOOTING:
                limit = max(LOST_BOOT_FACTOR * boot_s, boot_s + 2 * lag)
                heard_s = now - self._fleet.resumed_at
                late = now - machine.rented_at > limit and now - machine.registered_at > boot_s
                if late and heard_s > self._hear_s:
                    why = "never came up"
            if why:
                log.info("returning machine %s: %s", machine.name, why)
                out.append(machine)
        return list({m.index: m for m in out}.values())

    async def _scale_in_all(self, machines: list[Machine], now: float) -> None:
        """In as many calls as it takes, as long as this controller leads."""
        while machines and self._leading():
            await self._scale_in(machines, now)
            left = [m for m in machines if m.health not in (Health.TERMINATED, Health.TERMINATING)]
            if len(left) == len(machines):
                return  # the claim was not won: the next step judges anew
            machines = left

    async def _scale_in(self, machines: list[Machine], now: float) -> None:
        if not machines:
            return
        names = self._in_one_call(machines)
        key = f"x/{self._next()}"
        op = CloudOperation(key, names, OperationState.AUTHORIZED)
        outcome, _ = await self._claims.claim([protocol.PutOperation(KEY_PREFIX + key, names)], key)
        if outcome is not ClaimOutcome.COMMITTED:
            return
        transition(op, OperationState.DISPATCHING)
        self.operations[key] = op
        self._cluster_state.scale_in_records[key[2:]] = names
        for machine in machines[: len(names)]:
            if machine.health is not Health.TERMINATED:
                machine.transition(Health.TERMINATING)
        await self._send_scale_in(op, now)

    def _in_one_call(self, machines: list[Machine]) -> list[str]:
        """The names of the first machines: as many as one call and its record may hold."""
        limit = int(self._settings.cluster.state.value_kb * 1024 * VALUE_SHARE)
        names: list[str] = []
        size = 0
        for machine in machines[: protocol.MAX_MACHINES_PER_SCALE_IN]:
            size += len(machine.name) + QUOTES_AND_COMMA
            if size > limit:
                break
            names.append(machine.name)
        return names

    async def _send_scale_in(self, op: CloudOperation, now: float) -> None:
        op.in_flight = True
        names: list[str] = op.value
        try:
            await self._cloud.scale_in(names)
        except (CloudUnavailableError, CloudResultUnknownError, NoCapacityError) as error:
            log.info("return %s not confirmed: %s", op.key, error)
            transition(op, OperationState.UNKNOWN)
            op.retry_at = now + RETRY_INTERVAL_S
            return
        finally:
            op.in_flight = False
        if not self._leading():
            return  # the next leader asks again, and gets the same confirmation
        transition(op, OperationState.CONFIRMED)
        log.info("returned %d machines: %s", len(names), " ".join(names))
        for name in names:
            machine = self._fleet.get_or_add(name, now)
            self._fleet.mark_lost(machine, f"{name} was returned")
            if machine.health is not Health.TERMINATED:
                if machine.health is not Health.TERMINATING:
                    machine.transition(Health.TERMINATING)
                machine.transition(Health.TERMINATED)
                self.offer_backoff.reset(machine.machine_type, machine.zone, machine.spot)
        await self._delete_returned(op, set(names))

    async def _delete_returned(self, op: CloudOperation, names: set[str]) -> None:
        """Take returned machines out of their rentals' records, along with the return's own.

        Otherwise the next leader would count them as capacity that is about to boot.
        """
        ops: list[protocol.Operation] = [protocol.DeleteOperation(KEY_PREFIX + op.key)]
        for rental in list(self.operations.values()):
            if rental.state is not OperationState.CONFIRMED or not rental.key.startswith("c/"):
                continue
            left = [name for name in rental.value.machine_names if name not in names]
            if len(left) == len(rental.value.machine_names):
                continue
            rental.value = msgspec.structs.replace(rental.value, machine_names=tuple(left))
            if left:
                self._cluster_state.scale_out_records[rental.key[2:]] = rental.value
                ops.append(protocol.PutOperation(KEY_PREFIX + rental.key, rental.value))
            else:
                self.operations.pop(rental.key)
                self._cluster_state.scale_out_records.pop(rental.key[2:], None)
                ops.append(protocol.DeleteOperation(KEY_PREFIX + rental.key))
        self.operations.pop(op.key, None)
        self._cluster_state.scale_in_records.pop(op.key[2:], None)
        most = self._settings.cluster.state.txn_ops
        # The return goes last: until then a new leader asks once more, and learns the same.
        ops.append(ops.pop(0))
        for at in range(0, len(ops), most):
            await self._claims.claim(ops[at : at + most])

    # ---- rent ---------------------------------------------------------------------------------

    def _next(self) -> str:
        self._serial += 1
        return f"{self._fleet.epoch}-{self._serial}"

    async def _scale_out_all(self, rents: list[ScaleOutRequest]) -> bool:
        """Make the calls as fast as the cloud takes them. True if it gave all that was asked for.

        Many calls may ask the same offer. Once one of them has come short, the others would only
        be refused: twelve such calls of 0.3 s each came before the machines that other zones had.
        """
        clock = asyncio.get_running_loop().time
        under_way: list[asyncio.Task[bool]] = []
        full = True
        for rent in interleave(rents):
            await self._cloud.acquire_call()
            if not self.offer_backoff.is_available(rent.type, rent.zone, rent.spot, clock()):
                self._cloud.refund_call()
                full = False
                continue
            under_way.append(asyncio.create_task(self._scale_out(rent, clock())))
        return all(await asyncio.gather(*under_way)) and full

    async def _scale_out(self, rent: ScaleOutRequest, now: float) -> bool:
        """True unless the cloud gave less than was asked for. The call's turn has come."""
        names = self._cluster_state.names
        key = f"c/{self._next()}"
        record = ScaleOutRecord(
            names.machine_types.name(rent.type),
            names.zones.name(rent.zone),
            rent.spot,
            rent.machines,
            round(time.time(), 1),
        )
        op = CloudOperation(key, record, OperationState.AUTHORIZED)
        op.in_flight = True
        outcome, _ = await self._claims.claim(
            [protocol.PutOperation(KEY_PREFIX + key, record)], key
        )
        if outcome is not ClaimOutcome.COMMITTED:
            return True
        transition(op, OperationState.DISPATCHING)
        self.operations[key] = op
        self._cluster_state.scale_out_records[key[2:]] = record
        await self._send_scale_out(op, now, paid=True)
        return self.offer_backoff.is_available(rent.type, rent.zone, rent.spot, now)

    async def _send_scale_out(self, op: CloudOperation, now: float, paid: bool = False) -> None:
        record: ScaleOutRecord = op.value
        names = self._cluster_state.names
        offer = (
            names.machine_types.index(record.machine_type),
            names.zones.index(record.zone),
            record.spot,
        )
        kind = "spot" if record.spot else "ordinary"
        op.in_flight = True
        try:
            got = await self._cloud.scale_out(
                op.key[2:], record.machine_type, record.zone, record.spot, record.count, paid
            )
        except NoCapacityError:
            log.info("no capacity: %s %s in %s", kind, record.machine_type, record.zone)
            self.offer_backoff.record_refusal(*offer, now)
            transition(op, OperationState.SUPERSEDED)
            self._discard(op)
            return
        except CloudUnavailableError as error:
            log.info("rental %s not carried out: %s", op.key, error)
            if op.state is OperationState.UNKNOWN:  # the first sending may still have been
                op.retry_at = now + RETRY_INTERVAL_S
                return
            transition(op, OperationState.SUPERSEDED)
            self._discard(op)
            return
        except CloudResultUnknownError as error:
            log.info("rental %s unknown: %s", op.key, error)
            if op.state is OperationState.DISPATCHING:
                transition(op, OperationState.UNKNOWN)
                op.unknown_at = now
            op.retry_at = now + RETRY_INTERVAL_S
            return
        finally:
            op.in_flight = False
        if len(got) < record.count:
            self.offer_backoff.record_refusal(*offer, now)
        else:
            self.offer_backoff.record_grant(*offer)
        if not self._leading():
            return  # the next leader repeats the charter and gets the same machines
        transition(op, OperationState.CONFIRMED)
        log.info(
            "rented %d of %d %s %s in %s (%s)",
            len(got),
            record.count,
            kind,
            record.machine_type,
            record.zone,
            op.key[2:],
        )
        op.value = msgspec.structs.replace(record, machine_names=got)
        self._machines_of(op, op.value.machine_names, asyncio.get_running_loop().time())
        self._cluster_state.scale_out_records[op.key[2:]] = op.value
        if got:
            await self._claims.claim([protocol.PutOperation(KEY_PREFIX + op.key, op.value)])
        else:
            self._discard(op)
