"""A job as the state service stores it."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread import protocol
from petrelthread.state import JobRecord


class StoredJob(NamedTuple):
    """An accepted job and its final status; None if it had none when it was read."""

    record: JobRecord
    final_status: str | None

    @property
    def finished_count(self) -> int:
        """Number of finished tasks, as far as the final status shows it."""
        return self.record.task_count if self.final_status == protocol.JobStatus.DONE else 0
