"""How many writes a second this controller may make, of what the state service takes from all.

Each has a share fixed by its role. What it does not need it lends to a sibling that asks, for a few
seconds: the loan counts here until it has surely ended there, whatever was lost or came late on the
way. So all shares together stay within the limit without anybody knowing who is alive.
"""

from __future__ import annotations

from typing import NamedTuple

LOAN_DURATION_S = 3.0
MAX_CLOCK_DRIFT = 1.002
RETAINED_SHARE = 0.5  # of its share that a controller never lends: its users come in bursts
MIN_WRITE_RATE = 0.2  # a second, until loans given under a larger share have ended
NEED_FACTOR = 2.0  # times its writes of late that it may soon need


class Loan(NamedTuple):
    amount: float
    until: float


class WriteQuota:
    def __init__(self, base: float) -> None:
        self.base_rate = base
        self.extra_rate = 0.0  # beyond the base, where the limit's margin allows it
        self._lent: dict[str, list[Loan]] = {}
        self._borrowed: dict[str, Loan] = {}

    def lend(self, to: str, asked: float, used: float, now: float) -> float:
        """The answer to a sibling that asks for more; ``used``: our own writes a second of late."""
        need = max(RETAINED_SHARE * self.base_rate, NEED_FACTOR * used)
        others = sum(self._outstanding(name, now) for name in self._lent if name != to)
        amount = max(0.0, min(asked, self.base_rate - need - others))
        if amount > 0 or to in self._lent:
            self._lent.setdefault(to, []).append(
                Loan(amount, now + LOAN_DURATION_S * MAX_CLOCK_DRIFT)
            )
        return amount

    def record_loan(self, lender: str, amount: float, asked_at: float) -> None:
        """A sibling's answer. It counts from when we asked, which was before it lent anything."""
        self._borrowed[lender] = Loan(amount, asked_at + LOAN_DURATION_S)

    def _outstanding(self, to: str, now: float) -> float:
        # Its newest answer may be lost, so that an older, larger loan still counts there.
        loans = self._lent[to] = [loan for loan in self._lent[to] if loan.until > now]
        return max((loan.amount for loan in loans), default=0.0)

    def rate(self, now: float) -> float:
        lent = sum(self._outstanding(name, now) for name in self._lent)
        borrowed = sum(loan.amount for loan in self._borrowed.values() if loan.until > now)
        # A leader that has just lost the lead may have lent all that a follower's share is. With a
        # rate of 0 its users' submissions ended in a traceback until the loan was over.
        return max(MIN_WRITE_RATE, self.base_rate - lent + borrowed + self.extra_rate)
