"""Subcommands and their arguments.

``--config FILE`` without a subcommand starts the controller.
"""

from __future__ import annotations

import argparse
import logging
import os
import sys
from collections.abc import Callable
from dataclasses import replace

from petrelthread import __version__

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
EXIT_BAD_ARGUMENT = 2

Subparsers = argparse._SubParsersAction  # noqa: SLF001 - argparse has no public name for it


def parser() -> argparse.ArgumentParser:
    """Build the parser of all subcommands."""
    top = argparse.ArgumentParser(
        prog="petrelthread",
        description="A cluster scheduler: the controller and operators' commands.",
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
    commands.add_parser("warm", help="import the controller once, so that its bytecode is cached")
    commands.add_parser("demo", help="run a whole cluster on loopback and kill its leader")
    _add_soak(commands)
    bench = commands.add_parser(
        "bench-rounds", help="measure a leader's recurring work by number of machines"
    )
    bench.add_argument(
        "--machines",
        type=_positive,
        nargs="+",
        help="numbers of machines (default: 600 to 8000; with --giant-arrays, 8 to 4000)",
    )
    bench.add_argument(
        "--giant-arrays",
        action="store_true",
        help="measure the steps of a leader while arrays of 100000 tasks wait",
    )
    _add_operator_commands(commands)
    return top


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("must be 1 or more")
    return number


def _add_soak(commands: Subparsers[argparse.ArgumentParser]) -> None:
    soak = commands.add_parser(
        "soak", help="run real controllers on loopback under random faults and check invariants"
    )
    soak.add_argument("--seeds", type=_positive, default=1, help="number of seeds (default: 1)")
    soak.add_argument("--first-seed", type=int, default=1, help="first seed (default: 1)")
    soak.add_argument(
        "--seconds", type=_positive, default=40, help="duration of faults per seed (default: 40)"
    )
    soak.add_argument(
        "--controllers", type=_positive, default=3, help="number of controllers (default: 3)"
    )
    soak.add_argument(
        "--machines", type=_positive, default=12, help="number of machines (default: 12)"
    )
    soak.add_argument(
        "--sources", metavar="DIR", help="checkout whose controllers are run (default: this one)"
    )


def _add_operator_commands(commands: Subparsers[argparse.ArgumentParser]) -> None:
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--json", action="store_true", help="print the response as JSON")
    common.add_argument(
        "--address",
        default=os.environ.get("PETRELTHREAD_ADDRESS", "127.0.0.1:8081"),
        help="peer address of any controller (default: $PETRELTHREAD_ADDRESS or 127.0.0.1:8081)",
    )
    commands.add_parser(
        "status", parents=[common], help="show leader, zones, machines, backlog and alerts"
    )
    commands.add_parser("zones", parents=[common], help="show the state of each zone")
    why = commands.add_parser("why", parents=[common], help="explain why a job waits")
    why.add_argument("job", metavar="JOB")
    settings = commands.add_parser("settings", help="show or change operators' settings")
    actions = settings.add_subparsers(dest="action", required=True)
    get = actions.add_parser("get", parents=[common], help="show all settings, or one")
    get.add_argument("name", nargs="?")
    change = actions.add_parser("set", parents=[common], help="change one setting")
    change.add_argument("name")
    change.add_argument("value", help="a number, or 'default'")
    change.add_argument(
        "--version", type=int, help="refuse the change if the settings are not at this version"
    )


def main(argv: list[str] | None = None) -> int:
    """Run the command that ``argv`` names and return the exit code."""
    top = parser()
    args = top.parse_args(argv)
    if args.command:
        return _COMMANDS[args.command](args)
    if args.config:
        return _serve(args.config)
    top.print_usage(sys.stderr)
    return EXIT_BAD_ARGUMENT


# Each command imports its own modules, so that the controller starts without those of the others.


def _version(_args: argparse.Namespace) -> int:
    print(f"petrelthread {__version__}")
    return 0


def _warm(_args: argparse.Namespace) -> int:
    import petrelthread.cli.serve  # noqa: F401  (caches the bytecode of all that it imports)

    return 0


def _demo(_args: argparse.Namespace) -> int:
    from petrelthread.emulator.demo import run_demo

    return run_demo()


def _bench_rounds(args: argparse.Namespace) -> int:
    from petrelthread.benchmark import giant_arrays, rounds

    if args.giant_arrays:
        return giant_arrays.bench_giant_arrays(args.machines or giant_arrays.MACHINE_COUNTS)
    return rounds.bench_rounds(args.machines or rounds.MACHINE_COUNTS)


def _operate(args: argparse.Namespace) -> int:
    from petrelthread.cli.operator_commands import operate

    return operate(args)


def _soak(args: argparse.Namespace) -> int:
    from pathlib import Path

    from petrelthread.emulator.loopback_environment import LoopbackOptions
    from petrelthread.emulator.soak import run_seeds

    options = LoopbackOptions(args.seconds, args.controllers, args.machines)
    if args.sources:
        options = replace(options, sources=Path(args.sources).resolve())
    if not (options.sources / "run.py").is_file():
        print(f"petrelthread: --sources: no run.py in {options.sources}", file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    return run_seeds(range(args.first_seed, args.first_seed + args.seeds), options)


def _check(args: argparse.Namespace) -> int:
    from petrelthread.settings import SettingsError, load

    try:
        settings = load(args.file)
    except SettingsError as error:
        print(f"petrelthread: {error}", file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    print(f"{args.file}: valid settings of {settings.host_name}")
    return 0


def _serve(path: str) -> int:
    from petrelthread.cli.serve import serve
    from petrelthread.settings import SettingsError, load

    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(level, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    try:
        settings = load(path)
    except SettingsError as error:
        print(f"petrelthread: {error}", file=sys.stderr)
        return EXIT_BAD_ARGUMENT
    return serve(settings)


_COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "serve": lambda args: _serve(args.file),
    "check": _check,
    "version": _version,
    "warm": _warm,
    "demo": _demo,
    "soak": _soak,
    "bench-rounds": _bench_rounds,
    "status": _operate,
    "zones": _operate,
    "why": _operate,
    "settings": _operate,
}
