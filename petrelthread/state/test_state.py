"""Records: packed and read back without loss, and the steps an operation may take."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import orjson
import pytest

from petrelthread import protocol
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.leadership import ClaimOutcome, ClaimWriter
from petrelthread.leadership.fence import Fence
from petrelthread.protocol import JobStatus, parse_job
from petrelthread.state import (
    Attempt,
    ClusterState,
    IllegalTransitionError,
    InternedNames,
    Job,
    OperationState,
    pack_finished_tasks,
    pack_round_records,
    transition,
)
from petrelthread.store import StateClient, TokenBucket
from tests.virtual import play
from tests.world import job

OK = b'{"epoch":7}'


def cluster_state_of(jobs: dict[str, int]) -> ClusterState:
    cluster_state = ClusterState(InternedNames(["red", "blue"], ["a", "b"]))
    for job_id, tasks in jobs.items():
        cluster_state.add_job(job_id, Job.encode(parse_job(orjson.dumps(job(job_id, tasks))), 5.0))
    return cluster_state


def test_rounds_survive_packing() -> None:
    r = random.Random(5)
    for _ in range(50):
        entries = {
            (f"host-{r.randrange(9):06d}", 1, f"wk-{r.randrange(5):06d}", r.randrange(200))
            for _ in range(r.randrange(1, 300))
        }
        records = pack_round_records(entries, 900)
        assert all(len(orjson.dumps(record)) <= 900 for record in records)
        back = {
            (machine, session, job_id, task)
            for record in records
            for machine, session, jobs in record
            for job_id, tasks in jobs
            for task in tasks
        }
        assert back == entries


def test_finished_tasks_survive_packing() -> None:
    r = random.Random(6)
    for _ in range(50):
        sizes = {f"wk-{n:06d}": r.randrange(1, 3000) for n in range(r.randrange(1, 20))}
        todo = {j: r.sample(range(n), r.randrange(1, n + 1)) for j, n in sizes.items()}
        expected = {j: set(tasks) for j, tasks in todo.items()}
        cluster_state = cluster_state_of(sizes)
        number = 0
        while todo:
            record, todo = pack_finished_tasks(todo, 900)
            assert record
            assert len(orjson.dumps(record)) <= 900
            number += 1
            cluster_state.apply_finished_tasks(number, record)
        for job_id, tasks in expected.items():
            found = cluster_state.jobs_by_id[job_id]
            assert {n for n in range(found.task_count) if found.task_states[n] == 2} == tasks
            assert found.done_count == len(tasks)


def test_a_newer_round_settles_the_older_attempt() -> None:
    cluster_state = cluster_state_of({"wk-000001": 2})
    cluster_state.apply_round(7, [["host-1", 1, [["wk-000001", [0, 1]]]]])
    cluster_state.apply_round(9, [["host-2", 1, [["wk-000001", [0]]]]])
    found = cluster_state.jobs_by_id["wk-000001"]
    assert {task: attempt.number for task, attempt in found.live_attempts.items()} == {0: 9, 1: 7}
    cluster_state.apply_round(
        8, [["host-3", 1, [["wk-000001", [0]]]]]
    )  # late: read after the newer one
    assert found.live_attempts[0].number == 9
    assert 8 in cluster_state.settled_rounds()


def test_final_states_never_change() -> None:
    cluster_state = cluster_state_of({"wk-000001": 1})
    cluster_state.set_final_status("wk-000001", JobStatus.CANCELLED)
    cluster_state.set_final_status("wk-000001", JobStatus.DONE)
    cluster_state.mark_task_finished(cluster_state.jobs_by_id["wk-000001"], 0)
    assert cluster_state.jobs_by_id["wk-000001"].status == JobStatus.CANCELLED
    cluster_state.set_final_status("wk-000002", JobStatus.DONE)  # keys may be read in any order
    late = Job.encode(parse_job(orjson.dumps(job("wk-000002", 3))), 5.0)
    assert cluster_state.add_job("wk-000002", late).status == JobStatus.DONE


def test_operations_take_only_the_steps_there_are() -> None:
    found = cluster_state_of({"wk-000001": 1}).jobs_by_id["wk-000001"]
    attempt = Attempt(1, found, 0, 0, 1, OperationState.AUTHORIZED)
    for step in (
        OperationState.DISPATCHING,
        OperationState.UNKNOWN,
        OperationState.CONFIRMED,
        OperationState.UNKNOWN,
        OperationState.SUPERSEDED,
    ):
        transition(attempt, step)
    for step in (OperationState.CONFIRMED, OperationState.UNKNOWN, OperationState.DISPATCHING):
        with pytest.raises(IllegalTransitionError):
            transition(attempt, step)


@pytest.mark.parametrize("seed", range(5))
def test_running_figures_equal_a_plain_recount(seed: int) -> None:
    r = random.Random(seed)
    cluster_state = cluster_state_of({f"wk-{n:06d}": 6 for n in range(4)})
    for n, j in enumerate(cluster_state.jobs):
        j.team, j.cores, j.ram_gb = n % 2, 0.1 * (n + 1), 0.7 * n
    made: list[Attempt] = []
    for number in range(1, 600):
        chance = r.random()
        j = r.choice(cluster_state.jobs)
        if chance < 0.5:
            free = [task for task in range(j.task_count) if task not in j.live_attempts]
            if free:
                made.append(cluster_state.add_attempt(number, j, r.choice(free), r.randrange(3), 1))
        elif made and chance < 0.75:
            attempt = r.choice(made)
            if attempt.state is not OperationState.SUPERSEDED:
                cluster_state.set_reported_state(
                    attempt, r.choice(["running", "ended", "fetching"])
                )
        elif made:
            attempt = r.choice(made)
            if attempt.state is not OperationState.SUPERSEDED:
                cluster_state.release(attempt, done=r.random() < 0.3)
        for machine in range(3):
            there = [
                a
                for a in cluster_state.attempts_by_machine.get(machine, {}).values()
                if not a.has_exited
            ]
            taken = cluster_state.usage.machine(machine)
            assert taken.attempts == len(there)
            assert taken.cores == pytest.approx(sum(a.job.cores for a in there))
            assert taken.ram_gb == pytest.approx(sum(a.job.ram_gb for a in there))
        for team in range(2):
            all_there = [
                a for there in cluster_state.attempts_by_machine.values() for a in there.values()
            ]
            used = [a.job.cores for a in all_there if not a.has_exited and a.job.team == team]
            assert cluster_state.usage.team(team).cores == pytest.approx(sum(used))


def test_a_claim_beyond_a_limit_is_not_repeated_and_holds_up_no_other() -> None:
    """Repeated unchanged it would be refused for ever, with every other claim behind it."""
    asked: list[str] = []

    async def request(
        addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        asked.append(body["apply"][0]["put"])
        return (
            ClientResponse(400, b'{"error":"value too large"}')
            if len(asked) == 1
            else ClientResponse(200, OK)
        )

    async def main() -> None:
        client = StateClient(
            request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0)
        )
        claims = ClaimWriter(client, lambda: Fence(1, []))
        assert (await claims.claim([protocol.PutOperation("large", "x" * 9999)], "large"))[
            0
        ] is ClaimOutcome.CONFLICT
        assert (await claims.claim([protocol.PutOperation("small", 1)], "small"))[
            0
        ] is ClaimOutcome.COMMITTED
        assert asked == ["large", "small"]

    play(main())


def test_a_claim_is_never_sent_with_the_fence_of_a_later_epoch() -> None:
    """What it starts was decided on what was known in its own epoch. While it went unanswered, the
    lead was lost and won again; another leader may have placed work in between."""
    fences = [Fence(1, [protocol.Condition("pt/lead", 7)])]
    sent: list[int] = []

    async def request(
        addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        sent.append(body["when"][0]["stamp"])
        fences.append(Fence(2, [protocol.Condition("pt/lead", 9)]))
        raise NoResponseError("timeout", True)

    async def main() -> None:
        client = StateClient(
            request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0)
        )
        claims = ClaimWriter(client, lambda: fences[-1])
        async with asyncio.timeout(5.0):
            outcome, _ = await claims.claim([protocol.PutOperation("pt/r/1", [])], "r/1")
        assert outcome is ClaimOutcome.FENCED
        assert sent == [7]

    play(main())
