"""Direct starts that a worker may still carry out, although nobody knows whether it ever will.

A direct command is executed as long as its fencing token and its session match, however late it
arrives. Its sender can't call it back; it can only see to it that one of the two no longer matches.
Until a worker has shown a higher token or a later session, or its lease has surely run out, such a
start counts as possible: it is neither superseded nor forgotten.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from petrelthread.state import Attempt, OperationState

log = logging.getLogger(__name__)

CLOCK_DRIFT_FACTOR = 1.002
LEASE_MARGIN_S = 0.5
RAISE_INTERVAL_LEASES = (
    0.5  # PROTOCOL: a higher token makes a worker report at once this often at most
)
RAISE_INTERVAL_GRACE_SHARE = (
    1 / 3
)  # of the hold-over: what is left suffices to write and to answer workers
MIN_RAISE_INTERVAL_S = 1.0
STALE_AFTER_LEASES = (
    4.0  # a wanted start only keeps its attempt from being forgotten: that has time
)
BOUND_MARGIN_S = 3.0  # as in ``Settings.hold_over_s``: together they are ``cancel_s``


class StartKey(NamedTuple):
    """One attempt of one task."""

    job: int
    task: int
    attempt: int


def key_of(attempt: Attempt) -> StartKey:
    """What names an attempt on its machine."""
    return StartKey(attempt.job.index, attempt.task, attempt.number)


@dataclass
class UnacknowledgedStart:
    """One start that was sent and not answered, or not yet. Instants are the event loop's."""

    attempt: Attempt
    machine: str
    fencing_token: int
    sent_at: float
    renewed_at: float  # the last instant at which an answer may have prolonged its validity
    known_open_at: float  # the newest instant at which the job surely was not over
    unanswered: bool = False
    listed: bool = False  # the worker has the attempt, so the command does nothing any more
    bound_reported: bool = False

    @property
    def unwanted(self) -> bool:
        """It may still begin, and nobody wants that any more."""
        over = self.attempt.job.final_status is not None or self.attempt.stop_requested_at > 0
        return over and not self.listed and self.attempt.state is not OperationState.CONFIRMED

    def __str__(self) -> str:
        attempt = self.attempt
        return (
            f"start of {attempt.job.id}/{attempt.task} attempt {attempt.number} on {self.machine}"
        )


class RaiseReason(Enum):
    """Why the fencing token should be raised."""

    UNWANTED = "starts that are no longer wanted may still be carried out"
    OLD = "unanswered starts keep attempts from being forgotten"


class UnacknowledgedStarts:
    """All of them, by machine."""

    def __init__(
        self, lease_s: float, lease_grace_s: float, state_current_as_of: Callable[[], float]
    ) -> None:
        """Hold no start yet.

        Args:
            lease_s: The duration of a worker's lease.
            lease_grace_s: How long after the newest read of the state a worker may be answered, so
                that the lease which that renews ends in time for a cancellation.
            state_current_as_of: The start of the newest complete read of the state service.
        """
        self._lease_s = lease_s
        self._lease_grace_s = lease_grace_s
        self._by_machine: dict[int, dict[StartKey, UnacknowledgedStart]] = {}
        self._raised_at = float("-inf")
        self._state_current_as_of = state_current_as_of
        self.past_bound_count = 0  # how many have outlived the bound; stays 0

    # ---- what becomes of a start -----------------------------------------------------------------

    def on_sent(
        self, attempt: Attempt, machine: str, token: int, now: float, renewed_at: float
    ) -> None:
        """A start of a job that is not over leaves now, straight to its machine.

        ``renewed_at``: until when answers with lower tokens may have renewed the machine's lease.
        """
        there = self._by_machine.setdefault(attempt.machine, {})
        there[key_of(attempt)] = UnacknowledgedStart(
            attempt, machine, token, now, renewed_at, self._state_current_as_of()
        )

    def on_answered(self, attempt: Attempt) -> None:
        """The worker has said what it did with the command, or it never left."""
        there = self._by_machine.get(attempt.machine, {})
        there.pop(key_of(attempt), None)
        if not there:
            self._by_machine.pop(attempt.machine, None)

    def on_unanswered(self, attempt: Attempt) -> None:
        """The command was given up; it may arrive at any time."""
        start = self._by_machine.get(attempt.machine, {}).get(key_of(attempt))
        if start is not None:
            start.unanswered = True
            log.info("%s is uncertain: sent with token %d, no answer", start, start.fencing_token)

    def on_listed(self, machine: int, key: StartKey) -> None:
        """The worker lists the attempt. As long as it does, the command has no effect."""
        start = self._by_machine.get(machine, {}).get(key)
        if start is not None:
            start.listed = True

    def on_token_acknowledged(self, machine: int, token: int) -> None:
        """The machine's worker refuses commands with a lower token from now on."""
        self._settle(machine, f"its machine knows token {token}", lambda s: s.fencing_token < token)

    def on_incarnation_ended(self, machine: int, reason: str) -> None:
        """The machine's worker refuses commands for its earlier session from now on."""
        self._settle(machine, reason, lambda start: True)

    def expire_leases(self, now: float) -> None:
        """Settle what no worker can carry out any more, whether it was heard since or not.

        An answer either arrives, and with it a higher token, or does not prolong the lease.
        """
        lease_s = self._lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        for machine in list(self._by_machine):
            why = "no answer with its token went to its machine for a lease"
            self._settle(machine, why, lambda start: now > start.renewed_at + lease_s)
        self._check_bound(now)

    def _settle(self, machine: int, why: str, void: Callable[[UnacknowledgedStart], bool]) -> None:
        there = self._by_machine.get(machine)
        if there is None:
            return
        for key, start in list(there.items()):
            if not void(start):
                continue
            del there[key]
            if start.unanswered:
                log.info("%s, uncertain so far, is void: %s", start, why)
        if not there:
            del self._by_machine[machine]

    # ---- what is known ---------------------------------------------------------------------------

    def holds(self, machine: int, key: StartKey) -> bool:
        """Whether the attempt may still begin, or begin anew, by a late command."""
        return key in self._by_machine.get(machine, {})

    def has_any_on(self, machine: int) -> bool:
        """Whether the machine may still get a late start."""
        return machine in self._by_machine

    def _all(self) -> Iterator[UnacknowledgedStart]:
        for there in self._by_machine.values():
            yield from there.values()

    def count(self) -> int:
        """How many commands were given up without an answer and are not void."""
        return sum(start.unanswered for start in self._all())

    def oldest_age_s(self, now: float) -> float:
        """The age of the oldest of them, in seconds; 0 if there is none."""
        return max((now - start.sent_at for start in self._all() if start.unanswered), default=0.0)

    # ---- what to do about them -------------------------------------------------------------------

    @property
    def raise_interval_s(self) -> float:
        """Seconds between two raises of the token, at least: each costs two changes of the state
        service and may make every worker report once more."""
        gap_s = min(
            RAISE_INTERVAL_LEASES * self._lease_s, RAISE_INTERVAL_GRACE_SHARE * self._lease_grace_s
        )
        return max(MIN_RAISE_INTERVAL_S, gap_s)

    def raise_reason(self, token: int, now: float) -> RaiseReason | None:
        """Why the token should be raised now, if it should be; ``token``: the present one."""
        if now - self._raised_at < self.raise_interval_s:
            return None
        reason = None
        for start in self._all():
            if not start.unanswered or start.fencing_token < token:
                continue  # the next answer that arrives makes the latter void
            if start.unwanted:
                return RaiseReason.UNWANTED
            if now - start.sent_at > STALE_AFTER_LEASES * self._lease_s:
                reason = RaiseReason.OLD
        return reason

    def on_raise_attempted(self, now: float) -> None:
        """The token was raised, or that failed."""
        self._raised_at = now

    def may_answer(self, machine: int, token: int, now: float) -> bool:
        """Whether an answer with this token may renew the machine's lease.

        An answer with a higher token makes a start void where it arrives. One with the same token
        keeps it executable for another lease: none goes out once that lease could outlast what a
        cancellation has.
        """
        for start in self._by_machine.get(machine, {}).values():
            self._look(start)
            late = now >= start.known_open_at + self._lease_grace_s
            if late and start.fencing_token >= token and not start.listed:
                return False
        return True

    def on_lease_renewed(self, machine: int, token: int, now: float) -> None:
        """An answer with this token goes to the machine."""
        for start in self._by_machine.get(machine, {}).values():
            if start.fencing_token >= token:
                start.renewed_at = now

    def _look(self, start: UnacknowledgedStart) -> None:
        if start.attempt.job.final_status is None:
            start.known_open_at = max(start.known_open_at, self._state_current_as_of())

    def _check_bound(self, now: float) -> None:
        """Say so if a start of a job that is over is still possible though it must not be."""
        bound_s = self._lease_grace_s + self._lease_s * CLOCK_DRIFT_FACTOR + BOUND_MARGIN_S
        for start in self._all():
            self._look(start)
            over = start.attempt.job.final_status is not None and not start.listed
            if not over or start.bound_reported or now < start.known_open_at + bound_s:
                continue
            start.bound_reported = True
            self.past_bound_count += 1
            log.error(
                "%s, sent %.1f s ago with token %d, is possible %.1f s after its job was over",
                start,
                now - start.sent_at,
                start.fencing_token,
                now - start.known_open_at,
            )
