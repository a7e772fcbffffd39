"""Pytest configuration: fails each test in which the start validator refuses a start.

Its place at the root makes pytest add the checkout to the module path.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from petrelthread.scheduling.start_validator import log as start_validator_log

REFUSALS_EXPECTED = "refused_starts_expected"


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line(
        "markers", f"{REFUSALS_EXPECTED}: the test makes the start validator refuse starts"
    )


@pytest.fixture(autouse=True)
def no_refused_starts(
    request: pytest.FixtureRequest, caplog: pytest.LogCaptureFixture
) -> Iterator[None]:
    """Fail if a start was refused: the scheduling decision should not have contained it."""
    yield
    if request.node.get_closest_marker(REFUSALS_EXPECTED) is None:
        refused = [
            r.message for r in caplog.get_records("call") if r.name == start_validator_log.name
        ]
        assert not refused
