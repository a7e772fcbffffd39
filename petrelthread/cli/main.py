"""Subcommands and their arguments. ``--config FILE`` alone starts the controller."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from petrelthread import __version__

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="petrelthread", description="A cluster scheduler: controller and operator's tools."
    )
    top.add_argument("--version", action="version", version=f"petrelthread {__version__}")
    top.add_argument(
        "--config", metavar="FILE", help="start the controller with this settings file"
    )
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    serve = commands.add_parser("serve", help="start the controller")
    serve.add_argument("file", metavar="FILE", help="settings file (TOML)")
    check = commands.add_parser("check", help="check a settings file and exit")
    check.add_argument("file", metavar="FILE", help="settings file (TOML)")
    commands.add_parser("version", help="print the version")
    commands.add_parser("warm", help="load the whole daemon once, so that it lies compiled")
    return top


def main(argv: list[str] | None = None) -> int:
    top = parser()
    args = top.parse_args(argv)
    if args.command == "version":
        print(f"petrelthread {__version__}")
        return 0
    if args.command == "warm":
        import petrelthread.cli.serve  # noqa: F401

        return 0
    if args.command == "check":
        return _check(args.file)
    path = args.file if args.command == "serve" else args.config
    if path:
        return _serve(path)
    top.print_usage(sys.stderr)
    return 2


def _check(path: str) -> int:
    from petrelthread.settings import SettingsError, load

    try:
        settings = load(path)
    except SettingsError as error:
        print(f"petrelthread: {error}", file=sys.stderr)
        return 2
    print(f"{path}: valid settings of {settings.host_name}")
    return 0


def _serve(path: str) -> int:
    from petrelthread.cli.serve import serve
    from petrelthread.settings import SettingsError, load

    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(level, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    try:
        settings = load(path)
    except SettingsError as error:
        print(f"petrelthread: {error}", file=sys.stderr)
        return 2
    return serve(settings)
