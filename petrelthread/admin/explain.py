"""Why a job waits, in one plain sentence with the numbers behind it."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.admin.conditions import STATE_SERVICE_TIMEOUT_S
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.fleet import Health
from petrelthread.scheduling.bin_packing import zone_headroom
from petrelthread.state import Attempt, Job, OperationState

EPSILON = 1e-6  # of sums of cores


def is_unreachable(parts: ControllerParts, attempt: Attempt) -> bool:
    """Its machine is silent or on its way back: it may still run there."""
    machine = parts.fleet.machines.get(attempt.machine)
    return machine is not None and machine.health in (Health.UNRESPONSIVE, Health.TERMINATING)


def serving_replicas(parts: ControllerParts, job: Job) -> int:
    """How many replicas of a service run where they can be reached."""
    return sum(
        a.reported_state == protocol.TaskState.RUNNING
        and a.state is OperationState.CONFIRMED
        and not is_unreachable(parts, a)
        for a in job.live_attempts.values()
    )


def explain_waiting(parts: ControllerParts, job: Job, now: float) -> str:
    """The first cause that holds, from the service as a whole down to the job's own machines."""
    if job.final_status is not None:
        return f"It is over: {job.final_status}."
    if now - parts.watch_cache.current_as_of > STATE_SERVICE_TIMEOUT_S:
        return "The state service does not answer, and nothing is started without it."
    if parts.election.leader is None:
        since_s = parts.alerts.duration_s("leader", now)
        return f"There is no leader since {since_s:.0f} s, and nothing is started without one."
    done = _progress(parts, job)
    if job.pending_count == 0:
        return _nothing_waits(parts, job, done, now)
    head = f"{done}, {job.pending_count} waiting"
    return (
        _failing(parts, job, head, now)
        or _over_limit(parts, job, head)
        or _room_there(parts, job, head)
        or _no_room(parts, job, head, now)
    )


def _running(job: Job) -> int:
    return sum(bool(a.running_at) and not a.has_exited for a in job.live_attempts.values())


def _progress(parts: ControllerParts, job: Job) -> str:
    if job.is_service:
        return f"{serving_replicas(parts, job)} of {job.task_count} replicas running"
    return f"{job.done_count} of {job.task_count} tasks done, {_running(job)} running"


def _nothing_waits(parts: ControllerParts, job: Job, done: str, now: float) -> str:
    live = list(job.live_attempts.values())
    unknown = [
        a
        for a in live
        if a.state is OperationState.UNKNOWN or (job.is_service and is_unreachable(parts, a))
    ]
    if unknown:
        machine = parts.fleet.machines.get(unknown[0].machine)
        name = machine.name if machine else "a machine"
        if machine is not None and job.is_service:
            left_s = max(0.0, parts.fleet.lease_expires_at(machine) - now)
            return (
                f"{done}; {len(unknown)} may be on {name}, which has not reported since: they"
                f" start elsewhere once its return is confirmed, in at most {left_s:.0f} s."
            )
        return f"{done}; {len(unknown)} may be on {name}, which has not reported since."
    waiting = len(live) - _running(job)
    if waiting:
        image = parts.cluster_state.names.images.name(job.image)
        return f"{done}; {waiting} starting, fetching image {image} ({job.image_size_gb:g} GB)."
    return f"{done}; nothing waits."


def _failing(parts: ControllerParts, job: Job, head: str, now: float) -> str:
    failed_on = len(parts.fleet.job_failures.failed_on(job))
    again = f"tried again in {job.retry_at - now:.0f} s"
    if parts.fleet.job_failures.is_suspect(job):
        return (
            f"{head}: it fails everywhere, on {failed_on} machines since"
            f" {now - job.suspect_since:.0f} s, and has never completed a task; one task is"
            f" {again if now < job.retry_at else 'being tried'}."
        )
    if now < job.retry_at:
        return f"{head}: all that waits has failed before, on {failed_on} machines; {again}."
    return ""


def _over_limit(parts: ControllerParts, job: Job, head: str) -> str:
    team = parts.view.teams[job.team]
    used = parts.view.team_usage()[job.team][0]
    if used + job.cores > team.most_cores + EPSILON:
        return f"{head}: team {team.name} uses {used:g} of its limit of {team.cpus_max:g} cores."
    return ""


def _room_there(parts: ControllerParts, job: Job, head: str) -> str:
    room = parts.view.free_capacity()
    request = parts.view.request(job)
    slots = [*room.usable.slots.values(), *room.surplus.slots.values()]
    fitting = [slot for slot in slots if slot.allowed(request) and slot.fits(request)]
    if not fitting:
        return ""
    zone_left = zone_headroom(request)
    if not any(zone_left(slot.zone) > 0 for slot in fitting):
        return (
            f"{head}: there is room only in zones that its tasks may not be in beside the others."
        )
    return f"{head}: there is room; it is placed in the next round."


def _no_room(parts: ControllerParts, job: Job, head: str, now: float) -> str:
    room = parts.view.free_capacity()
    request = parts.view.request(job)
    slots = [*room.usable.slots.values(), *room.surplus.slots.values()]
    allowed = sum(slot.allowed(request) for slot in slots)
    booting = sum(m.health is Health.BOOTING for m in parts.fleet.machines.values())
    return (
        f"{head}: no room for {job.cores:g} cores and {job.ram_gb:g} GB on any of {allowed}"
        f" allowed machines, {booting} are booting{_besides(parts, job, now)}."
    )


def _besides(parts: ControllerParts, job: Job, now: float) -> str:
    """What else keeps machines from being there."""
    names = parts.cluster_state.names
    tail = ""
    refused = [
        " ".join(
            (
                names.machine_types.name(machine_type),
                "spot" if spot else "ordinary",
                f"in {names.zones.name(zone)}",
            )
        )
        for machine_type, zone, spot, _ in parts.provisioner.offer_backoff.active(now)
    ]
    if refused:
        tail += f"; the cloud has no more {', '.join(refused)}"
    deaf = sum(
        bool(m.partition_reason) and m.health is Health.UP for m in parts.fleet.machines.values()
    )
    if deaf:
        tail += f"; {deaf} machines report but do not hear us"
    late = parts.provisioner.late_boot_count(now)
    if late:
        tail += f"; {late} are late in booting"
    if not parts.view.has_goals(job):
        tail += "; it has neither a deadline nor an objective, and others' work comes first"
    if parts.zone_monitor.cut_off_since:
        cut = ", ".join(names.zones.name(zone) for zone in sorted(parts.zone_monitor.cut_off_since))
        tail += f"; cut off: {cut}"
    return tail
