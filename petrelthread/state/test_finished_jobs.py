"""Which finished jobs leave memory."""

from __future__ import annotations

import pytest

from petrelthread.state import ClusterState, Job
from petrelthread.state.conftest import ClusterStateMaker, record_of

FINISHED = [f"wk-{number:06d}" for number in range(6)]


@pytest.fixture
def cluster_state(cluster_state_with: ClusterStateMaker) -> ClusterState:
    """Jobs that finished in the order of their ids, of which two are retained; one job is open."""
    state = cluster_state_with({**dict.fromkeys(FINISHED, 2), "wk-000009": 2})
    state.finished_jobs.retained_count = 2
    return state


def finish_all(state: ClusterState) -> None:
    for job_id in FINISHED:
        state.on_key(f"f/{job_id}", "aborted", 1)


def drop(state: ClusterState, needed: str = "") -> list[str]:
    def is_needed(job: Job) -> bool:
        return job.id == needed

    return [job.id for job in state.drop_finished_jobs(is_needed)]


def test_the_oldest_finished_jobs_are_dropped_and_open_ones_never(
    cluster_state: ClusterState,
) -> None:
    finish_all(cluster_state)
    assert drop(cluster_state) == FINISHED[:4]
    assert cluster_state.jobs_by_id.keys() == {*FINISHED[4:], "wk-000009"}
    assert {job.id for job in cluster_state.jobs.values()} == cluster_state.jobs_by_id.keys()
    assert drop(cluster_state) == []


def test_a_cancelled_job_whose_tasks_may_run_stays_until_they_have_ended(
    cluster_state: ClusterState,
) -> None:
    """Guards against ``ran_cancelled``: nobody stops the tasks of a job that was dropped."""
    cluster_state.on_key("r/7", [["host-1", 1, [[FINISHED[0], [0]]]]], 1)
    finish_all(cluster_state)
    assert drop(cluster_state) == FINISHED[1:4]
    cluster_state.release(cluster_state.jobs_by_id[FINISHED[0]].live_attempts[0])
    assert drop(cluster_state) == [FINISHED[0]]


def test_a_done_job_leaves_although_a_long_task_keeps_the_record_of_its_start(
    cluster_state: ClusterState,
) -> None:
    """Guards against memory that grows with the records of replicas that run for months."""
    cluster_state.on_key("r/7", [["host-1", 1, [[FINISHED[0], [0, 1]], ["wk-000009", [0]]]]], 1)
    cluster_state.on_key(f"f/{FINISHED[0]}", "done", 2)
    cluster_state.finished_jobs.retained_count = 0
    assert drop(cluster_state) == [FINISHED[0]]
    (attempts,) = cluster_state.attempts_by_machine.values()
    assert [attempt.job.id for attempt in attempts.values()] == ["wk-000009"]
    assert cluster_state.settled_rounds() == []


def test_a_job_stays_while_its_record_as_a_suspect_exists(cluster_state: ClusterState) -> None:
    cluster_state.on_key(f"s/{FINISHED[1]}", ["host-1"], 1)
    finish_all(cluster_state)
    assert FINISHED[1] not in drop(cluster_state)
    cluster_state.on_key(f"s/{FINISHED[1]}", None, 2)
    assert drop(cluster_state) == [FINISHED[1]]


def test_a_job_that_the_caller_needs_stays(cluster_state: ClusterState) -> None:
    finish_all(cluster_state)
    assert FINISHED[2] not in drop(cluster_state, needed=FINISHED[2])
    assert drop(cluster_state) == [FINISHED[2]]


def test_a_restored_job_gets_a_new_index(cluster_state: ClusterState) -> None:
    """An index of a dropped job may be in use as a key of other tables."""
    finish_all(cluster_state)
    used = {job.index for job in cluster_state.jobs.values()}
    drop(cluster_state)
    job = cluster_state.restore_finished_job(FINISHED[0], record_of(FINISHED[0], 2), "aborted")
    assert job.index not in used
    assert cluster_state.jobs_by_id[FINISHED[0]] is job
    assert job.final_status == "aborted"
    assert job.index not in cluster_state.open_jobs
