"""Records of rounds and of finished tasks: their numbers, and values of limited size."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

EPOCH_SHIFT = 20  # a record's number is ``epoch << EPOCH_SHIFT | serial``
RECORDS_PER_EPOCH = 1 << EPOCH_SHIFT  # record numbers that one epoch has


def epoch_of(number: int) -> int:
    """The epoch whose leader wrote the record with this number."""
    return number >> EPOCH_SHIFT


def epoch_base_number(epoch: int) -> int:
    """The number before an epoch's first record."""
    return epoch << EPOCH_SHIFT


def pack_round_records(placements: Iterable[tuple[str, int, str, int]], limit: int) -> list[Any]:
    """(machine, session, job, task) grouped into record values of at most ``limit`` bytes."""
    records: list[Any] = []
    record: list[Any] = []
    size = 2
    for machine, session, job, task in sorted(placements):
        cost = len(str(task)) + 1
        same_machine = bool(record) and record[-1][0] == machine
        same_job = same_machine and record[-1][2][-1][0] == job
        if not same_job:
            cost += len(job) + 8
        if not same_machine:
            cost += len(machine) + len(str(session)) + 10
        if record and size + cost > limit:
            records.append(record)
            record, size, same_machine, same_job = [], 2, False, False
            cost = len(machine) + len(str(session)) + len(job) + len(str(task)) + 20
        if not same_machine:
            record.append([machine, session, []])
        if not same_job:
            record[-1][2].append([job, []])
        record[-1][2][-1][1].append(task)
        size += cost
    if record:
        records.append(record)
    return records


def pack_finished_tasks(
    done: dict[str, list[int]], limit: int
) -> tuple[list[Any], dict[str, list[int]]]:
    """Finished tasks as ranges, at most ``limit`` bytes; with what did not fit."""
    record: list[Any] = []
    rest: dict[str, list[int]] = {}
    size = 2
    for job, tasks in done.items():
        head = len(job) + 8
        if size + head + 16 > limit:
            rest[job] = tasks
            continue
        size += head
        ranges: list[int] = []
        record.append([job, ranges])
        tasks = sorted(tasks)
        for at, task in enumerate(tasks):
            if ranges and ranges[-1] == task - 1:
                ranges[-1] = task
                continue
            cost = 2 * len(str(task)) + 4
            if size + cost > limit:
                rest[job] = tasks[at:]
                break
            ranges += [task, task]
            size += cost
    return record, rest
