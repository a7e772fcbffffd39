"""What users ask: submit, query, cancel. Any node answers, always against the state service."""

from petrelthread.job_api.handler import JobApi
from petrelthread.job_api.validation import (
    MachineTypesUnknownError,
    UnschedulableJobError,
    check_runnable,
)

__all__ = ["JobApi", "MachineTypesUnknownError", "UnschedulableJobError", "check_runnable"]
