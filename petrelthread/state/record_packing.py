"""Packing of starts, stops and finished tasks into records of limited size.

Sizes are upper bounds on the size in bytes of the JSON text.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from petrelthread.state.stored_records import (
    FinishedTasks,
    FinishedTasksRecord,
    RoundEntry,
    RoundRecord,
    TasksOfJob,
)

# Bytes of brackets, quotes and commas that each part of a record adds to its names and numbers.
EMPTY_RECORD_BYTES = 2
TASK_BYTES = 1
JOB_BYTES = 8
MACHINE_BYTES = 10
FIRST_ENTRY_BYTES = 20  # for a record's first entry, which has one machine and one task
RANGE_BYTES = 4
FIRST_RANGE_BYTES = 16  # space required for a job's first range, including its numbers


class Placement(NamedTuple):
    """One task of a round's record; the order of the fields is the sort order of a record."""

    machine: str  # name, or STOP_MARKER
    incarnation: int
    job_id: str
    task: int


def pack_round_records(placements: Iterable[Placement], limit: int) -> list[RoundRecord]:
    """Group placements by machine and job into records of at most ``limit`` bytes each."""
    records: list[RoundRecord] = []
    record: RoundRecord = []
    size = EMPTY_RECORD_BYTES
    for machine, incarnation, job_id, task in sorted(placements):
        cost = len(str(task)) + TASK_BYTES
        same_machine = bool(record) and record[-1].machine == machine
        same_job = same_machine and record[-1].jobs[-1].job_id == job_id
        if not same_job:
            cost += len(job_id) + JOB_BYTES
        if not same_machine:
            cost += len(machine) + len(str(incarnation)) + MACHINE_BYTES
        if record and size + cost > limit:
            records.append(record)
            record, size, same_machine, same_job = [], EMPTY_RECORD_BYTES, False, False
            names = len(machine) + len(str(incarnation)) + len(job_id) + len(str(task))
            cost = names + FIRST_ENTRY_BYTES
        if not same_machine:
            record.append(RoundEntry(machine, incarnation, []))
        if not same_job:
            record[-1].jobs.append(TasksOfJob(job_id, []))
        record[-1].jobs[-1].tasks.append(task)
        size += cost
    if record:
        records.append(record)
    return records


def pack_finished_tasks(
    finished: dict[str, list[int]], limit: int
) -> tuple[FinishedTasksRecord, dict[str, list[int]]]:
    """Pack finished tasks, by job, as ranges into one record of at most ``limit`` bytes.

    Returns:
        The record, and the tasks that did not fit, by job.
    """
    record: FinishedTasksRecord = []
    rest: dict[str, list[int]] = {}
    size = EMPTY_RECORD_BYTES
    for job_id, tasks in finished.items():
        job_size = len(job_id) + JOB_BYTES
        if size + job_size + FIRST_RANGE_BYTES > limit:
            rest[job_id] = tasks
            continue
        size += job_size
        ranges: list[int] = []
        record.append(FinishedTasks(job_id, ranges))
        tasks = sorted(tasks)
        for position, task in enumerate(tasks):
            if ranges and ranges[-1] == task - 1:
                ranges[-1] = task
                continue
            cost = 2 * len(str(task)) + RANGE_BYTES
            if size + cost > limit:
                rest[job_id] = tasks[position:]
                break
            ranges += [task, task]
            size += cost
    return record, rest
