"""Attribution of failures to jobs or machines, compared with a reference model."""

from __future__ import annotations

import random

import pytest

from petrelthread.fleet.failure_attribution import (
    MAX_CONSECUTIVE_FAILURES,
    MAX_MACHINES_OF_HEALTHY_JOB,
    SUSPECT_AFTER_MACHINES,
    FailureAttribution,
    JobHealth,
)

Event = tuple[str, int, int]  # "failed", "done" or "over" (job has final status); job; machine


def reference_model(events: list[Event]) -> tuple[set[int], set[int]]:
    """Return faulty machines and suspect jobs, computed from the whole history at each event."""
    faulty: set[int] = set()
    suspect: set[int] = set()
    for end in range(1, len(events) + 1):
        past = events[:end]
        proven = {job for what, job, _ in past if what == "done"}
        ended = {
            job: at
            for at, (what, job, _) in enumerate(past)
            if what == "over" and job not in proven
        }
        counted = [
            (what, job, machine)
            for at, (what, job, machine) in enumerate(past)
            if what != "over" and not (what == "failed" and at < ended.get(job, -1))
        ]
        on = {job: {m for w, j, m in counted if w == "failed" and j == job} for _, job, _ in past}
        what, job, machine = past[-1]
        if what == "failed":
            evaluated = [machine]
        elif what == "done" and job not in {j for w, j, _ in past[:-1] if w == "done"}:
            evaluated = sorted(on[job])
        else:
            evaluated = []
        for candidate in evaluated:
            since: list[int] = []
            for w, j, m in counted:
                if m == candidate:
                    since = [] if w == "done" else [*since, j]
            from_proven = [j for j in since if j in proven]
            few_machines = all(
                len(on[j] - faulty) <= MAX_MACHINES_OF_HEALTHY_JOB for j in from_proven
            )
            many_failures = (
                len(set(from_proven)) > 1 or len(from_proven) >= MAX_CONSECUTIVE_FAILURES
            )
            if many_failures or (len(from_proven) > 1 and few_machines):
                faulty.add(candidate)
        suspect = {
            j for j in on if j not in proven and len(on[j] - faulty) >= SUSPECT_AFTER_MACHINES
        }
    return faulty, suspect


@pytest.mark.parametrize("block", range(4))
def test_attribution_equals_reference_model(block: int) -> None:
    seen = [0, 0]
    for seed in range(block * 100, block * 100 + 100):
        rng = random.Random(seed)
        broken, faulty_machines = {0, 1}, set(rng.sample(range(8), rng.randint(0, 3)))
        failures, events, open_jobs = FailureAttribution(), list[Event](), list(range(6))
        for _ in range(rng.randint(5, 40)):
            job, machine = rng.choice(open_jobs), rng.randrange(8)
            fails = job in broken or machine in faulty_machines or rng.random() < 0.1
            event: Event = ("failed" if fails else "done", job, machine)
            events.append(event)
            failures.on_failed(job, machine) if fails else failures.on_completed(job, machine)
            if rng.random() < 0.05 and len(open_jobs) > 1:
                open_jobs.remove(job)
                events.append(("over", job, -1))
                failures.on_finished(job)
        faulty, suspect = reference_model(events)
        assert set(failures.faulty) == faulty, (seed, events)
        assert {j for j in range(6) if failures.job_health(j) is JobHealth.SUSPECT} == suspect, seed
        seen[0] += bool(faulty)
        seen[1] += bool(suspect)
    assert min(seen) > 20


def test_jobs_that_fail_everywhere_make_no_machine_faulty() -> None:
    failures = FailureAttribution()
    for machine in range(20):
        assert not failures.on_failed(0, machine)
        assert not failures.on_failed(1, machine)
    assert {failures.job_health(0), failures.job_health(1)} == {JobHealth.SUSPECT}


def test_job_that_failed_only_on_faulty_machines_is_no_longer_suspect() -> None:
    failures = FailureAttribution()
    for machine in range(3):
        failures.on_failed(0, machine)
    assert failures.job_health(0) is JobHealth.SUSPECT
    failures.on_completed(1, 7)
    assert failures.on_failed(1, 0) == []
    assert failures.on_failed(1, 0) == [0]  # job 1 completes elsewhere, so machine 0 is faulty
    assert failures.job_health(0) is JobHealth.NEW


def test_earlier_failures_count_once_job_is_proven() -> None:
    failures = FailureAttribution()
    failures.on_failed(0, 3)
    failures.on_failed(0, 3)
    assert not failures.faulty
    assert failures.on_completed(0, 4) == [3]
