"""Reading and validation of the settings file."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterator
from pathlib import Path

import msgspec

from petrelthread.settings.address import split_addr
from petrelthread.settings.model import Cluster, Settings, State

MIN_TRANSACTION_OPERATIONS = 3


class SettingsError(Exception):
    """The settings file cannot be used; the text names file, field and reason."""


def load(path: str | Path) -> Settings:
    """Read a settings file.

    Raises:
        SettingsError: it cannot be read, or its content is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    try:
        return parse(text)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error


def parse(text: str) -> Settings:
    """Parse and check settings, and apply the effective limits of the state service.

    Raises:
        SettingsError: the text is not TOML, or a field is missing or invalid.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from error
    try:
        settings = msgspec.convert(raw, Settings, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    _check_addresses(settings)
    _check_amounts(settings.cluster)
    _check_teams(settings.cluster)
    cluster = settings.cluster
    cluster = msgspec.structs.replace(cluster, state=cluster.state.effective_limits())
    return msgspec.structs.replace(settings, cluster=cluster)


def _check_addresses(settings: Settings) -> None:
    addresses = [
        ("bind", settings.bind),
        ("peer_listen", settings.peer_listen),
        ("endpoints.cloud", settings.endpoints.cloud),
        ("endpoints.state", settings.endpoints.state),
        *((f"siblings[{i}].peer_addr", s.peer_addr) for i, s in enumerate(settings.siblings)),
    ]
    for field, address in addresses:
        try:
            split_addr(address)
        except ValueError as error:
            raise SettingsError(f"{field}: {error}") from error


def _check_amounts(cluster: Cluster) -> None:
    amounts = [
        ("cluster.workers.report_s", cluster.workers.report_s),
        ("cluster.workers.lease_s", cluster.workers.lease_s),
        ("cluster.workers.cancel_s", cluster.workers.cancel_s),
        ("cluster.state.rps", cluster.state.rps),
        ("cluster.state.write_rps", cluster.state.write_rps),
        ("cluster.state.value_kb", cluster.state.value_kb),
        ("cluster.state.txn_ops", float(cluster.state.txn_ops)),
        ("cluster.cloud.rps", cluster.cloud.rps),
        *_announced_limits(cluster.state),
        ("cluster.cloud.list_lag_s", cluster.cloud.list_lag_s),
    ]
    for field, amount in amounts:
        if not (math.isfinite(amount) and amount > 0):
            raise SettingsError(f"{field}: must be a finite number above 0, got {amount}")
    if cluster.state.effective_limits().txn_ops < MIN_TRANSACTION_OPERATIONS:
        raise SettingsError(
            f"cluster.state.txn_ops: at least {MIN_TRANSACTION_OPERATIONS} changes"
            " a transaction are needed"
        )


def _announced_limits(state: State) -> Iterator[tuple[str, float]]:
    announced = {} if state.next is None else msgspec.structs.asdict(state.next)
    for field, limit in announced.items():
        if limit is not None:
            yield f"cluster.state.next.{field}", float(limit)


def _check_teams(cluster: Cluster) -> None:
    names = [team.name for team in cluster.teams]
    if len(set(names)) != len(names):
        raise SettingsError("cluster.teams: a team name appears twice")
    for i, team in enumerate(cluster.teams):
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            amount = getattr(team, field)
            if not math.isfinite(amount) or amount < 0:
                raise SettingsError(f"cluster.teams[{i}].{field}: must be 0 or more, got {amount}")
