"""Settings: validation, error texts that name the field, and effective limits."""

from __future__ import annotations

import pytest

from petrelthread.settings import SettingsError, load, parse
from tests.simulation import SETTINGS

VALID = SETTINGS.format(name="n0", siblings="")


def test_valid_settings_with_unknown_field_are_accepted() -> None:
    settings = parse("new_field = 3\n" + VALID)
    assert settings.host_name == "n0"
    workers = settings.cluster.workers
    assert 0 < settings.lease_grace_s < workers.cancel_s - workers.lease_s


def test_team_limit_of_zero_means_no_limit() -> None:
    """DEPLOY says "0 means none". A limit of 0 cores would refuse all jobs of such a team."""
    guest = parse(VALID).cluster.teams[-1]
    assert (guest.name, guest.cpus, guest.cpus_max) == ("guest", 0.0, 0.0)
    assert guest.max_cores > 1e9
    assert guest.max_accelerators > 1e9
    assert parse(VALID).cluster.teams[0].max_cores == 12.0


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ('bind = "n0:1"', 'bind = "n0"', "bind"),
        ("lease_s = 10.0", 'lease_s = "ten"', "lease_s"),
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 10.0", "lease_s = inf", "lease_s"),
        ("txn_ops = 8", "txn_ops = 1", "txn_ops"),
        ("[cluster.state]", "[cluster.state.next]\ntxn_ops = 1\n[cluster.state]", "txn_ops"),
        ("[cluster.state]", "[cluster.state.next]\nvalue_kb = -1.0\n[cluster.state]", "next.value"),
        ("cpus = 4.0", "cpus = -4.0", "teams[0].cpus"),
        ('state = "state:1"', "", "state"),
        ("count = 3", "count = [", "TOML"),
    ],
)
def test_error_for_invalid_settings_names_the_field(old: str, new: str, expected_text: str) -> None:
    with pytest.raises(SettingsError, match=expected_text.replace("[", r"\[")):
        parse(VALID.replace(old, new, 1))


def test_smaller_next_limits_apply_from_the_first_write() -> None:
    """The next limits take effect without notice. A larger next limit, or none, changes nothing."""
    current = parse(VALID).cluster.state
    text = VALID + "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 100.0\n"
    lowered = parse(text).cluster.state
    assert (lowered.value_kb, lowered.txn_ops) == (2.0, 4)
    assert (lowered.write_rps, lowered.rps) == (current.write_rps, current.rps)
    assert lowered.lowered_write_rps == current.lowered_write_rps == current.write_rps


def test_lower_next_write_rate_does_not_apply_from_the_first_write() -> None:
    """A write above the rate is refused without harm; too large a value is always refused."""
    text = VALID + "[cluster.state.next]\nwrite_rps = 18.0\nrps = 90.0\n"
    state = parse(text).cluster.state
    assert (state.write_rps, state.lowered_write_rps, state.rps) == (60.0, 18.0, 90.0)


def test_error_for_missing_file_names_it(tmp_path: object) -> None:
    with pytest.raises(SettingsError, match=r"nowhere\.toml"):
        load(f"{tmp_path}/nowhere.toml")
