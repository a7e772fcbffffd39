"""What users ask: submit, query, cancel. Any node answers, always against the state service."""

from petrelthread.intake.checks import CannotRun, NotYetKnown, check_runnable
from petrelthread.intake.intake import Intake

__all__ = ["CannotRun", "Intake", "NotYetKnown", "check_runnable"]
