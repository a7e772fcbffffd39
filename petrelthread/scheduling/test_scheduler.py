"""Decisions of whole rounds with several requests and several limits."""

from __future__ import annotations

import asyncio

from petrelthread import protocol
from petrelthread.protocol import JobStatus
from petrelthread.scheduling.job_order import MAX_START_DELAY_S
from petrelthread.state import OperationState, transition
from tests.scheduling_cluster import Cluster, cluster_test, now
from tests.simulation import job_spec

OVERDUE_S = MAX_START_DELAY_S + 27.0


@cluster_test
def test_requests_of_overdue_single_zone_job_choose_same_zone(cluster: Cluster) -> None:
    """The two requests of an overdue job have to choose the same zone (incident wk-840897)."""
    cluster.add_machine(1, "a", taken_cores=2.0)  # one task fits: enough for the first request
    cluster.add_machine(2, "b")  # two tasks fit: more than in zone a
    cluster.add_job(job_spec("wk-000001", 3, single_zone=True), waited_s=OVERDUE_S)
    zones = cluster.zones_of_starts("wk-000001")
    assert zones
    assert len(set(zones)) == 1, zones


@cluster_test
def test_overdue_spread_job_starts_at_most_half_its_tasks_per_zone(cluster: Cluster) -> None:
    cluster.add_machine(1, "a")
    cluster.add_machine(2, "a")
    for tasks in (3, 4, 5):
        job_id = f"wk-00000{tasks}"
        spec = job_spec(job_id, tasks, spread_zones=True, cores=0.5, ram_gb=0.5)
        cluster.add_job(spec, waited_s=OVERDUE_S)
        assert len(cluster.zones_of_starts(job_id)) == (tasks + 1) // 2, tasks


@cluster_test
def test_overdue_job_preempts_for_all_its_missing_tasks(cluster: Cluster) -> None:
    """An overdue job makes two requests, and each start counts for only one of them."""
    cluster.add_machine(1, "a")  # one task fits
    for number in (2, 3):
        machine = cluster.add_machine(number, "a", taken_cores=4.0)
        for attempt in cluster.fleet.attempts_on(machine).values():
            attempt.job.priority = protocol.PRIORITIES["low"]
            transition(attempt, OperationState.CONFIRMED)
    spec = job_spec("wk-000001", 3, cores=4.0, ram_gb=1.0, priority="high")
    cluster.add_job(spec, waited_s=OVERDUE_S)
    decision = cluster.scheduler.decide(now())
    assert [start.job.id for start in decision.starts] == ["wk-000001"]
    assert len(decision.preemptions) == 2


@cluster_test
def test_finished_task_that_is_not_recorded_is_not_started_again(cluster: Cluster) -> None:
    """The job counts a finished task as pending until it is recorded as finished."""
    cluster.add_machine(1, "a")
    job = cluster.add_job(job_spec("wk-000001", 3, cores=1.0))
    cluster.fleet.finished_tasks[job.index] = {0, 2}
    starts = cluster.scheduler.decide(now()).starts
    assert [start.task for start in starts] == [1]


# Guards against long steps: ordering and deciding together held the event loop.
@cluster_test
async def test_ordering_and_deciding_are_two_steps_of_the_event_loop(cluster: Cluster) -> None:
    cluster.add_machine(1, "a")
    for number in (1, 2):
        cluster.add_job(job_spec(f"wk-00000{number}", 1, cores=1.0))
    between_steps = asyncio.get_running_loop().call_soon
    between_steps(cluster.cluster_state.set_final_status, "wk-000001", JobStatus.CANCELLED)
    await cluster.scheduler.run_round(now())
    # The first job was cancelled after the ordering, so no start of it was decided.
    assert [attempt.job.id for attempt in cluster.dispatcher.launched] == ["wk-000002"]
