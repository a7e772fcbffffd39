"""The leader's provisioning loop: it settles, plans, scales out and in, and reconciles."""

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
from petrelthread.scheduling import ClusterView
from petrelthread.state import OperationState, transition

log = logging.getLogger(__name__)

MAX_REPLANS = 10  # in one step
CALL_BURST_S = 2.0  # one plan may contain the calls that the cloud takes in this time
MIN_CALLS_PER_PLAN = 2
RESEND_LIST_LAGS = 4.0  # a scale-out older than this many lags of the list, and
RESEND_MARGIN_S = 5.0  # this margin, is not sent again


class Provisioner:
    """Keeps the machines in line with the demand while this controller leads.

    Attributes:
        machine_types: Catalogue by interned index of the machine type.
        operations: Recorded calls to the cloud by the key of their record.
        offer_backoff: The cloud's answers by offer.
        forecast: Present and expected demand.
        scale_out: Carries out scale-outs.
        scale_in: Carries out scale-ins.
        scale_in_selection: Selects machines to scale in.
        last_plan_duration_s: How long the last plan took.
        wake: Set to have the next step begin at once.
    """

    def __init__(
        self,
        context: ProvisioningContext,
        cleanup: RecordCleanup,
        view: ClusterView,
        options: Callable[[], ProvisioningOptions],
        zones_down: Collection[int] = (),
    ) -> None:
        """Compose the parts.

        ``options`` returns the operators' present options. ``zones_down`` holds the zones that are
        cut off; it is read live.
        """
        self._cluster_state = context.cluster_state
        self._fleet = context.fleet
        self._leadership = context.leadership
        self._options = options
        cloud_settings = context.settings.cluster.cloud
        self._max_calls = max(MIN_CALLS_PER_PLAN, int(CALL_BURST_S * cloud_settings.rps))
        self._resend_limit_s = RESEND_LIST_LAGS * cloud_settings.list_lag_s + RESEND_MARGIN_S
        self._catalog = MachineCatalog(context.cloud, context.cluster_state.names)
        self.machine_types = self._catalog.machine_types
        self._operations = OperationRegistry(context.cluster_state, context.fleet, cleanup)
        self.operations = self._operations.by_store_key
        self.offer_backoff = OfferBackoff()
        self.forecast = DemandForecast(context, view, self.machine_types, zones_down)
        self._boots = BootMonitor(context.settings, context.fleet, self.machine_types)
        self._planning_input = PlanningInput(
            context, self.machine_types, self.offer_backoff, self._boots, zones_down
        )
        self.scale_out = ScaleOutExecutor(context, self._operations, self.offer_backoff)
        self.scale_in = ScaleInExecutor(context, self._operations, self.offer_backoff)
        self.scale_in_selection = ScaleInSelection(context, self._boots)
        self._reconciler = ListReconciler(context)
        self.last_plan_duration_s = 0.0
        self.wake = asyncio.Event()

    def set_catalog(self, catalog: protocol.Catalog) -> None:
        """Use a catalogue that was stored earlier."""
        self._catalog.update(catalog)

    def catalog(self) -> tuple[protocol.MachineType, ...] | None:
        """All machine types, or None until the catalogue is known."""
        return self._catalog.known_types()

    async def read_catalog(self, now: float) -> bool:
        """Read the catalogue if that is due. Returns whether it is known.

        Followers call it as well, since they need machine types to validate submissions.
        """
        return await self._catalog.read(now)

    def late_boot_count(self, now: float) -> int:
        """How many machines are late to boot."""
        return self._boots.late_count(now)

    def fail_over(self, now: float) -> None:
        """Begin as the new leader, from the stored records."""
        self._operations.fail_over(now)
        self._reconciler.fail_over()
        self.forecast.fail_over(now)

    async def step(self, now: float) -> None:
        """Settle unknown operations, plan, carry out the plan, and reconcile with the list."""
        await self.read_catalog(now)
        if self._reconciler.never_read and (
            self._cluster_state.scale_out_records or self._fleet.machines
        ):
            # The list gives a new leader the addresses of the workers.
            await self._reconciler.reconcile(now)
        await self._settle(now)
        if not self.machine_types or not self._leadership.is_leader:
            return
        # Replicas are placed elsewhere once their machine's scale-in is confirmed: so it is first.
        await self.scale_in.execute_all(self.scale_in_selection.unresponsive_with_replicas(), now)
        plan = self.plan_now(now)
        for machine in self._fleet.machines.values():
            machine.cordoned = machine.index in plan.cordoned
        now = await self._scale_out(plan, now)
        await self.scale_in.execute_all(self.scale_in_selection.select(plan, now), now)
        if self._reconciler.is_due(now) and self._leadership.is_leader:
            await self._reconciler.reconcile(asyncio.get_running_loop().time())

    def plan_now(self, now: float) -> Plan:
        """What to change as things stand. Makes no change itself."""
        clock = asyncio.get_running_loop().time
        started_at = clock()
        plan = self._plan(now)
        self.last_plan_duration_s = clock() - started_at
        return plan

    def _plan(self, now: float) -> Plan:
        owned = self._planning_input.owned_machines(now)
        offers = self._planning_input.offers(now)
        options = self._options()
        reserve_cores = self.forecast.urgent_reserve(now) * options.reserve_share
        return make_plan(
            self.forecast.demands(now),
            owned,
            offers,
            reserve_cores,
            options,
            self._max_calls,
            self.forecast.standing_reserve(now),
        )

    async def _scale_out(self, plan: Plan, now: float) -> float:
        """Scale out, and plan again while offers come short. Returns when the last plan was made.

        What one offer does not give is thereby asked from the next one at once.
        """
        requests = plan.scale_outs
        for _ in range(MAX_REPLANS):
            if not requests:
                break
            if await self.scale_out.execute_all(requests) or not self._leadership.is_leader:
                break
            now = asyncio.get_running_loop().time()
            requests = self.plan_now(now).scale_outs
        return now

    async def _settle(self, now: float) -> None:
        """Repeat or give up operations whose outcome is unknown."""
        for operation in list(self.operations.values()):
            if not self._leadership.is_leader:
                return
            is_unknown = operation.state is OperationState.UNKNOWN
            if not is_unknown or operation.in_flight or now < operation.retry_at:
                continue
            if isinstance(operation, ScaleOutOperation):
                await self._settle_scale_out(operation, now)
            else:
                await self.scale_in.send(operation, now)

    async def _settle_scale_out(self, operation: ScaleOutOperation, now: float) -> None:
        age_s = max(now - operation.unknown_at, time.time() - operation.record.requested_at)
        is_old = age_s > self._resend_limit_s
        if self._cluster_state.open_jobs and not is_old:
            # Idempotent: sent again, it gives the same machines.
            await self.scale_out.send(operation, now)
        elif is_old and self._reconciler.last_success_at > operation.unknown_at:
            # No longer needed, or the plan has asked anew for what it should have given. Sent again
            # it could scale out surplus machines. What it still gives will show in the list.
            log.info(
                "operation superseded: scale-out %s, no longer needed", operation.idempotency_key
            )
            transition(operation, OperationState.SUPERSEDED)
            self._operations.discard(operation)
