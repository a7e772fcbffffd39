"""One controller's share of the write limit, with loans between controllers.

Each controller has a base rate that depends on its role. It lends what it does not need to a
controller that requests it, for ``LOAN_DURATION_S``. A loan expires later for the lender than for
the borrower, even if messages are lost or delayed, so all rates together stay within the limit
although no controller knows which others are alive.
"""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.settings import CLOCK_DRIFT_FACTOR

LOAN_DURATION_S = 3.0
# Share of the base rate that is never lent, because user requests come in bursts.
RETAINED_SHARE = 0.5
MIN_WRITE_RATE = 0.2  # writes per second that a controller may always make
NEED_FACTOR = 2.0  # a controller may soon need this many times its recent writes


class Loan(NamedTuple):
    """A part of one controller's base rate that another one may use until it expires."""

    rate: float  # writes per second
    expires_at: float  # seconds on the clock of the controller that keeps this record


class WriteQuota:
    """How many writes per second this controller may make.

    Attributes:
        base_rate: writes per second by role, before loans.
        extra_rate: writes per second beyond the base rate, from the unused part of the limit.
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
            requested: writes per second that it asks for.
            used: writes per second that this controller made recently.
            now: event loop time.

        Returns:
            Writes per second lent; may be 0.
        """
        need = max(RETAINED_SHARE * self.base_rate, NEED_FACTOR * used)
        lent_to_others = sum(
            self._outstanding_rate(name, now) for name in self._lent if name != borrower
        )
        amount = max(0.0, min(requested, self.base_rate - need - lent_to_others))
        if amount > 0 or borrower in self._lent:
            expires_at = now + LOAN_DURATION_S * CLOCK_DRIFT_FACTOR
            self._lent.setdefault(borrower, []).append(Loan(amount, expires_at))
        return amount

    def record_loan(self, lender: str, amount: float, requested_at: float) -> None:
        """Record a loan that ``lender`` granted.

        The loan starts at ``requested_at``, so that it expires here before it does for the lender.
        """
        self._borrowed[lender] = Loan(amount, requested_at + LOAN_DURATION_S)

    def _outstanding_rate(self, borrower: str, now: float) -> float:
        # The newest response may be lost, so that the borrower still uses an older, larger loan.
        loans = self._lent[borrower] = [
            loan for loan in self._lent[borrower] if loan.expires_at > now
        ]
        return max((loan.rate for loan in loans), default=0.0)

    def rate(self, now: float) -> float:
        """Writes per second that this controller may make now; always above 0."""
        lent = sum(self._outstanding_rate(name, now) for name in self._lent)
        borrowed = sum(loan.rate for loan in self._borrowed.values() if loan.expires_at > now)
        # After a leader becomes a follower, the rate that it lent may exceed its base rate. The
        # token bucket divides by the rate, which must therefore stay above 0.
        return max(MIN_WRITE_RATE, self.base_rate - lent + borrowed + self.extra_rate)
