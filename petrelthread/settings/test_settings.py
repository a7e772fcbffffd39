"""Settings: what is refused, and that the text says where."""

from __future__ import annotations

import pytest

from petrelthread.settings import SettingsError, load, parse
from tests.simulation import SETTINGS

GOOD = SETTINGS.format(name="n0", siblings="")


def test_good_settings_and_unknown_fields() -> None:
    settings = parse("new_field = 3\n" + GOOD)
    assert settings.host_name == "n0"
    workers = settings.cluster.workers
    assert 0 < settings.lease_grace_s < workers.cancel_s - workers.lease_s


def test_a_team_without_a_limit_has_none() -> None:
    """DEPLOY: "0 means none". Guests' jobs were all refused as beyond a limit of 0 cores."""
    guest = parse(GOOD).cluster.teams[-1]
    assert (guest.name, guest.cpus, guest.cpus_max) == ("guest", 0.0, 0.0)
    assert guest.most_cores > 1e9
    assert guest.most_accelerators > 1e9
    assert parse(GOOD).cluster.teams[0].most_cores == 12.0


@pytest.mark.parametrize(
    ("old", "new", "said"),
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
def test_bad_settings_name_the_field(old: str, new: str, said: str) -> None:
    with pytest.raises(SettingsError, match=said.replace("[", r"\[")):
        parse(GOOD.replace(old, new, 1))


def test_limits_that_will_come_hold_from_the_first_write() -> None:
    """They begin without notice; a larger one, or none, changes nothing."""
    now = parse(GOOD).cluster.state
    text = GOOD + "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 100.0\n"
    later = parse(text).cluster.state
    assert (later.value_kb, later.txn_ops) == (2.0, 4)
    assert (later.write_rps, later.rps) == (now.write_rps, now.rps)
    assert later.lowered_write_rps == now.lowered_write_rps == now.write_rps


def test_a_lower_write_rate_that_will_come_holds_once_it_is_seen() -> None:
    """A write beyond it is refused harmlessly; what is too large would be refused for ever."""
    text = GOOD + "[cluster.state.next]\nwrite_rps = 18.0\nrps = 90.0\n"
    state = parse(text).cluster.state
    assert (state.write_rps, state.lowered_write_rps, state.rps) == (60.0, 18.0, 90.0)


def test_missing_file_is_named(tmp_path: object) -> None:
    with pytest.raises(SettingsError, match=r"nowhere\.toml"):
        load(f"{tmp_path}/nowhere.toml")
