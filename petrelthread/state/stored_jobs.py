"""Which stored jobs a read of all keys keeps in memory."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from petrelthread.state.cluster_state import ClusterState
from petrelthread.state.stored_records import (
    KeyKind,
    decode_finished_tasks,
    decode_job,
    decode_round,
)


class StoredJobs:
    """Stored jobs as closable entries (``store.ClosableEntries``): a final status closes a job."""

    entry_prefix = KeyKind.JOB.key("")
    closing_prefix = KeyKind.FINAL_STATUS.key("")

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state

    @property
    def retained_count(self) -> int:
        """How many of the most recently finished jobs to keep."""
        return self._cluster_state.finished_jobs.retained_count

    def references(self, key: str, value: Any) -> Iterable[str]:
        """Ids of the jobs that a record names."""
        kind, _, name = key.partition("/")
        if kind == KeyKind.ROUND:
            return [tasks.job_id for entry in decode_round(value) for tasks in entry.jobs]
        if kind == KeyKind.FINISHED_TASKS:
            return [finished.job_id for finished in decode_finished_tasks(value)]
        return [name] if kind == KeyKind.SUSPECT_JOB else []

    def may_be_referenced(self, values: Mapping[str, Any]) -> bool:
        """Whether records may exist: leaders write them, so not before the first election."""
        return KeyKind.EPOCH in values

    def is_open(self, name: str) -> bool:
        """Whether the job is in memory without a final status."""
        job = self._cluster_state.jobs_by_id.get(name)
        return job is not None and job.final_status is None

    def open_names(self) -> Iterable[str]:
        """Ids of the jobs in memory without a final status."""
        return [job.id for job in self._cluster_state.open_jobs.values()]

    def on_omitted(self, value: Any) -> None:
        """Note the class of a finished job that is not kept in memory."""
        self._cluster_state.note_job_class(decode_job(value).job_class)
