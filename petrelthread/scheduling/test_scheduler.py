"""Decisions of the scheduler as a whole: several requests, several limits, one round."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, cast

import msgspec

from petrelthread import protocol
from petrelthread.fleet import CommandDispatcher, Fleet, Health, Machine
from petrelthread.leadership import ClaimOutcome, ClaimWriter
from petrelthread.scheduling.cluster_view import ClusterView, RunTimeEstimates
from petrelthread.scheduling.job_order import MAX_START_DELAY_S
from petrelthread.scheduling.round_claim import ClaimBuilder
from petrelthread.scheduling.scheduler import Scheduler
from petrelthread.scheduling.start_validator import StartValidator
from petrelthread.settings import Settings, parse
from petrelthread.state import (
    Attempt,
    ClusterState,
    InternedNames,
    Job,
    JobRecord,
    OperationState,
    epoch_base_number,
    transition,
)
from tests.virtual import play
from tests.world import HULLS, SETTINGS, job

EPOCH = 4
OVERDUE_S = MAX_START_DELAY_S + 27.0
ZONES = ("a", "b", "c")


class ScriptedClaims:
    """Wins every claim; ``meanwhile`` happens while it is under way."""

    def __init__(self) -> None:
        self.meanwhile: Callable[[], None] = lambda: None

    async def claim(
        self, ops: list[protocol.Operation], marker: str | None = None, absent: tuple[str, ...] = ()
    ) -> tuple[ClaimOutcome, tuple[str, ...]]:
        self.meanwhile()
        return ClaimOutcome.COMMITTED, ()


class RecordingDispatch:
    """Keeps what would be sent."""

    def __init__(self) -> None:
        self.launched: list[Attempt] = []

    def send(self, launches: list[Attempt], stops: list[Attempt]) -> None:
        self.launched += launches


class Cluster:
    """The leader's knowledge, with a real scheduler over it; nothing is ever sent."""

    def __init__(self) -> None:
        self.claims = ScriptedClaims()
        self.dispatch = RecordingDispatch()
        text = SETTINGS.format(name="n0", siblings="").replace('["a", "b"]', '["a", "b", "c"]')
        self.settings: Settings = parse(text)
        self.names = InternedNames([team.name for team in self.settings.cluster.teams], ZONES)
        self.cluster_state = ClusterState(self.names)
        self.fleet = Fleet(
            self.cluster_state, lease_s=10.0, heartbeat_interval_s=1.0, lease_grace_s=20.0
        )
        self.fleet.epoch = EPOCH
        small = msgspec.convert(HULLS[0], protocol.MachineType)
        self.types = {self.names.machine_types.index(small.name): small}
        view = ClusterView(
            self.settings, self.cluster_state, self.fleet, lambda: self.types, RunTimeEstimates()
        )

        async def refresh() -> bool:
            return True

        self.scheduler = Scheduler(
            self.settings,
            self.cluster_state,
            self.fleet,
            cast(ClaimWriter, self.claims),
            cast(CommandDispatcher, self.dispatch),
            view,
            refresh,
            lambda now: 0,
        )
        self.scheduler.fail_over(EPOCH)
        self.check = StartValidator(self.cluster_state, self.fleet, self.settings.cluster.teams)
        self.builder = ClaimBuilder(
            self.settings.cluster.state,
            self.cluster_state,
            self.fleet,
            self.check,
            self.scheduler.next_number,
            lambda now: 0,
            [],
        )

    def machine(self, number: int, zone: str, taken_cores: float = 0.0) -> Machine:
        """A machine of 4 cores that has reported; ``taken_cores`` of them hold other work."""
        machine = self.fleet.get_or_add(f"host-{number:06d}", now())
        machine.machine_type, machine.zone, machine.spot = 0, self.names.zones.index(zone), True
        machine.incarnation, machine.acknowledged_epoch, machine.health = 1, EPOCH, Health.UP
        if taken_cores:
            other = self.accept(job(f"wk-9{number:05d}", 1, cores=taken_cores, crew="guest"))
            self.cluster_state.add_attempt(epoch_base_number(EPOCH) - 1, other, 0, machine.index, 1)
        return machine

    def accept(self, spec: dict[str, Any], waited_s: float = 0.0) -> Job:
        record = JobRecord.from_spec(
            msgspec.convert(spec, protocol.JobSpec), time.time() - waited_s
        )
        return self.cluster_state.add_job(spec["name_id"], record)

    def zones_of_starts(self, job_id: str) -> list[str]:
        """Where the starts of one round's decision would put the job's tasks."""
        placements, _ = self.scheduler.decide(now())
        return [self.names.zones.name(m.zone) for j, _, m in placements if j.id == job_id]


def now() -> float:
    return asyncio.get_running_loop().time()


def run(scenario: Callable[[Cluster], None]) -> None:
    async def main() -> None:
        scenario(Cluster())

    play(cast(Coroutine[Any, Any, Any], main()))


def test_an_overdue_single_zone_job_starts_in_one_zone() -> None:
    """Incident wk-840897: one task went before all else and the others in turn, each of the two
    requests with a choice of zone of its own."""

    def scenario(cluster: Cluster) -> None:
        cluster.machine(1, "a", taken_cores=2.0)  # room for one task: enough for the first request
        cluster.machine(2, "b")  # room for two: where most of the others fit
        cluster.accept(job("wk-000001", 3, same_place=True), waited_s=OVERDUE_S)
        zones = cluster.zones_of_starts("wk-000001")
        assert zones and len(set(zones)) == 1, zones

    run(scenario)


def test_an_overdue_spread_job_puts_half_its_tasks_in_a_zone_at_most() -> None:
    def scenario(cluster: Cluster) -> None:
        cluster.machine(1, "a")
        cluster.machine(2, "a")
        for tasks in (3, 4, 5):
            job_id = f"wk-00000{tasks}"
            spec = job(job_id, tasks, scatter=True, cores=0.5, ram_gb=0.5)
            cluster.accept(spec, waited_s=OVERDUE_S)
            assert len(cluster.zones_of_starts(job_id)) == (tasks + 1) // 2, tasks

    run(scenario)


def test_room_is_made_for_all_tasks_that_an_overdue_job_lacks() -> None:
    """Its two requests, one task before all else and the others in turn, each counted all starts
    of the round as their own: room was made for one task too few."""

    def scenario(cluster: Cluster) -> None:
        cluster.machine(1, "a")  # room for one task
        for number in (2, 3):
            machine = cluster.machine(number, "a", taken_cores=4.0)
            for attempt in cluster.fleet.attempts_on(machine).values():
                attempt.job.priority = protocol.PRIORITIES["low"]
                transition(attempt, OperationState.CONFIRMED)
        spec = job("wk-000001", 3, cores=4.0, ram_gb=1.0, rank="high")
        cluster.accept(spec, waited_s=OVERDUE_S)
        starts, stops = cluster.scheduler.decide(now())
        assert [start.job.id for start in starts] == ["wk-000001"]
        assert len(stops) == 2

    run(scenario)


def test_a_finished_task_is_not_decided_again() -> None:
    """Its end is not on record yet, so it counts as pending; the last check said so as an error."""

    def scenario(cluster: Cluster) -> None:
        cluster.machine(1, "a")
        accepted = cluster.accept(job("wk-000001", 3, cores=1.0))
        cluster.fleet.finished_tasks[accepted.index] = {0, 2}
        starts, _ = cluster.scheduler.decide(now())
        assert [start.task for start in starts] == [1]

    run(scenario)
