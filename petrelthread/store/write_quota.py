"""One controller's share of the write limit, with loans between controllers.

Each controller has a base rate by its role. What it does not need it lends to a controller that
asks, for ``LOAN_DURATION_S``. The lender counts a loan for longer than the borrower does, whatever
is lost or delayed between them, so all rates together stay within the limit although no controller
knows which others are alive.
"""

from __future__ import annotations

from typing import NamedTuple

LOAN_DURATION_S = 3.0
MAX_CLOCK_DRIFT = 1.002  # the lender's clock may run faster than the borrower's by this factor
RETAINED_SHARE = 0.5  # of the base rate that is never lent, because user requests come in bursts
MIN_WRITE_RATE = 0.2  # writes a second
NEED_FACTOR = 2.0  # a controller may soon need this many times its recent writes


class Loan(NamedTuple):
    """A part of a base rate that another controller uses for a while."""

    rate: float  # writes a second
    expires_at: float  # seconds on the clock of the controller that keeps this record


class WriteQuota:
    """How many writes a second this controller may make.

    Attributes:
        base_rate: writes a second by role, before loans.
        extra_rate: writes a second beyond the base that the unused part of the limit allows.
    """

    def __init__(self, base_rate: float) -> None:
        self.base_rate = base_rate
        self.extra_rate = 0.0
        self._lent: dict[str, list[Loan]] = {}  # by borrower
        self._borrowed: dict[str, Loan] = {}  # by lender

    def lend(self, borrower: str, requested: float, used: float, now: float) -> float:
        """Answer a controller's request for a loan.

        Args:
            borrower: name of the controller that asks.
            requested: writes a second that it asks for.
            used: writes a second that this controller made recently.
            now: seconds.

        Returns:
            Writes a second lent; may be 0.
        """
        need = max(RETAINED_SHARE * self.base_rate, NEED_FACTOR * used)
        lent_to_others = sum(
            self._outstanding(name, now) for name in self._lent if name != borrower
        )
        amount = max(0.0, min(requested, self.base_rate - need - lent_to_others))
        if amount > 0 or borrower in self._lent:
            expires_at = now + LOAN_DURATION_S * MAX_CLOCK_DRIFT
            self._lent.setdefault(borrower, []).append(Loan(amount, expires_at))
        return amount

    def record_loan(self, lender: str, amount: float, requested_at: float) -> None:
        """Take a loan that was requested at a time before the lender decided on it."""
        self._borrowed[lender] = Loan(amount, requested_at + LOAN_DURATION_S)

    def _outstanding(self, borrower: str, now: float) -> float:
        # The newest answer may be lost, so that the borrower still uses an older, larger loan.
        loans = self._lent[borrower] = [
            loan for loan in self._lent[borrower] if loan.expires_at > now
        ]
        return max((loan.rate for loan in loans), default=0.0)

    def rate(self, now: float) -> float:
        """Writes a second that this controller may make now, above 0."""
        lent = sum(self._outstanding(name, now) for name in self._lent)
        borrowed = sum(loan.rate for loan in self._borrowed.values() if loan.expires_at > now)
        # A former leader's open loans may exceed a follower's base rate; a rate of 0 or less would
        # make the division by the rate fail.
        return max(MIN_WRITE_RATE, self.base_rate - lent + borrowed + self.extra_rate)
