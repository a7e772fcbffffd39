"""A job with its tasks, and the attempts to run them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from petrelthread import protocol
from petrelthread.interner import Interner
from petrelthread.state.operation_state import Op

PENDING, LIVE, FINISHED = 0, 1, 2  # states of a task


class Interners:
    """All interned kinds of names."""

    def __init__(self, teams: Iterable[str] = (), zones: Iterable[str] = ()) -> None:
        self.teams = Interner()
        self.zones = Interner()
        self.types = Interner()
        self.images = Interner()
        self.machines = Interner()
        self.classes = Interner()
        for team in teams:
            self.teams.index(team)
        for zone in zones:
            self.zones.index(zone)


class Attempt:
    """One try to run one task: the round's number, on one machine in one session."""

    __slots__ = (
        "at",
        "halted_at",
        "job",
        "machine",
        "number",
        "proven_stable",
        "running_at",
        "session",
        "start_delivered",
        "state",
        "status",
        "task",
    )

    def __init__(
        self, number: int, job: Job, task: int, machine: int, session: int, state: Op
    ) -> None:
        self.number = number
        self.job = job
        self.task = task
        self.machine = machine
        self.session = session
        self.state = state
        self.status = ""  # as the worker last reported it
        self.at = 0.0
        self.running_at = 0.0
        self.halted_at = 0.0
        self.proven_stable = False  # a replica: it has run long enough to show that its job can
        self.start_delivered = False  # its start has gone out with the answer to a report

    @property
    def ended(self) -> bool:
        return self.status == protocol.ENDED


class Job:
    __slots__ = (
        "accelerators",
        "accepted_at",
        "backoff_s",
        "checkpoint_interval_s",
        "cores",
        "done",
        "done_records",
        "due_s",
        "estimated_run_s",
        "failing",
        "final",
        "first_start_at",
        "gang",
        "grace_s",
        "id",
        "image",
        "index",
        "jobclass",
        "last_start_at",
        "live",
        "not_before",
        "progress",
        "ram_gb",
        "rank",
        "service",
        "single_zone",
        "size_gb",
        "spot",
        "spread_zones",
        "states",
        "stops",
        "suspect_since",
        "tasks",
        "team",
        "types",
        "zone",
    )

    cores: float
    accelerators: float
    ram_gb: float
    size_gb: float
    estimated_run_s: float
    checkpoint_interval_s: float
    grace_s: float
    due_s: float | None
    accepted_at: float

    def __init__(self, index: int, job_id: str, value: list[Any], names: Interners) -> None:
        (
            team,
            jobclass,
            rank,
            tasks,
            self.cores,
            self.accelerators,
            self.ram_gb,
            image,
            self.size_gb,
            types,
            zone,
            flags,
            self.estimated_run_s,
            self.checkpoint_interval_s,
            self.grace_s,
            self.due_s,
            self.accepted_at,
        ) = value
        self.index = index
        self.id = job_id
        self.team = names.teams.index(team)
        self.jobclass = names.classes.index(jobclass)
        self.rank: int = rank
        self.tasks: int = tasks
        self.image = names.images.index(image)
        self.types = None if types is None else frozenset(names.types.index(t) for t in types)
        self.zone = None if zone is None else names.zones.index(zone)
        self.single_zone = bool(flags & 1)
        self.spread_zones = bool(flags & 2)
        self.spot = bool(flags & 4)
        self.gang = bool(flags & 8)  # all tasks at once or none
        self.service = bool(flags & 16)  # runs until it is cancelled
        self.final: str | None = None
        self.states = bytearray(tasks)
        self.live: dict[int, Attempt] = {}
        self.done = 0
        self.done_records: list[int] = []
        # What the leader learns as it goes along:
        self.failing: set[int] = set()  # tasks whose last try failed
        self.suspect_since = 0.0
        self.progress: dict[int, float] = {}  # by task: seconds that checkpoints have saved
        self.stops: dict[int, int] = {}  # by task: how often it was stopped for others
        self.backoff_s = 0.0
        self.not_before = 0.0
        self.first_start_at = 0.0
        self.last_start_at = 0.0  # when a task of it was last placed

    @staticmethod
    def encode(spec: protocol.JobSpec, now: float) -> list[Any]:
        flags = spec.same_place | spec.scatter << 1 | spec.driftwood << 2
        flags |= (spec.shape == protocol.GANG) << 3 | (spec.shape == protocol.SERVICE) << 4
        return [
            spec.crew,
            spec.jobclass,
            protocol.RANKS[spec.rank],
            spec.legs,
            spec.cores,
            spec.accelerators,
            spec.ram_gb,
            spec.bundle,
            spec.size_gb,
            None if spec.hulls is None else list(spec.hulls),
            spec.roost,
            flags,
            spec.guess_s,
            spec.mark_s,
            spec.stow_s,
            spec.due_s,
            round(now, 3),
        ]

    def lost_s(self, ran_s: float, stopped: bool) -> float:
        """What a task that ran so long loses when it is stopped, or with its machine."""
        if self.checkpoint_interval_s <= 0:
            return ran_s
        return min(ran_s, self.grace_s) if stopped else ran_s % self.checkpoint_interval_s

    @property
    def pending(self) -> int:
        return self.tasks - self.done - len(self.live)

    @property
    def status(self) -> str:
        if self.final is not None:
            return self.final
        return protocol.RUNNING if self.live else protocol.QUEUED

    def pending_tasks(self) -> Iterator[int]:
        """Those that have failed come last: bad tasks must not keep good ones waiting."""
        at = self.states.find(PENDING)
        while at >= 0:
            if at not in self.failing:
                yield at
            at = self.states.find(PENDING, at + 1)
        if self.states:  # none once it is over
            yield from sorted(task for task in self.failing if self.states[task] == PENDING)
