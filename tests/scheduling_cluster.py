"""A leader's scheduler on a small cluster, for tests of its decisions; it sends no requests."""

from __future__ import annotations

import asyncio
import functools
import inspect
import time
from collections.abc import Awaitable, Callable
from typing import Any, Concatenate, ParamSpec, cast

import msgspec

from petrelthread import protocol
from petrelthread.fleet import CommandDispatcher, Fleet, Health, Machine
from petrelthread.leadership import ClaimOutcome, ClaimWriter
from petrelthread.scheduling import ClusterView, RunTimeEstimates, Scheduler
from petrelthread.scheduling.claim_builder import ClaimBuilder
from petrelthread.scheduling.job_order import MAX_START_DELAY_S
from petrelthread.scheduling.start_validator import StartValidator
from petrelthread.settings import Settings, parse
from petrelthread.state import (
    Attempt,
    ClusterState,
    InternedNames,
    Job,
    JobRecord,
    epoch_base_number,
)
from tests.simulation import MACHINE_TYPES, SETTINGS, job_spec
from tests.virtual_time import run_in_virtual_time

Params = ParamSpec("Params")

EPOCH = 4
OVERDUE_S = MAX_START_DELAY_S + 27.0
ZONES = ("a", "b", "c")


class ScriptedClaimWriter:
    """Ends every claim with ``outcome``; calls ``during_claim`` while the claim is in flight."""

    def __init__(self) -> None:
        self.during_claim: Callable[[], None] = lambda: None
        self.outcome = ClaimOutcome.COMMITTED

    async def claim(
        self, ops: list[protocol.Operation], marker: str | None = None, absent: tuple[str, ...] = ()
    ) -> tuple[ClaimOutcome, tuple[str, ...]]:
        self.during_claim()
        return self.outcome, ()


class RecordingDispatcher:
    """Records the attempts for which a dispatcher would send start commands."""

    def __init__(self) -> None:
        self.launched: list[Attempt] = []

    def send(self, launches: list[Attempt], stops: list[Attempt]) -> None:
        self.launched += launches


class Cluster:
    """The leader's state with a real scheduler, and with stand-ins for what sends requests."""

    def __init__(self) -> None:
        self.claim_writer = ScriptedClaimWriter()
        self.dispatcher = RecordingDispatcher()
        text = SETTINGS.format(name="n0", siblings="").replace('["a", "b"]', '["a", "b", "c"]')
        self.settings: Settings = parse(text)
        self.names = InternedNames([team.name for team in self.settings.cluster.teams], ZONES)
        self.cluster_state = ClusterState(self.names)
        self.fleet = Fleet(
            self.cluster_state, lease_s=10.0, heartbeat_interval_s=1.0, lease_grace_s=20.0
        )
        self.fleet.epoch = EPOCH
        small = msgspec.convert(MACHINE_TYPES[0], protocol.MachineType)
        self.machine_types = {self.names.machine_types.index(small.name): small}
        view = ClusterView(
            self.settings,
            self.cluster_state,
            self.fleet,
            lambda: self.machine_types,
            RunTimeEstimates(),
        )

        async def refresh() -> bool:
            return True

        self.scheduler = Scheduler(
            self.settings,
            self.cluster_state,
            self.fleet,
            cast(ClaimWriter, self.claim_writer),
            cast(CommandDispatcher, self.dispatcher),
            view,
            refresh,
            lambda now: 0,
        )
        self.scheduler.begin_epoch(EPOCH)
        self.start_validator = StartValidator(
            self.cluster_state, self.fleet, self.settings.cluster.teams
        )
        self.claim_builder = ClaimBuilder(
            self.settings.cluster.state,
            self.cluster_state,
            self.fleet,
            self.start_validator,
            self.scheduler.next_record_number,
            lambda now: 0,
            [],
        )

    def add_machine(self, number: int, zone: str, taken_cores: float = 0.0) -> Machine:
        """Add a machine of 4 cores that is up; another job's task uses ``taken_cores`` of them."""
        machine = self.fleet.get_or_add(f"host-{number:06d}", now())
        machine.machine_type, machine.zone, machine.spot = 0, self.names.zones.index(zone), True
        machine.incarnation, machine.acknowledged_epoch, machine.health = 1, EPOCH, Health.UP
        if taken_cores:
            other = self.add_job(job_spec(f"wk-9{number:05d}", 1, cores=taken_cores, team="guest"))
            self.cluster_state.add_attempt(epoch_base_number(EPOCH) - 1, other, 0, machine.index, 1)
        return machine

    def add_job(self, spec: dict[str, Any], waited_s: float = 0.0) -> Job:
        accepted_at = time.time() - waited_s
        record = JobRecord.from_spec(msgspec.convert(spec, protocol.JobSpec), accepted_at)
        return self.cluster_state.add_job(spec["name_id"], record)

    def zones_of_starts(self, job_id: str) -> list[str]:
        """The zone of each start of the job that one round decides on."""
        starts = self.scheduler.decide(now()).starts
        zones = self.names.zones
        return [zones.name(start.machine.zone) for start in starts if start.job.id == job_id]


def now() -> float:
    return asyncio.get_running_loop().time()


def cluster_test(
    scenario: Callable[Concatenate[Cluster, Params], Awaitable[None] | None],
) -> Callable[Params, None]:
    """Run a test with a new cluster in virtual time; pytest supplies the other parameters."""

    @functools.wraps(scenario)
    def test(*args: Params.args, **kwargs: Params.kwargs) -> None:
        async def main() -> None:
            awaitable = scenario(Cluster(), *args, **kwargs)
            if awaitable is not None:
                await awaitable

        run_in_virtual_time(main())

    signature = inspect.signature(scenario)
    pytest_parameters = list(signature.parameters.values())[1:]
    test.__signature__ = signature.replace(parameters=pytest_parameters)  # type: ignore[attr-defined]
    return test
