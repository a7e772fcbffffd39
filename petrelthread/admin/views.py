"""What a controller can tell about itself, the machines and the jobs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from petrelthread import wire
from petrelthread.admin.troubles import STATE_S, now_wrong
from petrelthread.fleet import Health
from petrelthread.ledger import Attempt, Job, Op
from petrelthread.placement.place import zone_room

if TYPE_CHECKING:
    from petrelthread.controller import Controller


def status(node: Controller, now: float) -> dict[str, Any]:
    cluster_state, election = node.cluster_state, node.election
    siblings = [
        {
            "node": name,
            "heard_s_ago": round(now - heard.at, 1),
            "state_service": heard.heartbeat.state_ok,
            "workers_heard": heard.heartbeat.workers,
        }
        for name, heard in sorted(node.heartbeats.heard.items())
    ]
    use = node.view.team_use()
    backlog: dict[str, dict[str, int]] = {}
    for job in cluster_state.open.values():
        entry = backlog.setdefault(
            cluster_state.names.classes.name(job.jobclass), {"jobs": 0, "waiting": 0, "running": 0}
        )
        entry["jobs"] += 1
        entry["waiting"] += job.pending
        entry["running"] += len(job.live)
        if job.service:
            entry["replicas"] = entry.get("replicas", 0) + job.tasks
            entry["serving"] = entry.get("serving", 0) + _serving(node, job)
    return {
        "node": node.settings.host_name,
        "role": election.role.value,
        "leader": election.home,
        "epoch": election.known_epoch,
        "state_service": now - node.watch_cache.last_ok < STATE_S,
        "siblings": siblings,
        "zones": zones(node),
        "machines": _machines(node),
        "operations": operations(node, now),
        "teams": [
            {
                "team": team.name,
                "cores": use[at][0],
                "guaranteed": team.cpus,
                "limit": team.cpus_max or None,
            }
            for at, team in enumerate(node.view.teams)
        ],
        "backlog": backlog,
        "troubles": [
            {"trouble": text, "for_s": round(node.troubles.since(kind, now), 1)}
            for kind, text in now_wrong(node, now).items()
        ],
    }


def _lost(node: Controller, attempt: Attempt) -> bool:
    """Its machine is silent or on its way back: it may still run there."""
    machine = node.fleet.machines.get(attempt.machine)
    return machine is not None and machine.health in (Health.SILENT, Health.RETURNING)


def _serving(node: Controller, job: Job) -> int:
    return sum(
        a.status == wire.RUNNING and a.state is Op.CONFIRMED and not _lost(node, a)
        for a in job.live.values()
    )


def _machines(node: Controller) -> dict[str, int]:
    out: dict[str, int] = {}
    for machine in node.fleet.machines.values():
        if machine.health is not Health.GONE:
            state = machine.health.value
            if machine.health is Health.UP and machine.not_receiving:
                state = "hears nothing"
            out[state] = out.get(state, 0) + 1
    return out


def zones(node: Controller) -> list[dict[str, Any]]:
    names = node.cluster_state.names.zones
    out = []
    for index in range(len(names)):
        here = [m for m in node.fleet.machines.values() if m.zone == index]
        count = {health: sum(m.health is health for m in here) for health in Health}
        up, silent = count[Health.UP] + count[Health.DRAINING], count[Health.SILENT]
        says = "serving" if up else "no machines"
        if index in node.zone_watch.down:
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


def operations(node: Controller, now: float) -> list[dict[str, Any]]:
    """The unknown ones, with their age and the evidence that will settle them."""
    out: list[dict[str, Any]] = []
    for op in node.provisioner.ops.values():
        if op.state is Op.UNKNOWN:
            awaited = "the cloud's answer to the same request, or a list taken well after"
            if op.key.startswith("c/") and not node.cluster_state.open:
                awaited = "a list taken well after, since it is no longer wanted"
            age_s = round(now - op.unknown_at, 1)
            out.append({"operation": op.key, "age_s": age_s, "awaits": awaited})
    for index, there in node.cluster_state.on_machine.items():
        unknown = [a for a in there.values() if a.state is Op.UNKNOWN]
        machine = node.fleet.machines.get(index)
        if unknown and machine is not None:
            left_s = max(0.0, node.fleet.gone_at(machine) - now)
            out.append(
                {
                    "operation": f"{len(unknown)} starts on {machine.name}",
                    "age_s": round(now - machine.heard_at, 1),
                    "awaits": f"its report, its return, or its lease's end in {left_s:.0f} s",
                }
            )
    return out


def why(node: Controller, job: Job, now: float) -> str:
    """Why the job waits, in one plain sentence with the numbers behind it."""
    cluster_state = node.cluster_state
    if job.final is not None:
        return f"It is over: {job.final}."
    if now - node.watch_cache.last_ok > STATE_S:
        return "The state service does not answer, and nothing is started without it."
    if node.election.leader is None:
        since_s = node.troubles.since("leader", now)
        return f"There is no leader since {since_s:.0f} s, and nothing is started without one."
    live = list(job.live.values())
    unknown = [a for a in live if a.state is Op.UNKNOWN or (job.service and _lost(node, a))]
    running = [a for a in live if a.running_at and not a.ended]
    done = f"{job.done} of {job.tasks} tasks done, {len(running)} running"
    if job.service:
        done = f"{_serving(node, job)} of {job.tasks} replicas running"
    if job.pending == 0:
        if unknown:
            machine = node.fleet.machines.get(unknown[0].machine)
            name = machine.name if machine else "a machine"
            if machine is not None and job.service:
                left_s = max(0.0, node.fleet.gone_at(machine) - now)
                return (
                    f"{done}; {len(unknown)} may be on {name}, which has not reported since: they"
                    f" start elsewhere once its return is confirmed, in at most {left_s:.0f} s."
                )
            return f"{done}; {len(unknown)} may be on {name}, which has not reported since."
        if len(running) < len(live):
            image = cluster_state.names.images.name(job.image)
            waiting = len(live) - len(running)
            return f"{done}; {waiting} starting, fetching image {image} ({job.size_gb:g} GB)."
        return f"{done}; nothing waits."
    head = f"{done}, {job.pending} waiting"
    failed_on = len(node.fleet.failures.failed_on(job.index))
    again = f"tried again in {job.not_before - now:.0f} s"
    if node.fleet.suspect(job):
        return (
            f"{head}: it fails everywhere, on {failed_on} machines since"
            f" {now - job.suspect_since:.0f} s, and has never completed a task; one task is"
            f" {again if now < job.not_before else 'being tried'}."
        )
    if now < job.not_before:
        return f"{head}: all that waits has failed before, on {failed_on} machines; {again}."
    team = node.view.teams[job.team]
    used = node.view.team_use()[job.team][0]
    if used + job.cores > team.most_cores + 1e-6:
        return f"{head}: team {team.name} uses {used:g} of its limit of {team.cpus_max:g} cores."
    room = node.view.room()
    want = node.view.request(job)
    slots = [*room.usable.slots.values(), *room.surplus.slots.values()]
    allowed = [s for s in slots if s.allowed(want)]
    fitting = [s for s in allowed if s.fits(want)]
    zone_left = zone_room(want)
    if fitting and not any(zone_left(s.zone) > 0 for s in fitting):
        return (
            f"{head}: there is room only in zones that its tasks may not be in beside the others."
        )
    if fitting:
        return f"{head}: there is room; it is placed in the next round."
    booting = sum(m.health is Health.BOOTING for m in node.fleet.machines.values())
    refused = [
        f"{cluster_state.names.types.name(kind)} {'spot' if spot else 'ordinary'} in"
        f" {cluster_state.names.zones.name(zone)}"
        for kind, zone, spot, _ in node.provisioner.refusals.listed(now)
    ]
    tail = f"; the cloud has no more {', '.join(refused)}" if refused else ""
    deaf = sum(
        bool(m.not_receiving) and m.health is Health.UP for m in node.fleet.machines.values()
    )
    if deaf:
        tail += f"; {deaf} machines report but do not hear us"
    late = node.provisioner.late_boots(now)
    if late:
        tail += f"; {late} are late in booting"
    if not node.view.has_goals(job):
        tail += "; it has neither a deadline nor an objective, and others' work comes first"
    if node.zone_watch.down:
        cut = ", ".join(
            cluster_state.names.zones.name(zone) for zone in sorted(node.zone_watch.down)
        )
        tail += f"; cut off: {cut}"
    return (
        f"{head}: no room for {job.cores:g} cores and {job.ram_gb:g} GB on any of {len(allowed)}"
        f" allowed machines, {booting} are booting{tail}."
    )


def explain(node: Controller, job: Job, now: float) -> dict[str, Any]:
    return {
        "job": job.id,
        "status": job.status,
        "team": node.cluster_state.names.teams.name(job.team),
        "shape": wire.SERVICE if job.service else wire.GANG if job.gang else wire.ARRAY,
        "tasks": job.tasks,
        "done": job.done,
        "waiting": job.pending if job.final is None else 0,
        "age_s": round(time.time() - job.accepted_at, 1),
        "why": why(node, job, now),
    }
