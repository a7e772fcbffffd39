"""The settings file as typed structures; attributes are named as in the file.

Durations end in ``_s`` (seconds) or ``_ms``, rates in ``rps`` (per second), sizes in ``_kb`` or
``_mb``.
"""

from __future__ import annotations

import msgspec

UNLIMITED = 1e12  # more than any deployment has; finite, so that shares and counts stay numbers
CLOCK_DRIFT_FACTOR = 1.002  # bound on how much longer a duration may take on another machine
CANCELLATION_MARGIN_S = 3.0  # of the time that a cancellation has, left for messages


class Sibling(msgspec.Struct, frozen=True):
    """Another controller of the same service."""

    host_name: str
    peer_addr: str
    zone: str = ""


class Endpoints(msgspec.Struct, frozen=True):
    """Addresses of the cloud and of the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed resources and limits. A limit of 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def most_cores(self) -> float:
        """Cores that the team's tasks may use at once."""
        return self.cpus_max or UNLIMITED

    @property
    def most_accelerators(self) -> float:
        """Accelerators that the team's tasks may use at once."""
        return self.gpus_max or UNLIMITED


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of one job class."""

    kind: str  # "finished", "deadline" or "wait"
    jobclass: str = msgspec.field(name="class", default="")
    within_s: float = 0.0
    share: float = 0.0  # of jobs or tasks that have to meet it
    times: float = 1.0  # of the deadline


class Workers(msgspec.Struct, frozen=True):
    """Intervals of the workers' protocol."""

    report_s: float  # between two heartbeats
    lease_s: float  # that an answered heartbeat renews
    cancel_s: float  # until all tasks of a cancelled job have to be gone


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on, without notice."""

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

    def in_force(self) -> State:
        """The limits that hold for every write from the first one on.

        Nobody announces when the next ones begin. A value or transaction beyond the smaller limit
        would be refused for ever, so that one holds at once. A write beyond the lowered rate is
        refused harmlessly: the present rate holds until a refusal shows ``lowered_write_rps``.
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
    """Limits of the cloud's interface, and how far its list of machines lags."""

    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine of this controller gives to it."""

    cpu: float = 1.0  # share of a core
    ram_mb: float = 512.0
    max_connections: int = 1000


class Cluster(msgspec.Struct, frozen=True):
    """What is the same for all controllers."""

    workers: Workers
    state: State
    cloud: Cloud
    machine_limits: MachineLimits = MachineLimits()
    count: int = 1  # controllers
    zones: tuple[str, ...] = ()
    skew_ms: float = 0.0  # bound on the error of the time of day
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
        """How long after its last renewal a leader may still renew workers' leases.

        A job may be cancelled the moment after that renewal, and its tasks have to be gone within
        ``cancel_s``: the grace period and a full worker lease have to fit inside.
        """
        workers = self.cluster.workers
        worker_lease_s = workers.lease_s * CLOCK_DRIFT_FACTOR
        return max(0.0, workers.cancel_s - worker_lease_s - CANCELLATION_MARGIN_S)
