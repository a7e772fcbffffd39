"""Explains in one sentence, with numbers, why a job waits."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.admin.conditions import (
    STATE_SERVICE_TIMEOUT_S,
    ConditionKind,
    partitioned_machine_count,
    unreachable_zone_names,
)
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.fleet import Health
from petrelthread.scheduling import MachineCapacity, zone_headroom
from petrelthread.state import Attempt, Job, OperationState

CORES_TOLERANCE = 1e-6  # rounding error allowed in sums of cores


def is_unreachable(parts: ControllerParts, attempt: Attempt) -> bool:
    """Whether the attempt's machine is unresponsive or terminating; the attempt may still run."""
    machine = parts.fleet.machines.get(attempt.machine)
    return machine is not None and machine.health in (Health.UNRESPONSIVE, Health.TERMINATING)


def serving_replicas(parts: ControllerParts, job: Job) -> int:
    """Count the running replicas of a service on reachable machines."""
    return sum(
        attempt.reported_state == protocol.TaskState.RUNNING
        and attempt.state is OperationState.CONFIRMED
        and not is_unreachable(parts, attempt)
        for attempt in job.live_attempts.values()
    )


def explain_waiting(parts: ControllerParts, job: Job, now: float) -> str:
    """Return the first cause that applies, from cluster-wide causes down to the job's machines."""
    if job.final_status is not None:
        return f"It is over: {job.final_status}."
    if now - parts.watch_cache.current_as_of > STATE_SERVICE_TIMEOUT_S:
        return "The state service does not answer, and nothing is started without it."
    if parts.election.leader is None:
        since_s = parts.alerts.duration_s(ConditionKind.NO_LEADER, now)
        return f"There is no leader since {since_s:.0f} s, and nothing is started without one."
    progress = _progress(parts, job)
    if job.pending_count == 0:
        return f"{progress}; {_explain_live_attempts(parts, job, now)}"
    causes = (_failing_repeatedly, _exceeds_quota, _has_capacity, _lacks_capacity)
    cause = next(filter(None, (explain(parts, job, now) for explain in causes)), "")
    return f"{progress}, {job.pending_count} waiting: {cause}"


def _progress(parts: ControllerParts, job: Job) -> str:
    if job.is_service:
        return f"{serving_replicas(parts, job)} of {job.task_count} replicas running"
    return f"{job.finished_count} of {job.task_count} tasks done, {_running_count(job)} running"


def _running_count(job: Job) -> int:
    return sum(
        bool(attempt.running_at) and not attempt.has_exited
        for attempt in job.live_attempts.values()
    )


# ---- jobs without pending tasks ------------------------------------------------------------------


def _explain_live_attempts(parts: ControllerParts, job: Job, now: float) -> str:
    live = list(job.live_attempts.values())
    unknown = [
        attempt
        for attempt in live
        if attempt.state is OperationState.UNKNOWN
        or (job.is_service and is_unreachable(parts, attempt))
    ]
    if unknown:
        return _explain_unknown(parts, job, unknown, now)
    starting = len(live) - _running_count(job)
    if starting:
        image = parts.cluster_state.names.images.name(job.image)
        return f"{starting} starting, fetching image {image} ({job.image_size_gb:g} GB)."
    return "nothing waits."


def _explain_unknown(parts: ControllerParts, job: Job, unknown: list[Attempt], now: float) -> str:
    machine = parts.fleet.machines.get(unknown[0].machine)
    name = machine.name if machine else "a machine"
    text = f"{len(unknown)} may be on {name}, which has not reported since"
    if machine is None or not job.is_service:
        return f"{text}."
    left_s = max(0.0, parts.fleet.lease_expires_at(machine) - now)
    return f"{text}: they start elsewhere once its return is confirmed, in at most {left_s:.0f} s."


# ---- causes of pending tasks; each returns an empty string if it does not apply ------------------


def _failing_repeatedly(parts: ControllerParts, job: Job, now: float) -> str:
    machine_count = len(parts.fleet.job_failures.failed_on(job))
    retry = f"tried again in {job.retry_at - now:.0f} s"
    if parts.fleet.job_failures.is_suspect(job):
        return (
            f"it fails everywhere, on {machine_count} machines since"
            f" {now - job.suspect_since:.0f} s, and has never completed a task; one task is"
            f" {retry if now < job.retry_at else 'being tried'}."
        )
    if now < job.retry_at:
        return f"all that waits has failed before, on {machine_count} machines; {retry}."
    return ""


def _exceeds_quota(parts: ControllerParts, job: Job, _now: float) -> str:
    team = parts.cluster_view.teams[job.team]
    used_cores = parts.cluster_view.team_usage()[job.team].cores
    if used_cores + job.cores <= team.max_cores + CORES_TOLERANCE:
        return ""
    return f"team {team.name} uses {used_cores:g} of its limit of {team.cpus_max:g} cores."


def _machine_capacities(parts: ControllerParts) -> list[MachineCapacity]:
    capacity = parts.cluster_view.free_capacity()
    return [*capacity.usable.machines.values(), *capacity.cordoned_spot.machines.values()]


def _has_capacity(parts: ControllerParts, job: Job, _now: float) -> str:
    request = parts.cluster_view.placement_request(job)
    fitting = [
        candidate
        for candidate in _machine_capacities(parts)
        if candidate.allows(request) and candidate.fits(request)
    ]
    if not fitting:
        return ""
    headroom = zone_headroom(request)
    if any(headroom(candidate.zone) > 0 for candidate in fitting):
        return "there is room; it is placed in the next round."
    return "there is room only in zones that its tasks may not be in beside the others."


def _lacks_capacity(parts: ControllerParts, job: Job, now: float) -> str:
    request = parts.cluster_view.placement_request(job)
    allowed = sum(candidate.allows(request) for candidate in _machine_capacities(parts))
    booting = sum(machine.health is Health.BOOTING for machine in parts.fleet.machines.values())
    reasons = "".join(f"; {reason}" for reason in _capacity_reasons(parts, job, now))
    return (
        f"no room for {job.cores:g} cores and {job.ram_gb:g} GB on any of {allowed}"
        f" allowed machines, {booting} are booting{reasons}."
    )


def _capacity_reasons(parts: ControllerParts, job: Job, now: float) -> list[str]:
    """Return the reasons why there are not more machines or why the job does not get them."""
    names = parts.cluster_state.names
    refused = [
        f"{names.machine_types.name(machine_type)} {'spot' if spot else 'ordinary'}"
        f" in {names.zones.name(zone)}"
        for machine_type, zone, spot in parts.provisioner.offer_backoff.active(now)
    ]
    partitioned = partitioned_machine_count(parts)
    late = parts.provisioner.late_boot_count(now)
    unreachable = unreachable_zone_names(parts)
    reasons = {
        f"the cloud has no more {', '.join(refused)}": bool(refused),
        f"{partitioned} machines report but do not hear us": partitioned > 0,
        f"{late} are late in booting": late > 0,
        "it has neither a deadline nor an objective, and others' work comes first": (
            not parts.cluster_view.has_objectives(job)
        ),
        f"cut off: {unreachable}": bool(unreachable),
    }
    return [reason for reason, applies in reasons.items() if applies]
