"""Callbacks by which the fleet queries and notifies the rest of the controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from petrelthread.state import Job

UNLIMITED_CACHE_GB = 1e9


def _ignore() -> None:
    pass


def _ignore_run_time(_job: Job, _run_time_s: float) -> None:
    pass


def _unlimited_cache_gb(_machine_type: int) -> float:
    return UNLIMITED_CACHE_GB


def _ignore_job(_job_id: str) -> None:
    pass


def _never_read() -> float:
    return float("-inf")


@dataclass(frozen=True, slots=True)
class FleetCallbacks:
    """The fleet's callbacks to scheduler, provisioner and store; the defaults have no effect."""

    on_change: Callable[[], None] = _ignore
    """Tasks, capacity or machines changed, so that a scheduling round may have work."""

    on_replicas_lost: Callable[[], None] = _ignore
    """A machine that runs service replicas became unresponsive and must be replaced."""

    on_run_time: Callable[[Job, float], None] = _ignore_run_time
    """A task of the job completed with this run time in seconds, checkpointed time included."""

    image_cache_gb: Callable[[int], float] = _unlimited_cache_gb
    """Returns the size of the image cache of a machine type, given by index, in GB."""

    on_unknown_job: Callable[[str], None] = _ignore_job
    """A worker lists a task of the job with this id, which is not in memory."""

    state_current_as_of: Callable[[], float] = _never_read
    """Returns when the newest complete read of the state service began; event loop time."""


NO_CALLBACKS = FleetCallbacks()
