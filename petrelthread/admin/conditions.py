"""Detects conditions that need an operator's attention, and describes each in a sentence.

Each check returns the sentence to show, or an empty string if its condition is not active.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.fleet import Health

LIMIT_ALERT_S = 10.0  # a limit is shown for this long after it was last exceeded
PAUSE_ALERT_S = 10.0  # a process pause is shown for this long after its end
STATE_SERVICE_TIMEOUT_S = 3.0  # maximum age of the cached state
MAX_NAMED_JOBS = 5


class ConditionKind(StrEnum):
    """Identifies a condition; its text may change while it lasts, its kind does not."""

    STATE_SERVICE = "state"
    NO_LEADER = "leader"
    PROCESS_PAUSE = "still"
    PROCESSOR_LIMIT = "processor"
    SOCKET_LIMIT = "sockets"
    LATE_STARTS = "late starts"
    LATE_BOOTS = "boots"
    PARTITIONED_MACHINES = "deaf"
    SUSPECT_JOBS = "suspects"
    RESERVED_MACHINES = "held"
    UNREACHABLE_ZONES = "zones"


def active_conditions(parts: ControllerParts, now: float) -> dict[str, str]:
    """Return all active conditions: kind to descriptive sentence."""
    checks = {**_CONTROLLER_CHECKS, **(_LEADER_CHECKS if parts.election.is_leader else {})}
    texts = {kind: check(parts, now) for kind, check in checks.items()}
    return {kind.value: text for kind, text in texts.items() if text}


def partitioned_machine_count(parts: ControllerParts) -> int:
    """Count machines whose heartbeats arrive, but that responses and commands do not reach."""
    return sum(
        bool(machine.partition_reason) and machine.health is Health.UP
        for machine in parts.fleet.machines.values()
    )


def unreachable_zone_names(parts: ControllerParts) -> str:
    """Return the names of the unreachable zones, separated by commas."""
    names = parts.cluster_state.names.zones
    return ", ".join(names.name(zone) for zone in sorted(parts.zone_monitor.cut_off_since))


# ---- checks on every controller ------------------------------------------------------------------


def _state_service(parts: ControllerParts, now: float) -> str:
    if not parts.watch_cache.loaded.is_set():
        return "this node has not yet read the state service"
    if now - parts.watch_cache.current_as_of > STATE_SERVICE_TIMEOUT_S:
        return "the state service does not answer this node: nothing is accepted or started"
    return ""


def _no_leader(parts: ControllerParts, now: float) -> str:
    # Without the state service it is unknown whether there is a leader.
    if parts.election.leader is not None or _state_service(parts, now):
        return ""
    return "there is no leader: nothing is started"


def _process_pause(parts: ControllerParts, now: float) -> str:
    if now - parts.pause_detector.resumed_at >= PAUSE_ALERT_S:
        return ""
    return f"this node stood still for {parts.pause_detector.last_pause_s:.0f} s"


def _processor_limit(parts: ControllerParts, now: float) -> str:
    if now - parts.load_shedder.last_shed_at >= LIMIT_ALERT_S:
        return ""
    return (
        "limit reached, processor: more requests come than this node can serve,"
        f" {parts.load_shedder.shed_count} turned away so far"
    )


def _socket_limit(parts: ControllerParts, now: float) -> str:
    if now - parts.load_shedder.last_refused_at >= LIMIT_ALERT_S:
        return ""
    return (
        "limit reached, sockets of the public address:"
        f" {parts.load_shedder.refused_connection_count} connections refused so far"
    )


# ---- checks on the leader only -------------------------------------------------------------------


def _late_starts(parts: ControllerParts, _now: float) -> str:
    count = parts.fleet.unacknowledged_starts.past_deadline_count
    if not count:
        return ""
    return (
        f"{count} starts of jobs that are over were still possible"
        " after the time that a cancellation has"
    )


def _late_boots(parts: ControllerParts, now: float) -> str:
    count = parts.provisioner.late_boot_count(now)
    if not count:
        return ""
    return f"{count} machines are late in booting and count for nothing until they come"


def _partitioned_machines(parts: ControllerParts, _now: float) -> str:
    count = partitioned_machine_count(parts)
    return f"{count} machines report but do not hear us" if count else ""


def _suspect_jobs(parts: ControllerParts, _now: float) -> str:
    suspects = [
        job.id
        for job in parts.cluster_state.open_jobs.values()
        if parts.fleet.job_failures.is_suspect(job)
    ]
    if not suspects:
        return ""
    names = ", ".join(suspects[:MAX_NAMED_JOBS])
    more = ", ..." if len(suspects) > MAX_NAMED_JOBS else ""
    return f"{len(suspects)} jobs fail everywhere until they are cancelled: {names}{more}"


def _reserved_machines(parts: ControllerParts, _now: float) -> str:
    count = len(parts.scheduler.reserved_machines)
    return f"{count} jobs should have begun: a machine is kept for each" if count else ""


def _unreachable_zones(parts: ControllerParts, _now: float) -> str:
    names = unreachable_zone_names(parts)
    return f"cut off: {names}" if names else ""


_Check = Callable[[ControllerParts, float], str]

_CONTROLLER_CHECKS: dict[ConditionKind, _Check] = {
    ConditionKind.STATE_SERVICE: _state_service,
    ConditionKind.NO_LEADER: _no_leader,
    ConditionKind.PROCESS_PAUSE: _process_pause,
    ConditionKind.PROCESSOR_LIMIT: _processor_limit,
    ConditionKind.SOCKET_LIMIT: _socket_limit,
}
_LEADER_CHECKS: dict[ConditionKind, _Check] = {
    ConditionKind.LATE_STARTS: _late_starts,
    ConditionKind.LATE_BOOTS: _late_boots,
    ConditionKind.PARTITIONED_MACHINES: _partitioned_machines,
    ConditionKind.SUSPECT_JOBS: _suspect_jobs,
    ConditionKind.RESERVED_MACHINES: _reserved_machines,
    ConditionKind.UNREACHABLE_ZONES: _unreachable_zones,
}
