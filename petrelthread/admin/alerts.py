"""What is wrong now, in plain sentences; one log line when each begins and one when it ends."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from petrelthread.fleet import Health

if TYPE_CHECKING:
    from petrelthread.controller import Controller

log = logging.getLogger(__name__)

RAISE_AFTER_S = 2.0  # it has lasted so long before it is told of, so that no flicker floods the log
LIMIT_ALERT_S = 10.0  # since a limit was last met
STATE_SERVICE_TIMEOUT_S = 3.0  # without an answer of the state service


class Alert(NamedTuple):
    since: float
    reported: bool


def active_conditions(node: Controller, now: float) -> dict[str, str]:
    """By kind, so that a count that changes is the same trouble still."""
    out: dict[str, str] = {}
    election = node.election
    silent_s = now - node.watch_cache.current_as_of
    if not node.watch_cache.loaded.is_set():
        out["state"] = "this node has not yet read the state service"
    elif silent_s > STATE_SERVICE_TIMEOUT_S:
        out["state"] = "the state service does not answer this node: nothing is accepted or started"
    elif election.leader is None:
        out["leader"] = "there is no leader: nothing is started"
    if now - node.pause_detector.resumed_at < 10.0:
        out["still"] = f"this node stood still for {node.pause_detector.last_pause_s:.0f} s"
    if now - node.load_shedder.last_shed_at < LIMIT_ALERT_S:
        out["processor"] = (
            "limit reached, processor: more requests come than this node can serve,"
            f" {node.load_shedder.shed} turned away so far"
        )
    if now - node.load_shedder.last_refused_at < LIMIT_ALERT_S:
        out["sockets"] = (
            "limit reached, sockets of the public address:"
            f" {node.load_shedder.refused_connections} connections refused so far"
        )
    if not election.is_leader:
        return out
    past_bound = node.fleet.unacknowledged_starts.past_bound_count
    if past_bound:
        out["late starts"] = (
            f"{past_bound} starts of jobs that are over were still possible"
            " after the time that a cancellation has"
        )
    late = node.provisioner.late_boot_count(now)
    if late:
        out["boots"] = f"{late} machines are late in booting and count for nothing until they come"
    deaf = sum(
        bool(machine.partition_reason) and machine.health is Health.UP
        for machine in node.fleet.machines.values()
    )
    if deaf:
        out["deaf"] = f"{deaf} machines report but do not hear us"
    suspects = [
        job.id
        for job in node.cluster_state.open_jobs.values()
        if node.fleet.job_failures.is_suspect(job)
    ]
    if suspects:
        shown = ", ".join(suspects[:5]) + (", ..." if len(suspects) > 5 else "")
        out["suspects"] = f"{len(suspects)} jobs fail everywhere until they are cancelled: {shown}"
    reserved = len(node.scheduler.reserved_machines)
    if reserved:
        out["held"] = f"{reserved} jobs should have begun: a machine is kept for each"
    cut = ", ".join(
        node.cluster_state.names.zones.name(zone)
        for zone in sorted(node.zone_monitor.cut_off_since)
    )
    if cut:
        out["zones"] = f"cut off: {cut}"
    return out


class AlertTracker:
    """Since when each trouble lasts; tells of each when it begins and when it is over."""

    def __init__(self) -> None:
        self.active: dict[str, Alert] = {}

    def update(self, wrong: dict[str, str], now: float) -> None:
        for kind, text in wrong.items():
            trouble = self.active.setdefault(kind, Alert(now, False))
            if not trouble.reported and now - trouble.since >= RAISE_AFTER_S:
                self.active[kind] = Alert(trouble.since, True)
                log.warning("trouble: %s", text)
        for kind in [kind for kind in self.active if kind not in wrong]:
            trouble = self.active.pop(kind)
            if trouble.reported:
                log.info("trouble over after %.0f s: %s", now - trouble.since, kind)

    def duration_s(self, kind: str, now: float) -> float:
        """How many seconds it has lasted."""
        trouble = self.active.get(kind)
        return now - trouble.since if trouble else 0.0
