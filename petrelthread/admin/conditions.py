"""Conditions that hold now and that operators should know of, in plain sentences."""

from __future__ import annotations

from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.fleet import Health

LIMIT_ALERT_S = 10.0  # how long after a limit was last met it is still shown
PAUSE_ALERT_S = 10.0  # how long after a pause of the process it is still shown
STATE_SERVICE_TIMEOUT_S = 3.0  # without news of the state service


def active_conditions(parts: ControllerParts, now: float) -> dict[str, str]:
    """By kind, so that a count that changes is the same trouble still."""
    out: dict[str, str] = {}
    election = parts.election
    silent_s = now - parts.watch_cache.current_as_of
    if not parts.watch_cache.loaded.is_set():
        out["state"] = "this node has not yet read the state service"
    elif silent_s > STATE_SERVICE_TIMEOUT_S:
        out["state"] = "the state service does not answer this node: nothing is accepted or started"
    elif election.leader is None:
        out["leader"] = "there is no leader: nothing is started"
    if now - parts.pause_detector.resumed_at < PAUSE_ALERT_S:
        out["still"] = f"this node stood still for {parts.pause_detector.last_pause_s:.0f} s"
    if now - parts.load_shedder.last_shed_at < LIMIT_ALERT_S:
        out["processor"] = (
            "limit reached, processor: more requests come than this node can serve,"
            f" {parts.load_shedder.shed} turned away so far"
        )
    if now - parts.load_shedder.last_refused_at < LIMIT_ALERT_S:
        out["sockets"] = (
            "limit reached, sockets of the public address:"
            f" {parts.load_shedder.refused_connections} connections refused so far"
        )
    if not election.is_leader:
        return out
    past_bound = parts.fleet.unacknowledged_starts.past_bound_count
    if past_bound:
        out["late starts"] = (
            f"{past_bound} starts of jobs that are over were still possible"
            " after the time that a cancellation has"
        )
    late = parts.provisioner.late_boot_count(now)
    if late:
        out["boots"] = f"{late} machines are late in booting and count for nothing until they come"
    deaf = sum(
        bool(machine.partition_reason) and machine.health is Health.UP
        for machine in parts.fleet.machines.values()
    )
    if deaf:
        out["deaf"] = f"{deaf} machines report but do not hear us"
    suspects = [
        job.id
        for job in parts.cluster_state.open_jobs.values()
        if parts.fleet.job_failures.is_suspect(job)
    ]
    if suspects:
        shown = ", ".join(suspects[:5]) + (", ..." if len(suspects) > 5 else "")
        out["suspects"] = f"{len(suspects)} jobs fail everywhere until they are cancelled: {shown}"
    reserved = len(parts.scheduler.reserved_machines)
    if reserved:
        out["held"] = f"{reserved} jobs should have begun: a machine is kept for each"
    cut = ", ".join(
        parts.cluster_state.names.zones.name(zone)
        for zone in sorted(parts.zone_monitor.cut_off_since)
    )
    if cut:
        out["zones"] = f"cut off: {cut}"
    return out
