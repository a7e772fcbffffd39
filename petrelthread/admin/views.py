"""JSON views of a controller: its status, its zones, and one job."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from petrelthread import protocol
from petrelthread.admin.conditions import STATE_SERVICE_TIMEOUT_S, active_conditions
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.admin.explain import explain_waiting, serving_replicas
from petrelthread.fleet import Health
from petrelthread.provisioning import ScaleOutOperation
from petrelthread.state import Job, OperationState

JsonObject = dict[str, Any]


def status_view(parts: ControllerParts, now: float) -> JsonObject:
    """Summarize the cluster: leader, siblings, zones, machines, teams, backlog and alerts."""
    election = parts.election
    return {
        "node": parts.settings.host_name,
        "role": election.role.value,
        "leader": election.leader_name,
        "epoch": election.highest_known_epoch,
        "token": election.fencing_token if election.may_answer_workers else None,
        "state_service": now - parts.watch_cache.current_as_of < STATE_SERVICE_TIMEOUT_S,
        "siblings": _siblings(parts, now),
        "zones": zones_view(parts),
        "machines": _machine_counts(parts),
        "operations": unknown_operations(parts, now),
        "teams": _teams(parts),
        "backlog": _backlog(parts),
        "troubles": [
            {"trouble": text, "for_s": round(parts.alerts.duration_s(kind, now), 1)}
            for kind, text in active_conditions(parts, now).items()
        ],
    }


def job_view(parts: ControllerParts, job: Job, now: float) -> JsonObject:
    """Describe the status of one job and why it waits."""
    kind = protocol.JobKind.ARRAY
    if job.is_service:
        kind = protocol.JobKind.SERVICE
    elif job.is_gang:
        kind = protocol.JobKind.GANG
    return {
        "job": job.id,
        "status": job.status,
        "team": parts.cluster_state.names.teams.name(job.team),
        "shape": kind,
        "tasks": job.task_count,
        "done": job.finished_count,
        "waiting": job.pending_count if job.final_status is None else 0,
        "age_s": round(time.time() - job.accepted_at, 1),
        "why": explain_waiting(parts, job, now),
    }


def zones_view(parts: ControllerParts) -> list[JsonObject]:
    """Describe each zone: a status text and its machines by health."""
    names = parts.cluster_state.names.zones
    counts: list[Counter[Health]] = [Counter() for _ in range(len(names))]
    for machine in parts.fleet.machines.values():
        if machine.zone >= 0:
            counts[machine.zone][machine.health] += 1
    return [_zone_view(parts, zone, count) for zone, count in enumerate(counts)]


def _zone_view(parts: ControllerParts, zone: int, count: Counter[Health]) -> JsonObject:
    up = count[Health.UP] + count[Health.DRAINING]
    unresponsive = count[Health.UNRESPONSIVE]
    text = "serving" if up else "no machines"
    if zone in parts.zone_monitor.cut_off_since:
        text = "DOWN: cut off, nothing in it is heard; nothing is rented there"
    elif unresponsive and not up:
        text = "DOWN: none of its machines reports"
    elif unresponsive:
        text = f"{unresponsive} of {up + unresponsive} machines silent"
    elif not up and count[Health.BOOTING]:
        text = "machines are booting"
    return {
        "zone": parts.cluster_state.names.zones.name(zone),
        "says": text,
        "up": up,
        "silent": unresponsive,
        "booting": count[Health.BOOTING],
    }


def unknown_operations(parts: ControllerParts, now: float) -> list[JsonObject]:
    """List operations with an unknown result, their age and the evidence that will settle them."""
    return [
        *_unknown_cloud_operations(parts, now),
        *_unacknowledged_starts(parts, now),
        *_unknown_starts(parts, now),
    ]


def _unknown_cloud_operations(parts: ControllerParts, now: float) -> list[JsonObject]:
    found: list[JsonObject] = []
    for operation in parts.provisioner.operations.values():
        if operation.state is not OperationState.UNKNOWN:
            continue
        awaited = "the cloud's answer to the same request, or a list taken well after"
        if isinstance(operation, ScaleOutOperation) and not parts.cluster_state.open_jobs:
            awaited = "a list taken well after, since it is no longer wanted"
        age_s = round(now - operation.unknown_at, 1)
        found.append({"operation": operation.store_key, "age_s": age_s, "awaits": awaited})
    return found


def _unacknowledged_starts(parts: ControllerParts, now: float) -> list[JsonObject]:
    starts = parts.fleet.unacknowledged_starts
    if not starts.count():
        return []
    return [
        {
            "operation": f"{starts.count()} direct starts without an answer",
            "age_s": round(starts.oldest_age_s(now), 1),
            "awaits": "their machines to show a token above"
            f" {parts.election.fencing_token - 1}, or a later session",
        }
    ]


def _unknown_starts(parts: ControllerParts, now: float) -> list[JsonObject]:
    found: list[JsonObject] = []
    for index, attempts in parts.cluster_state.attempts_by_machine.items():
        unknown = sum(attempt.state is OperationState.UNKNOWN for attempt in attempts.values())
        machine = parts.fleet.machines.get(index)
        if not unknown or machine is None:
            continue
        remaining_s = max(0.0, parts.fleet.lease_expires_at(machine) - now)
        found.append(
            {
                "operation": f"{unknown} starts on {machine.name}",
                "age_s": round(now - machine.last_seen_at, 1),
                "awaits": f"its report, its return, or its lease's end in {remaining_s:.0f} s",
            }
        )
    return found


def _siblings(parts: ControllerParts, now: float) -> list[JsonObject]:
    return [
        {
            "node": name,
            "heard_s_ago": round(now - received.received_at, 1),
            "state_service": received.heartbeat.state_service_ok,
            "workers_heard": received.heartbeat.worker_heartbeats,
        }
        for name, received in sorted(parts.peer_monitor.last_received.items())
    ]


def _machine_counts(parts: ControllerParts) -> dict[str, int]:
    counts: dict[str, int] = {}
    for machine in parts.fleet.machines.values():
        if machine.health is Health.TERMINATED:
            continue
        state = machine.health.value
        if machine.health is Health.UP and machine.partition_reason:
            state = "hears nothing"
        counts[state] = counts.get(state, 0) + 1
    return counts


def _teams(parts: ControllerParts) -> list[JsonObject]:
    return [
        {
            "team": team.name,
            "cores": usage.cores,
            "guaranteed": team.cpus,
            "limit": team.cpus_max or None,
        }
        for team, usage in zip(
            parts.cluster_view.teams, parts.cluster_view.team_usage(), strict=False
        )
    ]


def _backlog(parts: ControllerParts) -> dict[str, dict[str, int]]:
    """Count per job class: jobs, pending tasks, live attempts, and replicas of services."""
    names = parts.cluster_state.names.job_classes
    backlog: dict[str, dict[str, int]] = {}
    for job in parts.cluster_state.open_jobs.values():
        entry = backlog.setdefault(
            names.name(job.job_class), {"jobs": 0, "waiting": 0, "running": 0}
        )
        entry["jobs"] += 1
        entry["waiting"] += job.pending_count
        entry["running"] += len(job.live_attempts)
        if job.is_service:
            entry["replicas"] = entry.get("replicas", 0) + job.task_count
            entry["serving"] = entry.get("serving", 0) + serving_replicas(parts, job)
    return backlog
