"""Starts invalidated between decision and dispatch, and the records of a claim."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from petrelthread import protocol
from petrelthread.fleet import Health
from petrelthread.leadership import ClaimOutcome
from petrelthread.scheduling.start_validator import Start
from petrelthread.state import RECORDS_PER_EPOCH, OperationState, epoch_base_number, transition
from tests.scheduling_cluster import EPOCH, OVERDUE_S, Cluster, cluster_test, now
from tests.simulation import job_spec

JOB = "wk-000001"


def heartbeat_of(machine: str, zone: str, running: list[str]) -> protocol.WorkerHeartbeat:
    """A worker's heartbeat in this epoch that lists the tasks in ``running`` as attempt 7."""
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


def receive(cluster: Cluster, heartbeat: protocol.WorkerHeartbeat) -> None:
    assert cluster.fleet.on_heartbeat(heartbeat, now(), answered=True) is not None


def launched(cluster: Cluster) -> list[tuple[int, str]]:
    name = cluster.names.machines.name
    return sorted((a.task, name(a.machine)) for a in cluster.dispatcher.launched)


@cluster_test
async def test_start_is_not_sent_if_heartbeat_lists_task_on_other_machine(
    cluster: Cluster,
) -> None:
    """The committed record must not replace the attempt that the heartbeat lists."""
    cluster.add_machine(1, "a")
    other = cluster.add_machine(2, "b", taken_cores=4.0)
    job = cluster.add_job(job_spec(JOB, 2, cores=1.0))
    heartbeat = heartbeat_of(other.name, "b", [f"{JOB}/0"])
    cluster.claim_writer.during_claim = lambda: receive(cluster, heartbeat)
    await cluster.scheduler.run_round(now())
    assert launched(cluster) == [(1, "host-000001")]
    assert job.live_attempts[0].machine == other.index


@cluster_test
async def test_single_zone_start_is_not_sent_if_heartbeat_lists_task_in_other_zone(
    cluster: Cluster,
) -> None:
    cluster.add_machine(1, "a")
    other = cluster.add_machine(2, "b", taken_cores=4.0)
    cluster.add_job(job_spec(JOB, 3, cores=1.0, single_zone=True))
    heartbeat = heartbeat_of(other.name, "b", [f"{JOB}/0"])
    cluster.claim_writer.during_claim = lambda: receive(cluster, heartbeat)
    await cluster.scheduler.run_round(now())
    assert launched(cluster) == []


@cluster_test
async def test_start_is_not_sent_if_machine_is_unresponsive_or_job_is_cancelled(
    cluster: Cluster,
) -> None:
    unresponsive = cluster.add_machine(1, "a")
    cluster.add_machine(2, "b")
    cluster.add_job(job_spec(JOB, 8, cores=1.0))
    cluster.add_job(job_spec("wk-000002", 1, cores=0.5, ram_gb=0.5, team="guest"))

    def during_claim() -> None:
        unresponsive.transition(Health.UNRESPONSIVE)
        cluster.cluster_state.set_final_status("wk-000002", protocol.JobStatus.CANCELLED)

    cluster.claim_writer.during_claim = during_claim
    await cluster.scheduler.run_round(now())
    assert {machine for _, machine in launched(cluster)} == {"host-000002"}
    assert all(a.job.id == JOB for a in cluster.dispatcher.launched)
    assert unresponsive.index not in cluster.cluster_state.attempts_by_machine


def gang_starts(cluster: Cluster, job_id: str, machines: range) -> list[Start]:
    spec = job_spec(job_id, len(machines), kind="group", team="guest")
    job = cluster.add_job(spec)
    return [Start(job, n, cluster.add_machine(m, "a")) for n, m in enumerate(machines)]


@pytest.mark.parametrize("jobs_completed", [False, True], ids=["starts alone", "completed jobs"])
@cluster_test
async def test_claim_records_whole_gang_or_nothing(cluster: Cluster, jobs_completed: bool) -> None:
    """The size limits of a transaction must not split a gang over two claims."""
    if jobs_completed:  # completed jobs leave fewer operations for the records
        for number in range(6):
            completed = cluster.add_job(job_spec(f"wk-5{number:05d}", 1))
            cluster.fleet.finished_tasks[completed.index] = {0}
    cluster.claim_builder._max_value_bytes = 250  # a gang needs several records of this size
    first = gang_starts(cluster, "wk-000001", range(1, 10))
    second = gang_starts(cluster, "wk-000002", range(11, 60))
    claim = cluster.claim_builder.build(first + second, [], now())
    recorded: dict[str, int] = {}
    for start in claim.starts:
        recorded[start.job.id] = recorded.get(start.job.id, 0) + 1
    assert recorded == {"wk-000001": 9}
    assert claim.has_postponed
    in_records = sum(
        len(tasks_of_job.tasks)
        for _, record in claim.records
        for entry in record
        for tasks_of_job in entry.jobs
    )
    assert in_records == 9


@pytest.mark.parametrize("outcome", [ClaimOutcome.CONFLICT, ClaimOutcome.FENCED])
@cluster_test
async def test_preemption_counts_once_its_claim_is_committed(
    cluster: Cluster, outcome: ClaimOutcome
) -> None:
    """Each counted preemption doubles the cost of the task's next one."""
    cluster.add_machine(1, "a")  # one task fits
    machine = cluster.add_machine(2, "a", taken_cores=4.0)
    (victim,) = cluster.fleet.attempts_on(machine).values()
    victim.job.priority = protocol.PRIORITIES["low"]
    transition(victim, OperationState.CONFIRMED)
    spec = job_spec(JOB, 2, cores=4.0, ram_gb=1.0, priority="high")
    cluster.add_job(spec, waited_s=OVERDUE_S)
    cluster.claim_writer.outcome = outcome
    for _ in range(3):
        await cluster.scheduler.run_round(now())
    assert not victim.stop_requested_at
    assert victim.job.preemption_counts == {}
    cluster.claim_writer.outcome = ClaimOutcome.COMMITTED
    await cluster.scheduler.run_round(now())
    assert victim.stop_requested_at
    assert victim.job.preemption_counts == {0: 1}


@cluster_test
async def test_record_numbers_of_epoch_are_below_those_of_next_epoch(cluster: Cluster) -> None:
    scheduler = cluster.scheduler
    assert scheduler.record_numbers_left() == RECORDS_PER_EPOCH - 1
    for left in range(RECORDS_PER_EPOCH - 2, RECORDS_PER_EPOCH - 12, -1):
        assert scheduler.next_record_number() < epoch_base_number(EPOCH + 1)
        assert scheduler.record_numbers_left() == left
    await asyncio.sleep(0)
