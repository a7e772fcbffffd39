"""petrelthread: a cluster scheduler that never assumes the result of an unanswered command."""

__version__ = "0.1.0"
