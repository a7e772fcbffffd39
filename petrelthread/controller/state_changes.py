"""Passes changes of stored keys to the components that they concern."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import msgspec

from petrelthread import protocol
from petrelthread.admin import provisioning_options, with_defaults
from petrelthread.leadership import ACTIVE_ROLES, Election, Role
from petrelthread.provisioning import Provisioner, ProvisioningOptions
from petrelthread.scheduling import Scheduler
from petrelthread.state import ClusterState, Job, KeyKind, epoch_of

log = logging.getLogger(__name__)


class StateChangeHandler:
    """Handles every change that the watch cache reads, in order of revision."""

    def __init__(
        self,
        election: Election,
        cluster_state: ClusterState,
        scheduler: Scheduler,
        provisioner: Provisioner,
    ) -> None:
        self._election = election
        self._cluster_state = cluster_state
        self._scheduler = scheduler
        self._provisioner = provisioner
        self.provisioning_options = ProvisioningOptions()

    def on_key(self, key: str, value: Any, revision: int) -> None:
        """Handle the change of a key (without prefix); ``value`` is None if it was deleted."""
        if key in (KeyKind.LEADER, KeyKind.EPOCH):
            self._election.on_key(key, value, revision)
            return
        if key == KeyKind.CATALOG and value is not None:
            self._apply_catalog(value)
        if key == KeyKind.OPTIONS:
            self._apply_options(value or {})
        kind, _, suffix = key.partition("/")
        active = self._election.role in ACTIVE_ROLES
        if (
            active
            and kind == KeyKind.ROUND
            and value is not None
            and self._handle_own_round(int(suffix), value)
        ):
            return
        accepted_before = self._cluster_state.accepted_count
        self._cluster_state.on_key(key, value, revision)
        if self._election.role is Role.LEADING:
            is_new = self._cluster_state.accepted_count > accepted_before
            accepted = self._cluster_state.jobs_by_id[suffix] if is_new else None
            self._wake_leader(accepted, job_finished=kind == KeyKind.FINAL_STATUS)

    def _wake_leader(self, accepted: Job | None, job_finished: bool) -> None:
        if accepted is not None:
            now = asyncio.get_running_loop().time()
            self._provisioner.forecast.note_accepted(accepted, now)
            self._scheduler.wake.set()
            self._provisioner.wake.set()
        elif job_finished:
            self._scheduler.wake.set()

    def _handle_own_round(self, number: int, record: Any) -> bool:
        """Return whether a record is of this epoch and must not be applied; if so, handle it."""
        if self._scheduler.defer_record(number, record):
            return True
        known = number in self._cluster_state.attempts_by_round
        if known or epoch_of(number) != self._election.epoch:
            return False
        # Either the claim was applied after this controller had given it up, so that none of its
        # starts was sent, or this is a late copy of a record that was settled and deleted.
        self._cluster_state.settle_round(number)
        return True

    def _apply_catalog(self, value: Any) -> None:
        try:
            self._provisioner.set_catalog(msgspec.convert(value, protocol.Catalog))
        except msgspec.ValidationError as error:
            log.warning("stored catalog is malformed: %s", error)

    def _apply_options(self, stored: dict[str, Any]) -> None:
        values = with_defaults(stored)
        self.provisioning_options = provisioning_options(values)
        self._scheduler.round_interval_s = values["round_gap_s"]
        self._scheduler.round_budget_s = values["round_budget_s"]
        log.info("operators' settings: %s", stored or "all defaults")
