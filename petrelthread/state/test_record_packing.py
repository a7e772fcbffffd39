"""Records are within the size limit and contain everything that was packed."""

from __future__ import annotations

import random

import orjson

from petrelthread.state import (
    TASK_FINISHED,
    Placement,
    RoundRecord,
    decode_round,
    encode,
    pack_finished_tasks,
    pack_round_records,
)
from petrelthread.state.conftest import ClusterStateMaker

LIMIT = 900  # bytes of JSON


def placements_in(record: RoundRecord) -> set[Placement]:
    return {
        Placement(entry.machine, entry.incarnation, tasks_of_job.job_id, task)
        for entry in record
        for tasks_of_job in entry.jobs
        for task in tasks_of_job.tasks
    }


def test_packed_rounds_contain_all_placements_within_the_limit() -> None:
    randomness = random.Random(5)
    for _ in range(50):
        placements = {
            Placement(
                f"host-{randomness.randrange(9):06d}",
                1,
                f"wk-{randomness.randrange(5):06d}",
                randomness.randrange(200),
            )
            for _ in range(randomness.randrange(1, 300))
        }
        stored = [encode(record) for record in pack_round_records(placements, LIMIT)]
        assert all(len(orjson.dumps(value)) <= LIMIT for value in stored)
        assert set().union(*(placements_in(decode_round(value)) for value in stored)) == placements


def test_packed_finished_tasks_within_the_limit_are_all_applied(
    cluster_state_with: ClusterStateMaker,
) -> None:
    randomness = random.Random(6)
    for _ in range(50):
        sizes = {
            f"wk-{n:06d}": randomness.randrange(1, 3000) for n in range(randomness.randrange(1, 20))
        }
        finished = {
            job_id: randomness.sample(range(size), randomness.randrange(1, size + 1))
            for job_id, size in sizes.items()
        }
        expected = {job_id: set(tasks) for job_id, tasks in finished.items()}
        cluster_state = cluster_state_with(sizes)
        number = 0
        while finished:
            record, finished = pack_finished_tasks(finished, LIMIT)
            assert record
            value = encode(record)
            assert len(orjson.dumps(value)) <= LIMIT
            number += 1
            cluster_state.on_key(f"d/{number}", value, number)
        for job_id, tasks in expected.items():
            job = cluster_state.jobs_by_id[job_id]
            states = enumerate(job.task_states)
            assert {task for task, state in states if state == TASK_FINISHED} == tasks
            assert job.finished_count == len(tasks)
