"""Operators' commands: request a controller's administration API and print the response."""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from petrelthread.cli import render
from petrelthread.settings import split_addr

ADMIN_PREFIX = "/admin/v1/"
REQUEST_TIMEOUT_S = 5
EXIT_FAILED = 1
EXIT_BAD_ARGUMENT = 2
EXIT_CODES: dict[int, int] = {
    HTTPStatus.BAD_REQUEST: EXIT_BAD_ARGUMENT,
    HTTPStatus.NOT_FOUND: 3,
    HTTPStatus.CONFLICT: 4,
}


class ControllerUnreachableError(Exception):
    """The controller cannot be reached, or its response is not usable."""


def request(addr: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send a request to a controller's peer address; return status and decoded body.

    Raises:
        ControllerUnreachableError: the address is invalid, the connection fails, or the
            response is not JSON.
    """
    try:
        host, port = split_addr(addr)
        connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise ControllerUnreachableError(f"controller {addr} cannot be reached: {error}") from error


def operate(args: argparse.Namespace) -> int:
    """Run one command and return the exit code."""
    try:
        return _COMMANDS[args.command](args)
    except ControllerUnreachableError as error:
        print(f"petrelthread: {error}", file=sys.stderr)
        return EXIT_FAILED


def _status(args: argparse.Namespace) -> int:
    return _print(args, *request(args.address, "GET", ADMIN_PREFIX + "status"), render.status)


def _zones(args: argparse.Namespace) -> int:
    return _print(args, *request(args.address, "GET", ADMIN_PREFIX + "zones"), render.zones)


def _why(args: argparse.Namespace) -> int:
    return _print(args, *request(args.address, "GET", f"{ADMIN_PREFIX}jobs/{args.job}"), render.job)


def _settings(args: argparse.Namespace) -> int:
    status, current = request(args.address, "GET", ADMIN_PREFIX + "settings")
    if status != HTTPStatus.OK or args.action == "get":
        return _print_settings(args, status, current)
    try:
        value = None if args.value == "default" else float(args.value)
    except ValueError:
        print(f"petrelthread: {args.value}: not a number", file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    version = current["version"] if args.version is None else args.version
    change = {"name": args.name, "value": value, "version": version}
    response = request(args.address, "PUT", ADMIN_PREFIX + "settings", change)
    return _print(args, *response, render.changed_setting)


def _print_settings(args: argparse.Namespace, status: int, body: Any) -> int:
    if status == HTTPStatus.OK and args.name is not None:
        names = [setting["name"] for setting in body["settings"]]
        if args.name not in names:
            status, body = HTTPStatus.BAD_REQUEST, {"error": f"unknown setting {args.name}"}
    return _print(args, status, body, lambda shown: render.settings(shown, args.name))


_COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "status": _status,
    "zones": _zones,
    "why": _why,
    "settings": _settings,
}


def _print(args: argparse.Namespace, status: int, body: Any, text: Callable[[Any], str]) -> int:
    if status != HTTPStatus.OK:
        print(f"petrelthread: {body.get('error', body)}", file=sys.stderr)
        return EXIT_CODES.get(status, EXIT_FAILED)
    print(json.dumps(body, indent=2) if args.json else text(body))
    return 0
