"""Brings finished jobs back into memory whose tasks a worker still lists.

A worker lists an exited task until it gets a forget command, and a machine that was unreachable may
list one long after its job has finished. The commands for it need the job's final status.
"""

from __future__ import annotations

import logging

from petrelthread import protocol
from petrelthread.background_tasks import BackgroundTasks
from petrelthread.history.stored_job_reader import StoredJobReader
from petrelthread.state import ClusterState
from petrelthread.store import StateResultUnknownError, StateUnavailableError

log = logging.getLogger(__name__)


class JobRestorer:
    """Restores finished jobs in the background; a read that fails is begun again on request."""

    def __init__(self, cluster_state: ClusterState, reader: StoredJobReader) -> None:
        self._cluster_state = cluster_state
        self._reader = reader
        self._requested: set[str] = set()
        self._tasks = BackgroundTasks()

    def request(self, job_id: str) -> None:
        """Restore a job unless it is in memory or was never accepted."""
        if job_id in self._requested or not protocol.JOB_ID.match(job_id):
            return
        self._requested.add(job_id)
        self._tasks.start(self._restore(job_id))

    async def _restore(self, job_id: str) -> None:
        try:
            stored = await self._reader.read(job_id)
        except (StateUnavailableError, StateResultUnknownError) as error:
            log.debug("finished job %s not restored: %s", job_id, error)
            return
        finally:
            self._requested.discard(job_id)
        if stored is not None and stored.final_status is not None:
            log.info("job %s is restored: a worker still lists its tasks", job_id)
            self._cluster_state.restore_finished_job(job_id, stored.record, stored.final_status)
