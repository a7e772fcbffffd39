"""The command line: the daemon and the operator's tools round it."""

from petrelthread.cli.main import main

__all__ = ["main"]
