"""The operator's tools: they talk to the administration API of any controller."""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from typing import Any

from petrelthread.settings import split_addr

MAX_SHOWN = 8


class ControllerUnreachableError(Exception):
    pass


def ask(addr: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    try:
        host, port = split_addr(addr)
        connection = http.client.HTTPConnection(host, port, timeout=5)
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data, {"Content-Type": "application/json"})
        reply = connection.getresponse()
        return reply.status, json.loads(reply.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise ControllerUnreachableError(f"controller {addr} cannot be reached: {error}") from None


def operate(args: argparse.Namespace) -> int:
    try:
        return _operate(args)
    except ControllerUnreachableError as error:
        print(f"petrelthread: {error}", file=sys.stderr)
        return 1


def _operate(args: argparse.Namespace) -> int:
    base = "/admin/v1/"
    if args.command == "status":
        return _show(args, *ask(args.address, "GET", base + "status"), _status)
    if args.command == "zones":
        return _show(args, *ask(args.address, "GET", base + "zones"), _zones)
    if args.command == "why":
        return _show(args, *ask(args.address, "GET", f"{base}jobs/{args.job}"), _why)
    code, current = ask(args.address, "GET", base + "settings")
    if code != 200 or args.action == "get":
        return _show(args, code, current, lambda got: _settings(got, args.name))
    try:
        value = None if args.value == "default" else float(args.value)
    except ValueError:
        print(f"petrelthread: {args.value}: not a number", file=sys.stderr)
        return 2
    version = current["version"] if args.version is None else args.version
    change = {"name": args.name, "value": value, "version": version}
    return _show(args, *ask(args.address, "PUT", base + "settings", change), _changed)


def _show(args: argparse.Namespace, code: int, got: Any, text: Any) -> int:
    if code != 200:
        print(f"petrelthread: {got.get('error', got)}", file=sys.stderr)
        return {400: 2, 404: 3, 409: 4}.get(code, 1)
    print(json.dumps(got, indent=2) if args.json else text(got))
    return 0


def _zones(got: Any) -> str:
    return "\n".join(
        f"zone {z['zone']:<16} {z['says']} ({z['up']} up, {z['booting']} booting)"
        for z in got["zones"]
    )


def _why(got: Any) -> str:
    return f"{got['job']} ({got['status']}, {got['age_s']:.0f} s old): {got['why']}"


def _changed(got: Any) -> str:
    return f"{got['name']} = {got['value']} (version {got['version']})"


def _settings(got: Any, name: str | None) -> str:
    lines = [f"version {got['version']}"]
    for s in got["settings"]:
        if name in (None, s["name"]):
            mark = "set" if s["set"] else "default"
            span = f"{s['least']:g} to {s['most']:g}"
            lines.append(f"{s['name']:<16} {s['value']:<8g} {mark:<8} {span:<12} {s['says']}")
    return "\n".join(lines)


def _status(got: Any) -> str:
    lines = [
        f"leader {got['leader'] or 'none'}, epoch {got['epoch']}; asked {got['node']}"
        f" ({got['role']}), state service {'ok' if got['state_service'] else 'NOT ANSWERING'}"
    ]
    for s in got["siblings"]:
        store = "ok" if s["state_service"] else "NOT ANSWERING"
        lines.append(f"  {s['node']}: heard {s['heard_s_ago']} s ago, state service {store}")
    lines.append(_zones(got))
    lines.append("machines: " + ", ".join(f"{n} {h}" for h, n in got["machines"].items()))
    for name, b in sorted(got["backlog"].items()):
        line = (
            f"class {name}: {b['jobs']} jobs, {b['running']} tasks placed, {b['waiting']} waiting"
        )
        if "replicas" in b:
            line += f"; {b['serving']} of {b['replicas']} replicas running"
        lines.append(line)
    for t in got["teams"]:
        if t["cores"]:
            limit = "no limit" if t["limit"] is None else f"limit {t['limit']:g}"
            lines.append(
                f"team {t['team']}: {t['cores']:g} cores (guaranteed {t['guaranteed']:g}, {limit})"
            )
    for trouble in got["troubles"]:
        lines.append(f"TROUBLE for {trouble['for_s']:.0f} s: {trouble['trouble']}")
    # One screen: after a take-over there may be one for each of hundreds of machines.
    oldest = sorted(got["operations"], key=lambda op: -op["age_s"])
    for op in oldest[:MAX_SHOWN]:
        lines.append(f"unknown: {op['operation']}, {op['age_s']} s; awaits {op['awaits']}")
    if len(oldest) > MAX_SHOWN:
        lines.append(f"unknown: {len(oldest) - MAX_SHOWN} more, all younger (--json lists them)")
    return "\n".join(lines)
