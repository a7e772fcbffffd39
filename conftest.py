"""Puts the checkout on the path, and fails each test in which a decision broke a rule."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from petrelthread.scheduling.start_validator import log as start_check_log

EXPECTED = "refused_starts_expected"


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", f"{EXPECTED}: the test makes the last check refuse starts")


@pytest.fixture(autouse=True)
def no_refused_starts(
    request: pytest.FixtureRequest, caplog: pytest.LogCaptureFixture
) -> Iterator[None]:
    """What the last check before a claim refuses, the decision should never have contained."""
    yield
    if request.node.get_closest_marker(EXPECTED) is None:
        refused = [r.message for r in caplog.get_records("call") if r.name == start_check_log.name]
        assert not refused
