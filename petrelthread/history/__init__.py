"""Finished jobs that are no longer in memory: read from the state service when they are needed."""

from petrelthread.history.job_restorer import JobRestorer
from petrelthread.history.stored_job import StoredJob
from petrelthread.history.stored_job_reader import ReadBudget, StoredJobReader

__all__ = ["JobRestorer", "ReadBudget", "StoredJob", "StoredJobReader"]
