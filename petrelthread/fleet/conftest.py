"""Fixtures of the tests of ``fleet``."""

from __future__ import annotations

import pytest

from petrelthread.fleet import CommandPlanner, FailureDetector, Fleet
from tests.fleet_builder import build_fleet


@pytest.fixture
def fleet() -> Fleet:
    """The fleet of a leader that has just been elected, without machines."""
    return build_fleet()


@pytest.fixture
def failure_detector(fleet: Fleet) -> FailureDetector:
    """Judges the fleet."""
    return FailureDetector(fleet)


@pytest.fixture
def command_planner(fleet: Fleet) -> CommandPlanner:
    """Plans commands for the fleet."""
    return CommandPlanner(fleet)
