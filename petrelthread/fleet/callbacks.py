"""What the rest of the controller supplies to the fleet and wants to hear from it."""

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


def _never_read() -> float:
    return float("-inf")


@dataclass(frozen=True, slots=True)
class FleetCallbacks:
    """The fleet's links to scheduler, provisioner and store; the defaults do nothing."""

    on_change: Callable[[], None] = _ignore
    """Tasks, room or machines changed: a scheduling round may find something to do."""

    on_replicas_lost: Callable[[], None] = _ignore
    """A machine that runs service replicas became unresponsive and must be replaced."""

    on_run_time: Callable[[Job, float], None] = _ignore_run_time
    """A task of the job completed after so many seconds of work, checkpoints included."""

    image_cache_gb: Callable[[int], float] = _unlimited_cache_gb
    """The size of the image cache of a machine type (by index), in GB."""

    state_current_as_of: Callable[[], float] = _never_read
    """The start of the newest complete read of the state service, in event loop seconds."""


NO_CALLBACKS = FleetCallbacks()
