"""What users ask: submit, query, cancel. Any node answers, always against the state service."""

from petrelthread.job_api.handler import Intake
from petrelthread.job_api.validation import CannotRun, NotYetKnown, check_runnable

__all__ = ["CannotRun", "Intake", "NotYetKnown", "check_runnable"]
