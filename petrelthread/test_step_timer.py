"""Long steps of the event loop are logged with their name."""

from __future__ import annotations

import pytest

from petrelthread.step_timer import SLOW_STEP_S, timed_step


@pytest.mark.parametrize(
    ("duration_s", "expected"),
    [
        (SLOW_STEP_S, []),
        (1.5, ["slow step of the event loop: ordering of 61 jobs took 1.50 s"]),
    ],
)
def test_step_is_logged_with_its_name_only_if_it_is_slow(
    duration_s: float, expected: list[str], caplog: pytest.LogCaptureFixture
) -> None:
    times = iter([0.0, duration_s])
    with timed_step("ordering of %d jobs", 61, clock=lambda: next(times)):
        pass
    assert caplog.messages == expected


def test_step_that_raises_is_logged_too(caplog: pytest.LogCaptureFixture) -> None:
    times = iter([0.0, 2.0])
    with pytest.raises(ValueError, match="broken"), timed_step("plan", clock=lambda: next(times)):
        raise ValueError("broken")
    assert caplog.messages == ["slow step of the event loop: plan took 2.00 s"]
