"""The settings file handed over by the platform: read once, checked, never changed."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import msgspec

UNLIMITED = 1e12  # more than any deployment has; finite, so that shares and counts stay numbers


class SettingsError(Exception):
    """The settings file cannot be used; the text names file, field and reason."""


class Sibling(msgspec.Struct, frozen=True):
    host_name: str
    peer_addr: str
    zone: str = ""


class Endpoints(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    # DEPLOY: "0 means none". A guest team has neither guarantee nor limit; read as a limit of
    # nothing, each of its jobs was answered with 422.
    @property
    def most_cores(self) -> float:
        return self.cpus_max or UNLIMITED

    @property
    def most_accelerators(self) -> float:
        return self.gpus_max or UNLIMITED


class Objective(msgspec.Struct, frozen=True, rename={"jobclass": "class"}):
    kind: str
    jobclass: str = ""
    within_s: float = 0.0
    share: float = 0.0
    times: float = 1.0


class Workers(msgspec.Struct, frozen=True):
    report_s: float
    lease_s: float
    cancel_s: float


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on, without notice."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct, frozen=True):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextState | None = None

    def in_force(self) -> State:
        """Limits that hold for every write from the first one on.

        Nobody tells when the next ones begin. A larger value or transaction would be refused for
        ever, so the smaller of both limits holds at once. A write that comes too early is refused
        harmlessly: for that the present rate holds until a refusal shows ``lowered_write_rps``.
        Everything else reads this alone.
        """
        after = self.next or NextState()
        return State(
            min(self.rps, self.rps if after.rps is None else after.rps),
            self.write_rps,
            min(self.value_kb, self.value_kb if after.value_kb is None else after.value_kb),
            min(self.txn_ops, self.txn_ops if after.txn_ops is None else after.txn_ops),
            after,
        )

    @property
    def lowered_write_rps(self) -> float:
        """The write rate that holds once the service has lowered its limits."""
        later = None if self.next is None else self.next.write_rps
        return self.write_rps if later is None else min(self.write_rps, later)


class Cloud(msgspec.Struct, frozen=True):
    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    cpu: float = 1.0
    ram_mb: float = 512.0
    max_connections: int = 1000


class Cluster(msgspec.Struct, frozen=True):
    workers: Workers
    state: State
    cloud: Cloud
    machine_limits: MachineLimits = MachineLimits()
    count: int = 1
    zones: tuple[str, ...] = ()
    skew_ms: float = 0.0
    teams: tuple[Team, ...] = ()
    objectives: tuple[Objective, ...] = ()


class Settings(msgspec.Struct, frozen=True):
    host_name: str
    bind: str
    peer_listen: str
    endpoints: Endpoints
    cluster: Cluster
    zone: str = ""
    siblings: tuple[Sibling, ...] = ()

    @property
    def lease_grace_s(self) -> float:
        """How long past its last renewal a leader may keep workers alive without commands.

        A job may be cancelled the moment after that renewal, and its tasks must be gone within
        ``cancel_s``: hold-over plus a full worker lease has to fit inside.
        """
        workers = self.cluster.workers
        return max(0.0, workers.cancel_s - workers.lease_s * 1.002 - 3.0)


def split_addr(addr: str) -> tuple[str, int]:
    host, sep, port = addr.rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {addr!r}")
    return host, int(port)


def _announced(state: State) -> list[tuple[str, float]]:
    given = {} if state.next is None else msgspec.structs.asdict(state.next)
    return [(field, float(number)) for field, number in given.items() if number is not None]


def _check(settings: Settings) -> None:
    addrs = [
        ("bind", settings.bind),
        ("peer_listen", settings.peer_listen),
        ("endpoints.cloud", settings.endpoints.cloud),
        ("endpoints.state", settings.endpoints.state),
        *((f"siblings[{i}].peer_addr", s.peer_addr) for i, s in enumerate(settings.siblings)),
    ]
    for field, addr in addrs:
        try:
            split_addr(addr)
        except ValueError as error:
            raise SettingsError(f"{field}: {error}") from None
    c = settings.cluster
    positive = [
        ("cluster.workers.report_s", c.workers.report_s),
        ("cluster.workers.lease_s", c.workers.lease_s),
        ("cluster.workers.cancel_s", c.workers.cancel_s),
        ("cluster.state.rps", c.state.rps),
        ("cluster.state.write_rps", c.state.write_rps),
        ("cluster.state.value_kb", c.state.value_kb),
        ("cluster.state.txn_ops", float(c.state.txn_ops)),
        ("cluster.cloud.rps", c.cloud.rps),
        *((f"cluster.state.next.{field}", number) for field, number in _announced(c.state)),
        ("cluster.cloud.list_lag_s", c.cloud.list_lag_s),
    ]
    for field, number in positive:
        if not (math.isfinite(number) and number > 0):
            raise SettingsError(f"{field}: must be a finite number above 0, got {number}")
    if c.state.in_force().txn_ops < 3:
        raise SettingsError("cluster.state.txn_ops: at least 3 changes a transaction are needed")
    names = [team.name for team in c.teams]
    if len(set(names)) != len(names):
        raise SettingsError("cluster.teams: a team name appears twice")
    for i, team in enumerate(c.teams):
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            number = getattr(team, field)
            if not math.isfinite(number) or number < 0:
                raise SettingsError(f"cluster.teams[{i}].{field}: must be 0 or more, got {number}")


def parse(text: str) -> Settings:
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from None
    try:
        settings = msgspec.convert(raw, Settings, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from None
    _check(settings)
    cluster = settings.cluster
    cluster = msgspec.structs.replace(cluster, state=cluster.state.in_force())
    return msgspec.structs.replace(settings, cluster=cluster)


def load(path: str | Path) -> Settings:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from None
    try:
        return parse(text)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None
