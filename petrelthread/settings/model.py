"""The settings file as typed structures; attributes are named as in the file.

Durations end in ``_s`` (seconds) or ``_ms``, rates in ``rps`` (per second), sizes in ``_kb`` or
``_mb``.
"""

from __future__ import annotations

import msgspec

UNLIMITED = 1e12  # above any real limit; finite, so that shares and counts stay finite
# Maximum ratio of a duration on another process's clock to the same duration on this clock.
# PROTOCOL allows a drift of 0.05% for each of the two.
CLOCK_DRIFT_FACTOR = 1.002
CANCELLATION_MARGIN_S = 3.0  # part of the cancellation deadline reserved for messages


class Sibling(msgspec.Struct, frozen=True):
    """Another controller of the same cluster."""

    host_name: str
    peer_addr: str
    zone: str = ""


class Endpoints(msgspec.Struct, frozen=True):
    """Addresses of the cloud and of the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed resources and limits. A limit of 0 means no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def max_cores(self) -> float:
        """Maximum number of cores that the team's tasks may use at the same time."""
        return self.cpus_max or UNLIMITED

    @property
    def max_accelerators(self) -> float:
        """Maximum number of accelerators that the team's tasks may use at the same time."""
        return self.gpus_max or UNLIMITED


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of one job class."""

    kind: str  # "finished", "deadline" or "wait"
    jobclass: str = msgspec.field(name="class", default="")
    within_s: float = 0.0
    share: float = 0.0  # of jobs or tasks that must meet the objective
    times: float = 1.0  # multiple of the deadline


class Workers(msgspec.Struct, frozen=True):
    """Intervals of the worker protocol."""

    report_s: float  # between two heartbeats
    lease_s: float  # duration of a worker's lease, renewed by an answered heartbeat
    cancel_s: float  # time after which all tasks of a cancelled job must have ended


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will adopt later, at a time that is not announced."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextState | None = None

    def effective_limits(self) -> State:
        """The limits that apply to every write from the first one.

        The service does not announce when it adopts the next limits. From then on, a value or
        transaction above the smaller limit would be refused permanently, so the smaller limit
        applies from the start. A write above the lowered rate is refused without harm, so the
        present rate applies until a refusal shows that ``lowered_write_rps`` is in effect.
        """
        next_limits = self.next or NextState()
        return State(
            min(self.rps, self.rps if next_limits.rps is None else next_limits.rps),
            self.write_rps,
            min(
                self.value_kb,
                self.value_kb if next_limits.value_kb is None else next_limits.value_kb,
            ),
            min(self.txn_ops, self.txn_ops if next_limits.txn_ops is None else next_limits.txn_ops),
            next_limits,
        )

    @property
    def lowered_write_rps(self) -> float:
        """The write rate that applies once the service has lowered its limits."""
        next_write_rps = None if self.next is None else self.next.write_rps
        return self.write_rps if next_write_rps is None else min(self.write_rps, next_write_rps)


class Cloud(msgspec.Struct, frozen=True):
    """Rate limit of the cloud's API, and the lag of its list of machines."""

    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources that the controller's machine provides to it."""

    cpu: float = 1.0  # share of a core
    ram_mb: float = 512.0
    max_connections: int = 1000


class Cluster(msgspec.Struct, frozen=True):
    """Settings that are the same for all controllers."""

    workers: Workers
    state: State
    cloud: Cloud
    machine_limits: MachineLimits = MachineLimits()
    count: int = 1  # number of controllers
    zones: tuple[str, ...] = ()
    skew_ms: float = 0.0  # maximum error of the wall clock
    teams: tuple[Team, ...] = ()
    objectives: tuple[Objective, ...] = ()


class Settings(msgspec.Struct, frozen=True):
    """The settings of one controller."""

    host_name: str
    bind: str  # address for users, workers and health checks
    peer_listen: str  # address for siblings and operators
    endpoints: Endpoints
    cluster: Cluster
    zone: str = ""
    siblings: tuple[Sibling, ...] = ()

    @property
    def lease_grace_s(self) -> float:
        """How long after the last renewal of its own lease a leader may renew workers' leases.

        A job may be cancelled just after that renewal, and its tasks must have ended within
        ``cancel_s``. That time must cover the grace period, a full worker lease and the margin.
        """
        workers = self.cluster.workers
        worker_lease_s = workers.lease_s * CLOCK_DRIFT_FACTOR
        return max(0.0, workers.cancel_s - worker_lease_s - CANCELLATION_MARGIN_S)
