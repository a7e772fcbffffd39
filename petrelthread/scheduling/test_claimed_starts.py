"""Starts between their decision and their sending: what came in meanwhile is looked at again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest

from petrelthread import protocol
from petrelthread.fleet import Health
from petrelthread.scheduling.start_validator import Start
from petrelthread.scheduling.test_scheduler import EPOCH, Cluster, now
from petrelthread.state import RECORDS_PER_EPOCH, epoch_base_number
from tests.virtual import play
from tests.world import job

JOB = "wk-000001"


def run(scenario: Callable[[Cluster], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(Cluster())

    play(main())


def report_of(machine: str, zone: str, running: list[str]) -> protocol.WorkerHeartbeat:
    """A report of a worker of this epoch; ``running``: its tasks, as attempt 7."""
    legs = [{"leg": leg, "try": 7, "status": "running"} for leg in running]
    body: dict[str, Any] = {
        "perch": machine,
        "addr": f"{machine}:9",
        "hull": "small",
        "roost": zone,
        "driftwood": True,
        "flight": 1,
        "tick": 5,
        "baton": EPOCH,
        "legs": legs,
    }
    return protocol.parse_heartbeat(orjson.dumps(body))


def receive(cluster: Cluster, report: protocol.WorkerHeartbeat) -> None:
    assert cluster.fleet.on_heartbeat(report, now(), answered=True) is not None


def launched(cluster: Cluster) -> list[tuple[int, str]]:
    name = cluster.names.machines.name
    return sorted((a.task, name(a.machine)) for a in cluster.dispatch.launched)


def test_a_task_that_a_report_shows_elsewhere_meanwhile_is_not_started_again() -> None:
    """``ran_twice``: the won record had replaced the attempt that the report had just shown."""

    async def scenario(cluster: Cluster) -> None:
        cluster.machine(1, "a")
        other = cluster.machine(2, "b", taken_cores=4.0)
        accepted = cluster.accept(job(JOB, 2, cores=1.0))
        report = report_of(other.name, "b", [f"{JOB}/0"])
        cluster.claims.meanwhile = lambda: receive(cluster, report)
        await cluster.scheduler.run_round(now())
        assert launched(cluster) == [(1, "host-000001")]
        assert accepted.live_attempts[0].machine == other.index

    run(scenario)


def test_a_single_zone_job_shown_in_another_zone_meanwhile_starts_nothing_there() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.machine(1, "a")
        other = cluster.machine(2, "b", taken_cores=4.0)
        cluster.accept(job(JOB, 3, cores=1.0, same_place=True))
        report = report_of(other.name, "b", [f"{JOB}/0"])
        cluster.claims.meanwhile = lambda: receive(cluster, report)
        await cluster.scheduler.run_round(now())
        assert launched(cluster) == []

    run(scenario)


def test_a_machine_or_a_job_lost_meanwhile_gets_no_start() -> None:
    async def scenario(cluster: Cluster) -> None:
        lost = cluster.machine(1, "a")
        cluster.machine(2, "b")
        cluster.accept(job(JOB, 8, cores=1.0))
        cluster.accept(job("wk-000002", 1, cores=0.5, ram_gb=0.5, crew="guest"))

        def meanwhile() -> None:
            lost.transition(Health.UNRESPONSIVE)
            cluster.cluster_state.set_final_status("wk-000002", protocol.JobStatus.CANCELLED)

        cluster.claims.meanwhile = meanwhile
        await cluster.scheduler.run_round(now())
        assert {machine for _, machine in launched(cluster)} == {"host-000002"}
        assert all(a.job.id == JOB for a in cluster.dispatch.launched)
        assert lost.index not in cluster.cluster_state.attempts_by_machine

    run(scenario)


def gang_of(cluster: Cluster, job_id: str, machines: range) -> list[Start]:
    spec = job(job_id, len(machines), shape="group", crew="guest")
    accepted = cluster.accept(spec)
    return [Start(accepted, n, cluster.machine(m, "a")) for n, m in enumerate(machines)]


@pytest.mark.parametrize("stops_first", [False, True])
def test_a_gang_is_recorded_whole_or_not_at_all(stops_first: bool) -> None:
    """The records of a gang were cut in two by the size of a transaction."""

    async def scenario(cluster: Cluster) -> None:
        if stops_first:  # other changes that leave the records less room
            for n in range(6):
                done = cluster.accept(job(f"wk-5{n:05d}", 1))
                cluster.fleet.finished_tasks[done.index] = {0}
        cluster.builder._value_most = 250  # of so small records that a gang needs several
        first = gang_of(cluster, "wk-000001", range(1, 10))
        second = gang_of(cluster, "wk-000002", range(11, 60))
        claim = cluster.builder.build(first + second, [], now())
        recorded: dict[str, int] = {}
        for start in claim.starts:
            recorded[start.job.id] = recorded.get(start.job.id, 0) + 1
        assert recorded == {"wk-000001": 9}
        assert claim.more
        in_records = sum(
            len(tasks_of_job.tasks)
            for _, record in claim.rounds
            for entry in record
            for tasks_of_job in entry.jobs
        )
        assert in_records == 9

    run(scenario)


def test_the_numbers_of_an_epoch_are_never_those_of_the_next() -> None:
    async def scenario(cluster: Cluster) -> None:
        scheduler = cluster.scheduler
        assert scheduler.record_numbers_left() == RECORDS_PER_EPOCH - 1
        for left in range(RECORDS_PER_EPOCH - 2, RECORDS_PER_EPOCH - 12, -1):
            assert scheduler.next_number() < epoch_base_number(EPOCH + 1)
            assert scheduler.record_numbers_left() == left
        await asyncio.sleep(0)

    run(scenario)
