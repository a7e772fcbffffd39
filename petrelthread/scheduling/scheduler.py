"""Rounds of the leader: decide, claim, and dispatch only what the claim has recorded."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from petrelthread.fleet import CommandDispatcher, Fleet
from petrelthread.leadership import ClaimOutcome, ClaimWriter
from petrelthread.scheduling.claim_applier import ClaimApplier
from petrelthread.scheduling.claim_builder import ClaimBuilder
from petrelthread.scheduling.cluster_view import ClusterView
from petrelthread.scheduling.preemption_planner import count_preemptions
from petrelthread.scheduling.queue_entry import QueuedJob
from petrelthread.scheduling.round_claim import RoundClaim
from petrelthread.scheduling.round_planner import RoundDecision, RoundPlanner
from petrelthread.scheduling.spot_reclaim import attempts_unfinished_at_reclaim
from petrelthread.scheduling.start_validator import StartValidator
from petrelthread.settings import Settings
from petrelthread.state import RECORDS_PER_EPOCH, ClusterState, decode_round, epoch_base_number
from petrelthread.step_timer import timed_step

log = logging.getLogger(__name__)

# With fewer record numbers left in its epoch, the leader resigns; a new epoch has new ones.
MIN_RECORD_NUMBERS_LEFT = 4096
DEFAULT_ROUND_INTERVAL_S = 0.25
DEFAULT_ROUND_BUDGET_S = 0.05


class Scheduler:
    """Decides, claims and dispatches one round after the other; runs on the leader only.

    Attributes:
        obsolete_keys: keys of settled records, which are no longer needed; a later claim deletes
            them. Provisioning adds to it.
        claim_builder: builds the claims of rounds.
        round_interval_s: the minimum time between two rounds.
        round_budget_s: how long one round may spend on placing requests.
        wake: set when the next round may have something to decide.
    """

    def __init__(
        self,
        settings: Settings,
        cluster_state: ClusterState,
        fleet: Fleet,
        claims: ClaimWriter,
        dispatcher: CommandDispatcher,
        view: ClusterView,
        refresh: Callable[[], Awaitable[bool]],
        writes_for_deletions: Callable[[float], int],
    ) -> None:
        """Initialize the scheduler.

        Args:
            settings: teams, objectives and limits of the state service.
            cluster_state: jobs, attempts and records.
            fleet: machines and the tasks that their workers reported.
            claims: writes claims.
            dispatcher: sends commands to workers.
            view: capacity and scheduling order.
            refresh: updates the cluster state from the state service; returns False if the service
                is unreachable.
            writes_for_deletions: returns how many writes deletions may use, given an event loop
                time.
        """
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._claims = claims
        self._view = view
        self._refresh = refresh
        self._last_record_number = 0
        # Records of the claim in flight, each with its entries if a watch has already shown it.
        self._records_in_flight: dict[int, list[Any] | None] = {}
        self._planner = RoundPlanner(settings, cluster_state, fleet, view)
        self.obsolete_keys: list[str] = []
        validator = StartValidator(cluster_state, fleet, settings.cluster.teams)
        self.claim_builder = ClaimBuilder(
            settings.cluster.state,
            cluster_state,
            fleet,
            validator,
            self.next_record_number,
            writes_for_deletions,
            self.obsolete_keys,
        )
        self._applier = ClaimApplier(
            cluster_state, fleet, dispatcher, view, validator, self.obsolete_keys
        )
        self.round_interval_s = DEFAULT_ROUND_INTERVAL_S
        self.round_budget_s = DEFAULT_ROUND_BUDGET_S
        self.wake = asyncio.Event()

    @property
    def reserved_machines(self) -> dict[int, int]:
        """The machine reserved for each overdue job that fits on no machine, by job index."""
        return self._planner.reserved_machines

    def begin_epoch(self, epoch: int) -> None:
        """Reset the scheduler at the start of a new epoch."""
        self._last_record_number = epoch_base_number(epoch)
        self._planner.begin_epoch()
        self.obsolete_keys.clear()

    def next_record_number(self) -> int:
        """Draw an unused record number; each epoch has its own range of numbers."""
        self._last_record_number += 1
        return self._last_record_number

    def record_numbers_left(self) -> int:
        """How many records this epoch may still write."""
        last = epoch_base_number(self._fleet.epoch) + RECORDS_PER_EPOCH - 1
        return last - self._last_record_number

    def decide(self, now: float, order: list[QueuedJob] | None = None) -> RoundDecision:
        """Decide what to start and what to preempt.

        Args:
            now: event loop time in seconds.
            order: the open jobs in scheduling order; by default, they are ordered now.
        """
        if order is None:
            order = self._view.job_order()
        decision = self._planner.decide(order, now, self.round_budget_s)
        if not decision.is_complete:
            self.wake.set()  # the next round examines the remaining requests
        return decision

    async def run_round(self, now: float) -> bool:
        """Decide and claim one round. Returns whether another round should follow immediately."""
        order = self._view.job_order()
        await asyncio.sleep(0)  # ordering and deciding are two steps of the event loop
        stops = attempts_unfinished_at_reclaim(self._fleet, self._view.estimates, now)
        decision = self.decide(now, order)
        with timed_step("claim of %d starts", len(decision.starts)):
            claim = self.claim_builder.build(decision.starts, stops + decision.preemptions, now)
        if not claim.operations:
            return False
        outcome, failed_keys = await self._claim(claim)
        log.debug(
            "round %s of epoch %d: claim %s; %d starts, %d stops, decided at event loop time"
            " %.3f s",
            claim.marker,
            self._fleet.epoch,
            outcome.value,
            len(decision.starts),
            len(claim.stops),
            now,
        )
        if outcome is ClaimOutcome.FENCED:
            return False
        if outcome is ClaimOutcome.CONFLICT:
            # Either a job was cancelled while the claim was in flight, or an earlier claim of this
            # leader was committed without a response. Only the state service knows which.
            log.info("claim not committed; keys with failed conditions: %s", ", ".join(failed_keys))
            return await self._refresh()
        with timed_step("application of a claim with %d starts", len(claim.starts)):
            self._applier.apply(claim, now)
        count_preemptions(decision.preemptions)
        return claim.has_postponed or bool(self._fleet.finished_tasks)

    async def _claim(self, claim: RoundClaim) -> tuple[ClaimOutcome, tuple[str, ...]]:
        self._records_in_flight = dict.fromkeys((record.number for record in claim.records), None)
        try:
            outcome, failed_keys = await self._claims.claim(
                claim.operations, claim.marker, tuple(claim.absent_keys)
            )
        finally:
            entries_by_number, self._records_in_flight = self._records_in_flight, {}
        if outcome is not ClaimOutcome.COMMITTED:
            for number, entries in entries_by_number.items():
                if entries is not None:
                    self._apply_unsent_record(number, entries, outcome)
        return outcome, failed_keys

    def defer_record(self, number: int, entries: list[Any]) -> bool:
        """Keep a round's record that a watch shows while its claim is in flight.

        Returns:
            True if the claim is in flight: its result then determines how the record is applied.
            Treating the record as a late copy of a settled round instead would release the round's
            attempts just before its claim is known to be committed.
        """
        if number not in self._records_in_flight:
            return False
        self._records_in_flight[number] = entries
        return True

    def _apply_unsent_record(self, number: int, entries: list[Any], outcome: ClaimOutcome) -> None:
        """Apply a record that a watch has shown although its claim is not known to be committed.

        No command of the record was sent.
        """
        if outcome is ClaimOutcome.FENCED:
            # The epoch of the claim has ended: the record is applied as on any other controller.
            self._cluster_state.apply_round(number, decode_round(entries))
        else:
            self._cluster_state.settle_round(number)
