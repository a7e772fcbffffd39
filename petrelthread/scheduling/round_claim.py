"""The claim (the transaction) of one round, with the data to apply it once it is committed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from petrelthread import protocol
from petrelthread.scheduling.start_validator import Start
from petrelthread.state import Attempt, FinishedTasksRecord, Job, RoundRecord
from petrelthread.store import KEY_PREFIX


class NumberedRecord(NamedTuple):
    """A record of starts and stops with the number in its key."""

    number: int
    record: RoundRecord


@dataclass
class RoundClaim:
    """The transaction of one round and the decisions that it records.

    Attributes:
        stops: attempts to stop.
        operations: operations of the transaction.
        absent_keys: keys that must not exist when it is committed, without the common prefix.
        marker: key whose existence proves that it was committed, without the common prefix.
        completed: jobs that are recorded as complete.
        finished_tasks_number: number of the record of finished tasks; 0 if there is none.
        finished_tasks_record: finished tasks of jobs that are not complete.
        records: records of the starts and stops.
        starts: the starts that ``records`` contain.
        suspects: by id of a newly suspect job, the machines on which the job failed.
        deleted_keys: keys of settled records (no longer needed) to delete, without the common
            prefix.
        has_postponed: whether some of the decided starts or stops have to wait for a later round.
    """

    stops: list[Attempt]
    operations: list[protocol.Operation] = field(default_factory=list)
    absent_keys: list[str] = field(default_factory=list)
    marker: str | None = None
    completed: list[Job] = field(default_factory=list)
    finished_tasks_number: int = 0
    finished_tasks_record: FinishedTasksRecord = field(default_factory=list)
    records: list[NumberedRecord] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    suspects: dict[str, list[str]] = field(default_factory=dict)
    deleted_keys: list[str] = field(default_factory=list)
    has_postponed: bool = False

    def put(self, key: str, value: object) -> None:
        """Add an operation that writes a key, which is given without the common prefix."""
        self.operations.append(protocol.PutOperation(KEY_PREFIX + key, value))
