"""petrelthread: a cluster scheduler that never guesses what an unanswered command did."""

__version__ = "0.1.0"
