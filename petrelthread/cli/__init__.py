"""The command line: starts the controller and runs the operators' commands."""

from petrelthread.cli.main import main

__all__ = ["main"]
