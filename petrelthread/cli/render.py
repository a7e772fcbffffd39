"""Renders responses of the administration API as text for a terminal."""

from __future__ import annotations

from typing import Any

MAX_SHOWN_OPERATIONS = 8

JsonObject = dict[str, Any]


def zones(body: JsonObject) -> str:
    """Render one line per zone."""
    return "\n".join(
        f"zone {zone['zone']:<16} {zone['says']} ({zone['up']} up, {zone['booting']} booting)"
        for zone in body["zones"]
    )


def job(body: JsonObject) -> str:
    """Render a job's status and why it waits."""
    return f"{body['job']} ({body['status']}, {body['age_s']:.0f} s old): {body['why']}"


def changed_setting(body: JsonObject) -> str:
    """Render a setting that has just been changed."""
    return f"{body['name']} = {body['value']} (version {body['version']})"


def settings(body: JsonObject, name: str | None) -> str:
    """Render all settings, or the one with this name."""
    lines = [f"version {body['version']}"]
    lines += [_setting(setting) for setting in body["settings"] if name in (None, setting["name"])]
    return "\n".join(lines)


def _setting(setting: JsonObject) -> str:
    source = "set" if setting["set"] else "default"
    allowed = f"{setting['least']:g} to {setting['most']:g}"
    return (
        f"{setting['name']:<16} {setting['value']:<8g} {source:<8} {allowed:<12} {setting['says']}"
    )


def status(body: JsonObject) -> str:
    """Render the status view; it fits on one screen."""
    lines = [
        f"leader {body['leader'] or 'none'}, epoch {body['epoch']}; asked {body['node']}"
        f" ({body['role']}), state service {_reachable(body)}"
    ]
    lines += [
        f"  {sibling['node']}: heard {sibling['heard_s_ago']} s ago,"
        f" state service {_reachable(sibling)}"
        for sibling in body["siblings"]
    ]
    lines.append(zones(body))
    machines = (f"{count} {health}" for health, count in body["machines"].items())
    lines.append("machines: " + ", ".join(machines))
    lines += [_backlog(name, entry) for name, entry in sorted(body["backlog"].items())]
    lines += [_team(team) for team in body["teams"] if team["cores"]]
    lines += [
        f"TROUBLE for {trouble['for_s']:.0f} s: {trouble['trouble']}"
        for trouble in body["troubles"]
    ]
    lines += _operations(body["operations"])
    return "\n".join(lines)


def _reachable(node: JsonObject) -> str:
    return "ok" if node["state_service"] else "NOT ANSWERING"


def _backlog(job_class: str, entry: JsonObject) -> str:
    line = (
        f"class {job_class}: {entry['jobs']} jobs, {entry['running']} tasks placed,"
        f" {entry['waiting']} waiting"
    )
    if "replicas" in entry:
        line += f"; {entry['serving']} of {entry['replicas']} replicas running"
    return line


def _team(team: JsonObject) -> str:
    limit = "no limit" if team["limit"] is None else f"limit {team['limit']:g}"
    return (
        f"team {team['team']}: {team['cores']:g} cores (guaranteed {team['guaranteed']:g}, {limit})"
    )


def _operations(operations: list[JsonObject]) -> list[str]:
    """Render the oldest operations; a failover can leave one for each of hundreds of machines."""
    oldest = sorted(operations, key=lambda operation: -operation["age_s"])
    lines = [
        f"unknown: {operation['operation']}, {operation['age_s']} s; awaits {operation['awaits']}"
        for operation in oldest[:MAX_SHOWN_OPERATIONS]
    ]
    hidden = len(oldest) - MAX_SHOWN_OPERATIONS
    if hidden > 0:
        lines.append(f"unknown: {hidden} more, all younger (--json lists them)")
    return lines
