"""The identity of a start command: which attempt of which task it starts."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.state import Attempt


class StartKey(NamedTuple):
    """Identifies one attempt: the indices of job and task, and the attempt's number."""

    job: int
    task: int
    attempt: int


def start_key_of(attempt: Attempt) -> StartKey:
    """Return the key that identifies the attempt on its machine."""
    return StartKey(attempt.job.index, attempt.task, attempt.number)
