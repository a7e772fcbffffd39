"""The leader's provisioning step: resolves unknown operations, plans, scales, reconciles."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Collection

from petrelthread import protocol
from petrelthread.provisioning.boot_monitor import BootMonitor
from petrelthread.provisioning.catalog import MachineCatalog
from petrelthread.provisioning.context import ProvisioningContext, RecordCleanup
from petrelthread.provisioning.demand import DemandForecast
from petrelthread.provisioning.list_reconciliation import ListReconciler
from petrelthread.provisioning.offer_backoff import OfferBackoff
from petrelthread.provisioning.operations import OperationRegistry, ScaleOutOperation
from petrelthread.provisioning.plan import Plan, ProvisioningOptions
from petrelthread.provisioning.planner import make_plan
from petrelthread.provisioning.planning_input import PlanningInput
from petrelthread.provisioning.scale_in import ScaleInExecutor
from petrelthread.provisioning.scale_in_selection import ScaleInSelection
from petrelthread.provisioning.scale_out import ScaleOutExecutor
from petrelthread.scheduling import ClusterView, QueuedJob
from petrelthread.state import OperationState, transition
from petrelthread.step_timer import timed_step

log = logging.getLogger(__name__)

MAX_REPLANS = 10  # maximum number of scale-out plans per step
CALL_BURST_S = 2.0  # a plan may contain the calls that the rate limit allows in this time
MIN_CALLS_PER_PLAN = 2
# Age beyond which a scale-out is not sent again, in multiples of the lag of the cloud's list.
RESEND_LIST_LAGS = 4.0
RESEND_MARGIN_S = 5.0  # added to the age given by RESEND_LIST_LAGS


class Provisioner:
    """Matches the machines to the demand while this controller is the leader.

    Attributes:
        machine_types: The catalog, by interned index of the machine type.
        operations: Recorded calls to the cloud, by store key.
        offer_backoff: Backoff and last response by offer.
        forecast: Present and expected demand.
        scale_out: Carries out scale-outs.
        scale_in: Carries out scale-ins.
        scale_in_selection: Selects machines to scale in.
        last_plan_duration_s: How long the last plan took.
        wake: Set to start the next step immediately.
    """

    def __init__(
        self,
        context: ProvisioningContext,
        cleanup: RecordCleanup,
        view: ClusterView,
        options: Callable[[], ProvisioningOptions],
        unreachable_zones: Collection[int] = (),
    ) -> None:
        """Create the parts.

        ``options`` returns the options that operators have set. ``unreachable_zones`` contains the
        unreachable zones; it may change at any time.
        """
        self._cluster_state = context.cluster_state
        self._fleet = context.fleet
        self._leadership = context.leadership
        self._view = view
        self._options = options
        cloud_settings = context.settings.cluster.cloud
        self._max_calls = max(MIN_CALLS_PER_PLAN, int(CALL_BURST_S * cloud_settings.rps))
        self._resend_limit_s = RESEND_LIST_LAGS * cloud_settings.list_lag_s + RESEND_MARGIN_S
        self._catalog = MachineCatalog(context.cloud, context.cluster_state.names)
        self.machine_types = self._catalog.machine_types
        self._operations = OperationRegistry(context.cluster_state, context.fleet, cleanup)
        self.operations = self._operations.by_store_key
        self.offer_backoff = OfferBackoff()
        self.forecast = DemandForecast(context, view, self.machine_types, unreachable_zones)
        self._boot_monitor = BootMonitor(context.settings, context.fleet, self.machine_types)
        self._planning_input = PlanningInput(
            context, self.machine_types, self.offer_backoff, self._boot_monitor, unreachable_zones
        )
        self.scale_out = ScaleOutExecutor(context, self._operations, self.offer_backoff)
        self.scale_in = ScaleInExecutor(context, self._operations, self.offer_backoff)
        self.scale_in_selection = ScaleInSelection(context, self._boot_monitor)
        self._reconciler = ListReconciler(context)
        self.last_plan_duration_s = 0.0
        self.wake = asyncio.Event()

    def set_catalog(self, catalog: protocol.Catalog) -> None:
        """Use a catalog that was stored earlier."""
        self._catalog.update(catalog)

    def catalog(self) -> tuple[protocol.MachineType, ...] | None:
        """All machine types, or None while the catalog is unknown."""
        return self._catalog.known_types()

    async def read_catalog(self, now: float) -> bool:
        """Read the catalog if a read is due. Returns whether it is known.

        Followers call this as well, since they need machine types to validate submissions.
        """
        return await self._catalog.read(now)

    def late_boot_count(self, now: float) -> int:
        """Number of machines that are late to boot."""
        return self._boot_monitor.late_count(now)

    def begin_epoch(self, now: float) -> None:
        """Load the stored records as the new leader."""
        self._operations.begin_epoch(now)
        self._reconciler.begin_epoch()
        self.forecast.begin_epoch(now)

    async def step(self, now: float) -> None:
        """Resolve unknown operations, plan, carry out the plan, and reconcile with the list."""
        await self.read_catalog(now)
        if self._reconciler.never_read and (
            self._cluster_state.scale_out_records or self._fleet.machines
        ):
            # A new leader gets the workers' addresses from the list.
            await self._reconciler.reconcile(now)
        await self._resolve_unknown(now)
        if not self.machine_types or not self._leadership.is_leader:
            return
        # Machines with replicas come first: replicas move only once the scale-in is confirmed.
        await self.scale_in.execute_all(self.scale_in_selection.unresponsive_with_replicas(), now)
        plan = await self._plan_in_two_steps(now)
        if not self._leadership.is_leader:
            return
        for machine in self._fleet.machines.values():
            machine.cordoned = machine.index in plan.cordoned
        now = await self._scale_out(plan, now)
        await self.scale_in.execute_all(self.scale_in_selection.select(plan, now), now)
        if self._reconciler.is_due(now) and self._leadership.is_leader:
            await self._reconciler.reconcile(asyncio.get_running_loop().time())

    async def _plan_in_two_steps(self, now: float) -> Plan:
        """Order the jobs and make a plan, each in a step of the event loop of its own."""
        clock = asyncio.get_running_loop().time
        started_at = clock()
        order = self._view.job_order()
        ordering_s = clock() - started_at
        await asyncio.sleep(0)
        plan = self.plan_now(now, order)
        self.last_plan_duration_s += ordering_s
        return plan

    def plan_now(self, now: float, order: list[QueuedJob] | None = None) -> Plan:
        """Make a plan from the present state, without carrying it out.

        Args:
            now: event loop time in seconds.
            order: the open jobs in scheduling order; by default, they are ordered now.
        """
        clock = asyncio.get_running_loop().time
        started_at = clock()
        if order is None:
            order = self._view.job_order()
        with timed_step("plan for %d machines", len(self._fleet.machines)):
            plan = self._plan(order, now)
        self.last_plan_duration_s = clock() - started_at
        return plan

    def _plan(self, order: list[QueuedJob], now: float) -> Plan:
        owned = self._planning_input.owned_machines(now)
        offers = self._planning_input.offers(now)
        options = self._options()
        reserve_cores = self.forecast.urgent_reserve(now) * options.reserve_share
        return make_plan(
            self.forecast.demands(order, now),
            owned,
            offers,
            reserve_cores,
            options,
            self._max_calls,
            self.forecast.service_reserve_cores(now),
        )

    async def _scale_out(self, plan: Plan, now: float) -> float:
        """Scale out, and plan again while offers fall short. Returns the time of the last plan.

        Machines that one offer does not give are thus requested from the next one immediately.
        """
        requests = plan.scale_outs
        for _ in range(MAX_REPLANS):
            if not requests:
                break
            if await self.scale_out.execute_all(requests) or not self._leadership.is_leader:
                break
            now = asyncio.get_running_loop().time()
            requests = (await self._plan_in_two_steps(now)).scale_outs
        return now

    async def _resolve_unknown(self, now: float) -> None:
        """Resend or supersede operations whose outcome is unknown."""
        for operation in list(self.operations.values()):
            if not self._leadership.is_leader:
                return
            is_unknown = operation.state is OperationState.UNKNOWN
            if not is_unknown or operation.in_flight or now < operation.retry_at:
                continue
            if isinstance(operation, ScaleOutOperation):
                await self._resolve_scale_out(operation, now)
            else:
                await self.scale_in.send(operation, now)

    async def _resolve_scale_out(self, operation: ScaleOutOperation, now: float) -> None:
        age_s = max(now - operation.unknown_at, time.time() - operation.record.requested_at)
        is_old = age_s > self._resend_limit_s
        if self._cluster_state.open_jobs and not is_old:
            # The idempotency key makes a repeated request return the same machines.
            await self.scale_out.send(operation, now)
        elif is_old and self._reconciler.last_success_at > operation.unknown_at:
            # Its machines are no longer needed, or later plans have requested replacements. Sending
            # it again could scale out surplus machines. Machines granted to it appear in the list.
            log.info(
                "operation superseded: scale-out %s, no longer needed", operation.idempotency_key
            )
            transition(operation, OperationState.SUPERSEDED)
            self._operations.discard(operation)
