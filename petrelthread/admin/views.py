"""What a controller can tell about itself, the machines and the jobs."""

from __future__ import annotations

import time
from typing import Any

from petrelthread import protocol
from petrelthread.admin.conditions import STATE_SERVICE_TIMEOUT_S, active_conditions
from petrelthread.admin.controller_parts import ControllerParts
from petrelthread.admin.explain import explain_waiting, serving_replicas
from petrelthread.fleet import Health
from petrelthread.state import Job, OperationState


def status(parts: ControllerParts, now: float) -> dict[str, Any]:
    cluster_state, election = parts.cluster_state, parts.election
    siblings = [
        {
            "node": name,
            "heard_s_ago": round(now - heard.received_at, 1),
            "state_service": heard.heartbeat.state_service_ok,
            "workers_heard": heard.heartbeat.worker_heartbeats,
        }
        for name, heard in sorted(parts.peer_monitor.last_received.items())
    ]
    use = parts.view.team_usage()
    backlog: dict[str, dict[str, int]] = {}
    for job in cluster_state.open_jobs.values():
        entry = backlog.setdefault(
            cluster_state.names.job_classes.name(job.job_class),
            {"jobs": 0, "waiting": 0, "running": 0},
        )
        entry["jobs"] += 1
        entry["waiting"] += job.pending_count
        entry["running"] += len(job.live_attempts)
        if job.is_service:
            entry["replicas"] = entry.get("replicas", 0) + job.task_count
            entry["serving"] = entry.get("serving", 0) + serving_replicas(parts, job)
    return {
        "node": parts.settings.host_name,
        "role": election.role.value,
        "leader": election.leader_name,
        "epoch": election.highest_known_epoch,
        "token": election.fencing_token if election.may_answer_workers else None,
        "state_service": now - parts.watch_cache.current_as_of < STATE_SERVICE_TIMEOUT_S,
        "siblings": siblings,
        "zones": zones(parts),
        "machines": _machines(parts),
        "operations": operations(parts, now),
        "teams": [
            {
                "team": team.name,
                "cores": use[at][0],
                "guaranteed": team.cpus,
                "limit": team.cpus_max or None,
            }
            for at, team in enumerate(parts.view.teams)
        ],
        "backlog": backlog,
        "troubles": [
            {"trouble": text, "for_s": round(parts.alerts.duration_s(kind, now), 1)}
            for kind, text in active_conditions(parts, now).items()
        ],
    }


def _machines(parts: ControllerParts) -> dict[str, int]:
    out: dict[str, int] = {}
    for machine in parts.fleet.machines.values():
        if machine.health is not Health.TERMINATED:
            state = machine.health.value
            if machine.health is Health.UP and machine.partition_reason:
                state = "hears nothing"
            out[state] = out.get(state, 0) + 1
    return out


def zones(parts: ControllerParts) -> list[dict[str, Any]]:
    names = parts.cluster_state.names.zones
    out = []
    for index in range(len(names)):
        here = [m for m in parts.fleet.machines.values() if m.zone == index]
        count = {health: sum(m.health is health for m in here) for health in Health}
        up, silent = count[Health.UP] + count[Health.DRAINING], count[Health.UNRESPONSIVE]
        says = "serving" if up else "no machines"
        if index in parts.zone_monitor.cut_off_since:
            says = "DOWN: cut off, nothing in it is heard; nothing is rented there"
        elif silent and not up:
            says = "DOWN: none of its machines reports"
        elif silent:
            says = f"{silent} of {up + silent} machines silent"
        elif not up and count[Health.BOOTING]:
            says = "machines are booting"
        out.append(
            {
                "zone": names.name(index),
                "says": says,
                "up": up,
                "silent": silent,
                "booting": count[Health.BOOTING],
            }
        )
    return out


def operations(parts: ControllerParts, now: float) -> list[dict[str, Any]]:
    """The unknown ones, with their age and the evidence that will settle them."""
    out: list[dict[str, Any]] = []
    for op in parts.provisioner.operations.values():
        if op.state is OperationState.UNKNOWN:
            awaited = "the cloud's answer to the same request, or a list taken well after"
            if op.key.startswith("c/") and not parts.cluster_state.open_jobs:
                awaited = "a list taken well after, since it is no longer wanted"
            age_s = round(now - op.unknown_at, 1)
            out.append({"operation": op.key, "age_s": age_s, "awaits": awaited})
    uncertain = parts.fleet.unacknowledged_starts
    if uncertain.count():
        out.append(
            {
                "operation": f"{uncertain.count()} direct starts without an answer",
                "age_s": round(uncertain.oldest_age_s(now), 1),
                "awaits": f"their machines to show a token above"
                f" {parts.election.fencing_token - 1}, or a later session",
            }
        )
    for index, there in parts.cluster_state.attempts_by_machine.items():
        unknown = [a for a in there.values() if a.state is OperationState.UNKNOWN]
        machine = parts.fleet.machines.get(index)
        if unknown and machine is not None:
            left_s = max(0.0, parts.fleet.lease_expires_at(machine) - now)
            out.append(
                {
                    "operation": f"{len(unknown)} starts on {machine.name}",
                    "age_s": round(now - machine.last_seen_at, 1),
                    "awaits": f"its report, its return, or its lease's end in {left_s:.0f} s",
                }
            )
    return out


def explain(parts: ControllerParts, job: Job, now: float) -> dict[str, Any]:
    return {
        "job": job.id,
        "status": job.status,
        "team": parts.cluster_state.names.teams.name(job.team),
        "shape": protocol.JobKind.SERVICE
        if job.is_service
        else protocol.JobKind.GANG
        if job.is_gang
        else protocol.JobKind.ARRAY,
        "tasks": job.task_count,
        "done": job.done_count,
        "waiting": job.pending_count if job.final_status is None else 0,
        "age_s": round(time.time() - job.accepted_at, 1),
        "why": explain_waiting(parts, job, now),
    }
