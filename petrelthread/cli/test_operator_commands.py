"""Tests of the output and exit codes of the operators' commands."""

from __future__ import annotations

from typing import Any

import pytest

from petrelthread.cli import main, operator_commands

STATUS: dict[str, Any] = {
    "node": "n0",
    "role": "leading",
    "leader": "n0",
    "epoch": 7,
    "state_service": True,
    "siblings": [
        {"node": f"n{n}", "heard_s_ago": 0.4, "state_service": True, "workers_heard": 0}
        for n in range(1, 5)
    ],
    "zones": [{"zone": z, "says": "serving", "up": 120, "booting": 3} for z in "abc"],
    "machines": {"up": 380, "hears nothing": 2, "silent": 4},
    "operations": [
        {"operation": f"2 starts on host-{n}", "age_s": float(n), "awaits": "its report"}
        for n in range(384)
    ],
    "teams": [
        {"team": f"team-{n:02d}", "cores": 100.0, "guaranteed": 180.0, "limit": 500.0}
        for n in range(16)
    ]
    + [{"team": "guests", "cores": 8.0, "guaranteed": 0.0, "limit": None}],
    "troubles": [{"trouble": "there is no leader: nothing is started", "for_s": 12.0}],
    "backlog": {"plan": {"jobs": 9, "waiting": 20, "running": 100}},
}


def stub_responses(
    monkeypatch: pytest.MonkeyPatch, code: int, response_body: Any
) -> list[tuple[str, str, Any]]:
    requests: list[tuple[str, str, Any]] = []

    def request(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        requests.append((method, path, body))
        return code, response_body

    monkeypatch.setattr(operator_commands, "request", request)
    return requests


def test_status_output_fits_one_screen(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    stub_responses(monkeypatch, 200, STATUS)
    assert main(["status"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) < 40
    assert any("no leader" in line and "12 s" in line for line in lines)
    assert any("team guests" in line and "no limit" in line for line in lines)
    assert any("2 hears nothing" in line for line in lines)
    assert any("host-383" in line for line in lines)  # the oldest is shown
    assert any("376 more" in line for line in lines)  # only the number of hidden ones is shown
    assert main(["status", "--json"]) == 0
    assert "host-0" in capsys.readouterr().out


@pytest.mark.parametrize(("code", "exit_code"), [(400, 2), (404, 3), (409, 4), (503, 1), (500, 1)])
def test_exit_code_follows_the_http_status(
    code: int,
    exit_code: int,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    stub_responses(monkeypatch, code, {"error": "the reason"})
    assert main(["why", "wk-000001"]) == exit_code
    shown = capsys.readouterr()
    assert "the reason" in shown.err
    assert not shown.out


def test_setting_value_that_is_not_a_number_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    requests = stub_responses(monkeypatch, 200, {"version": 3, "settings": []})
    assert main(["settings", "set", "idle_s", "soon"]) == 2
    assert all(method == "GET" for method, _, _ in requests)


SETTINGS: dict[str, Any] = {
    "version": 3,
    "settings": [
        {"name": "idle_s", "value": 40.0, "set": True, "least": 5.0, "most": 600.0, "says": "text"}
    ],
}


@pytest.mark.parametrize("options", [[], ["--json"]])
def test_unknown_setting_is_an_error_and_a_known_one_is_shown(
    options: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """A mistyped name looked like a setting without a value."""
    stub_responses(monkeypatch, 200, SETTINGS)
    assert main(["settings", "get", "idle_t", *options]) == 2
    shown = capsys.readouterr()
    assert "idle_t" in shown.err
    assert not shown.out
    for name in (["idle_s"], []):
        assert main(["settings", "get", *name, *options]) == 0
        assert "idle_s" in capsys.readouterr().out
