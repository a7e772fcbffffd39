"""Fixtures of this package's tests."""

from __future__ import annotations

from collections.abc import Callable

import orjson
import pytest

from petrelthread.protocol import parse_job
from petrelthread.state import ClusterState, InternedNames, JobRecord
from tests.simulation import job_spec

ClusterStateMaker = Callable[[dict[str, int]], ClusterState]


def record_of(job_id: str, task_count: int) -> JobRecord:
    """The record of an array job with this id and number of tasks."""
    return JobRecord.from_spec(parse_job(orjson.dumps(job_spec(job_id, task_count))), 5.0)


@pytest.fixture
def cluster_state_with() -> ClusterStateMaker:
    """A function that makes a cluster state with jobs, given as task counts by id."""

    def make(jobs: dict[str, int]) -> ClusterState:
        cluster_state = ClusterState(InternedNames(["red", "blue"], ["a", "b"]))
        for job_id, task_count in jobs.items():
            cluster_state.add_job(job_id, record_of(job_id, task_count))
        return cluster_state

    return make
