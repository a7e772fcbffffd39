"""When the leader raises its fencing token without another election.

A raise invalidates all direct commands sent before, on every machine that receives a heartbeat
response with the new token. ``FencingTokenRaiser`` writes the token.
"""

from __future__ import annotations

from enum import Enum

from petrelthread.fleet.executed_starts import ExecutedStarts
from petrelthread.fleet.unacknowledged_starts import UnacknowledgedStarts

# Minimum time between two raises of the token, in lease durations. PROTOCOL lets a worker that sees
# a higher token send a heartbeat immediately, but at most this often.
RAISE_INTERVAL_LEASES = 0.5
# Upper bound on that time, as a share of the lease grace period. The rest of the period has to
# suffice for writing the token and answering heartbeats.
RAISE_INTERVAL_GRACE_SHARE = 1 / 3
MIN_RAISE_INTERVAL_S = 1.0
# Age, in lease durations, at which a start that is still wanted is invalidated. Until then, the
# start only delays the forget command for its attempt.
STALE_AFTER_LEASES = 4.0
# How long forget commands are withheld, in lease durations, so that one raise serves many of them.
FORGET_AFTER_LEASES = 1.0


class RaiseReason(Enum):
    """Why the fencing token has to be raised; the values are logged."""

    UNWANTED = "starts that are no longer wanted may still be carried out"
    STALE = "unanswered starts keep attempts from being forgotten"
    CROWDED = "a machine has executed many starts that a late copy could repeat"
    FORGET = "late copies could start again what workers have to forget or have lost"


# Raises for these reasons belong to normal operation; the others follow lost responses.
ROUTINE_REASONS = frozenset({RaiseReason.CROWDED, RaiseReason.FORGET})


class TokenRaisePolicy:
    """Decides when the token is raised, from the direct starts that may still take effect."""

    def __init__(
        self,
        lease_s: float,
        lease_grace_s: float,
        unacknowledged_starts: UnacknowledgedStarts,
        executed_starts: ExecutedStarts,
    ) -> None:
        """Create the policy.

        Args:
            lease_s: The duration of a worker's lease.
            lease_grace_s: How long after the newest read of the state a heartbeat may be answered.
            unacknowledged_starts: Direct starts without a response.
            executed_starts: Direct starts that a late copy could repeat.
        """
        self._lease_s = lease_s
        self._lease_grace_s = lease_grace_s
        self._unacknowledged_starts = unacknowledged_starts
        self._executed_starts = executed_starts
        self._attempted_at = float("-inf")

    @property
    def interval_s(self) -> float:
        """The minimum time between two raises of the token, in seconds.

        Each raise costs two writes to the state service and an extra heartbeat of every worker.
        """
        interval_s = min(
            RAISE_INTERVAL_LEASES * self._lease_s, RAISE_INTERVAL_GRACE_SHARE * self._lease_grace_s
        )
        return max(MIN_RAISE_INTERVAL_S, interval_s)

    def reason(self, token: int, now: float) -> RaiseReason | None:
        """Return why the fencing token, now ``token``, has to be raised; None if it does not.

        A start with a lower token needs no raise: the next heartbeat response that arrives
        invalidates it.
        """
        if now - self._attempted_at < self.interval_s:
            return None
        return self._reason_unacknowledged(token, now) or self._reason_executed(token, now)

    def _reason_unacknowledged(self, token: int, now: float) -> RaiseReason | None:
        stale_before = now - STALE_AFTER_LEASES * self._lease_s
        reason = None
        for start in self._unacknowledged_starts.unanswered(token):
            if start.is_unwanted:
                return RaiseReason.UNWANTED
            if start.sent_at < stale_before:
                reason = RaiseReason.STALE
        return reason

    def _reason_executed(self, token: int, now: float) -> RaiseReason | None:
        if self._executed_starts.is_crowded(token):
            return RaiseReason.CROWDED
        since = self._executed_starts.withheld_since(token)
        if since is not None and now - since >= FORGET_AFTER_LEASES * self._lease_s:
            return RaiseReason.FORGET
        return None

    def on_raise_attempted(self, now: float) -> None:
        """Record the time of a raise of the token, successful or not."""
        self._attempted_at = now
