"""Runs the tests that KNOWN-RED.txt lists, prints them, and sees to it that each one fails.

Each line of the file: test, cause, issue. Prints to standard output, one per line, the pytest
options that leave just those tests out of the main run. Exits with 1 if the file lists more than
three tests, has a malformed line, or lists a test that passes or does not exist.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

MOST_LISTED = 3
PYTEST_FAILED = 1  # pytest's exit code when tests ran and some failed


class KnownRed(NamedTuple):
    """One listed test."""

    test: str
    cause: str
    issue: str


class ListError(Exception):
    """The list breaks its own rules; the text says how."""


def parse(text: str) -> list[KnownRed]:
    """The listed tests. Raises ListError for a malformed or a fourth line."""
    listed = []
    for line in filter(None, map(str.strip, text.splitlines())):
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test and cause and issue) or "::" not in test:
            raise ListError(f"expected 'test, cause, issue': {line!r}")
        listed.append(KnownRed(test, cause, issue))
    if len(listed) > MOST_LISTED:
        raise ListError(f"{len(listed)} tests are listed, {MOST_LISTED} at most may be")
    return listed


def fails(test: str) -> bool:
    """Whether the test runs and fails."""
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", test]
    result = subprocess.run(command, stdout=subprocess.DEVNULL, check=False)
    return result.returncode == PYTEST_FAILED


def main(path: Path) -> int:
    """Check the list at ``path``; the exit code."""
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    try:
        listed = parse(text)
        for known in listed:
            print(f"known red: {known.test}: {known.cause} ({known.issue})", file=sys.stderr)
            if not fails(known.test):
                raise ListError(f"{known.test} is listed but does not fail")
    except ListError as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1
    for known in listed:
        print(f"--deselect={known.test}")
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent.parent / "KNOWN-RED.txt"))
