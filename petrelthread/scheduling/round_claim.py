"""What one round writes in one transaction, and what follows once it is committed."""

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
    """The transaction of one round with its meaning.

    Attributes:
        stops: attempts that the round stops.
        operations: the changes that the transaction makes.
        absent_keys: keys that must not exist, without the common prefix.
        marker: the key that proves that the transaction was applied, without the common prefix.
        completed: jobs that the transaction records as complete.
        finished_tasks_number: number of the record of finished tasks; 0 if there is none.
        finished_tasks_record: finished tasks of jobs that are not complete.
        records: starts and stops.
        starts: those that ``records`` hold.
        suspects: by job id, the machines on which a job failed that is suspect from now on.
        deleted_keys: settled records that the transaction deletes, without the common prefix.
        has_more: whether some of the round's starts have to wait for the next round.
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
    has_more: bool = False

    def put(self, key: str, value: object) -> None:
        """Add the write of one key, given without the common prefix."""
        self.operations.append(protocol.PutOperation(KEY_PREFIX + key, value))
