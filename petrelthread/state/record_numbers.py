"""Numbers of the records of rounds and of finished tasks.

The upper bits of a number are the epoch of the leader that wrote the record, so that no number is
used twice. The number of a round's record is also the attempt number of its starts.
"""

from __future__ import annotations

EPOCH_SHIFT = 20  # a number is ``epoch << EPOCH_SHIFT | serial``; serials begin at 1
RECORDS_PER_EPOCH = 1 << EPOCH_SHIFT


def epoch_of(number: int) -> int:
    """The epoch whose leader wrote the record with this number."""
    return number >> EPOCH_SHIFT


def epoch_base_number(epoch: int) -> int:
    """The number that precedes the number of an epoch's first record."""
    return epoch << EPOCH_SHIFT
