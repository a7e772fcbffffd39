"""The HTTP API for users to submit, query and cancel jobs; every controller offers it."""

from petrelthread.job_api.handler import JobApi
from petrelthread.job_api.validation import (
    MachineTypesUnknownError,
    SubmissionRefusedError,
    UnschedulableJobError,
    check_runnable,
)

__all__ = [
    "JobApi",
    "MachineTypesUnknownError",
    "SubmissionRefusedError",
    "UnschedulableJobError",
    "check_runnable",
]
