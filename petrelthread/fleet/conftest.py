"""Fixtures of the tests of ``fleet``."""

from __future__ import annotations

import pytest

from petrelthread.fleet import CommandPlanner, FailureDetector, Fleet
from tests.fleet_builder import build_fleet


@pytest.fixture
def fleet() -> Fleet:
    """Return the fleet of a newly elected leader, without machines."""
    return build_fleet()


@pytest.fixture
def failure_detector(fleet: Fleet) -> FailureDetector:
    """Return a failure detector of the fleet."""
    return FailureDetector(fleet)


@pytest.fixture
def command_planner(fleet: Fleet) -> CommandPlanner:
    """Return a command planner of the fleet."""
    return CommandPlanner(fleet)
