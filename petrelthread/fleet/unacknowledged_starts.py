"""The life of a start command, and the starts whose outcome is not known yet.

The life of one start, from the claim until it is settled; ``Attempt.state`` in brackets:

============ =======================================================================================
claimed      The claim of a round is committed. ``ClaimApplier`` records the attempt through
             ``ClusterState.apply_round`` [DISPATCHING] and passes it to ``CommandDispatcher.send``.
             All other controllers, and the next leader, record it as [UNKNOWN].
sent         ``CommandDispatcher`` sends a direct command; ``Fleet.on_start_sent`` calls ``on_sent``
             before. Or ``CommandPlanner`` puts the start into the answer to a heartbeat, as long as
             the worker does not list it; that way is not tracked here, because a worker drops an
             answer that comes too late.
acknowledged The worker responds to the direct command, or the command never left:
             ``CommandDispatcher`` calls ``on_acknowledged``.
unanswered   No response in time: ``CommandDispatcher`` calls ``on_no_response`` [UNKNOWN]. The
             command may arrive at any time, even much later.
listed       A heartbeat lists the attempt: ``TaskReconciler`` calls ``on_listed`` [CONFIRMED].
             While it is listed, a late command has no effect. After a failover it is [UNKNOWN]
             until it is listed again.
void         The command can have no effect any more, because the worker has shown a higher fencing
             token (``HeartbeatReconciler`` calls ``on_token_acknowledged``) or a new incarnation,
             or its machine is lost (``HeartbeatReconciler`` and ``AttemptOutcomes.mark_lost`` call
             ``on_incarnation_ended``), or its lease has expired (``FailureDetector.check`` calls
             ``expire_leases``).
superseded   The attempt is certainly over without being done: ``AttemptOutcomes.supersede``
             [SUPERSEDED], called by ``TaskReconciler`` when the task has exited or its absence
             proves something, by ``HeartbeatReconciler`` for a new incarnation, by ``mark_lost``,
             and by ``CommandPlanner`` for an unwanted start that was never listed. The task may
             start elsewhere.
finished     The task is done: ``AttemptOutcomes.finish``. The next claim records it, and
             ``ClusterState.release`` drops the attempt.
============ =======================================================================================

A worker executes a direct command as long as its fencing token and incarnation match, however late
it arrives, and the sender cannot revoke it. From sent until acknowledged or void, a start is
therefore held here: meanwhile the attempt is neither superseded for being absent from a heartbeat
(``holds``) nor forgotten by its worker. Two means end that in time for a cancellation:

- ``raise_reason``, asked by the scheduling loop: the leader raises its fencing token, which makes
  earlier commands void on every machine that gets an answer;
- ``may_answer``, asked by ``HeartbeatHandler``: if the token cannot be raised, the worker gets no
  answer, and its lease expires.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from petrelthread.fleet.worker_lease import CLOCK_DRIFT_FACTOR, longest_lease_s
from petrelthread.state import Attempt, OperationState

log = logging.getLogger(__name__)

# A worker reports at once on seeing a higher token, but at most this often (PROTOCOL).
RAISE_INTERVAL_LEASES = 0.5
# The rest of the grace period has to suffice for writing the token and for answering workers.
RAISE_INTERVAL_GRACE_SHARE = 1 / 3
MIN_RAISE_INTERVAL_S = 1.0
# Age at which a start that is still wanted is made void; it only delays forgetting its attempt.
STALE_AFTER_LEASES = 4.0
# The part of the time for a cancellation that ``Settings.lease_grace_s`` leaves free.
BOUND_MARGIN_S = 3.0


class StartKey(NamedTuple):
    """Names one attempt: the indices of job and task, and the attempt's number."""

    job: int
    task: int
    attempt: int


def key_of(attempt: Attempt) -> StartKey:
    """Return what names the attempt on its machine."""
    return StartKey(attempt.job.index, attempt.task, attempt.number)


@dataclass
class UnacknowledgedStart:
    """One direct start command without a response so far. Instants are the event loop's."""

    attempt: Attempt
    machine: str
    fencing_token: int
    sent_at: float
    renewed_at: float  # the last instant at which an answer may have prolonged its validity
    known_open_at: float  # the newest instant at which the job certainly had no final status
    unanswered: bool = False  # given up; else its response may still come in time
    listed: bool = False  # the worker lists the attempt, so the command has no effect
    bound_reported: bool = False

    @property
    def is_unwanted(self) -> bool:
        """Whether it may still take effect although its job is over or it was to be stopped."""
        over = self.attempt.job.final_status is not None or self.attempt.stop_requested_at > 0
        return over and not self.listed and self.attempt.state is not OperationState.CONFIRMED

    def __str__(self) -> str:
        attempt = self.attempt
        return (
            f"start of {attempt.job.id}/{attempt.task} attempt {attempt.number} on {self.machine}"
        )


def _any_start(_start: UnacknowledgedStart) -> bool:
    return True


class RaiseReason(Enum):
    """Why the fencing token should be raised; the values are logged."""

    UNWANTED = "starts that are no longer wanted may still be carried out"
    OLD = "unanswered starts keep attempts from being forgotten"


class UnacknowledgedStarts:
    """All direct starts that may still be carried out, by machine index."""

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
        self.past_bound_count = 0  # starts that outlived the time for a cancellation; stays 0

    # ---- steps in the life of a start ------------------------------------------------------------

    def on_sent(
        self, attempt: Attempt, machine: str, token: int, now: float, renewed_at: float
    ) -> None:
        """Hold a start that leaves now, straight to its machine.

        Args:
            attempt: Its job has no final status.
            machine: The name of its machine.
            token: The fencing token of the command.
            now: Event loop time.
            renewed_at: Until when answers with lower tokens may have renewed the worker's lease.
        """
        starts = self._by_machine.setdefault(attempt.machine, {})
        starts[key_of(attempt)] = UnacknowledgedStart(
            attempt, machine, token, now, renewed_at, self._state_current_as_of()
        )

    def on_acknowledged(self, attempt: Attempt) -> None:
        """Drop a start: the worker has responded to the command, or it never left."""
        starts = self._by_machine.get(attempt.machine, {})
        starts.pop(key_of(attempt), None)
        if not starts:
            self._by_machine.pop(attempt.machine, None)

    def on_no_response(self, attempt: Attempt) -> None:
        """The dispatcher waits no longer for a response; the command may arrive at any time."""
        start = self._by_machine.get(attempt.machine, {}).get(key_of(attempt))
        if start is not None:
            start.unanswered = True
            log.info(
                "%s is unacknowledged: sent with token %d, no response", start, start.fencing_token
            )

    def on_listed(self, machine: int, key: StartKey) -> None:
        """The worker lists the attempt. As long as it does, the command has no effect."""
        start = self._by_machine.get(machine, {}).get(key)
        if start is not None:
            start.listed = True

    def on_token_acknowledged(self, machine: int, token: int) -> None:
        """The machine's worker refuses commands with a lower token from now on."""
        reason = f"its machine acknowledges token {token}"
        self._void(machine, reason, lambda start: start.fencing_token < token)

    def on_incarnation_ended(self, machine: int, reason: str) -> None:
        """The machine's worker refuses commands for its earlier incarnation from now on."""
        self._void(machine, reason, _any_start)

    def expire_leases(self, now: float) -> None:
        """Void what no worker can carry out any more, since its lease has expired.

        An answer either arrives, and with it a higher token, or does not renew the lease.
        """
        lease_s = longest_lease_s(self._lease_s)
        reason = "no answer with its token went to its machine for a lease"
        for machine in list(self._by_machine):
            self._void(machine, reason, lambda start: now > start.renewed_at + lease_s)
        self._check_bound(now)

    def _void(
        self, machine: int, reason: str, is_void: Callable[[UnacknowledgedStart], bool]
    ) -> None:
        """Drop those starts on the machine that can have no effect any more."""
        starts = self._by_machine.get(machine)
        if starts is None:
            return
        for key, start in list(starts.items()):
            if not is_void(start):
                continue
            del starts[key]
            if start.unanswered:
                log.info("%s, unacknowledged so far, is void: %s", start, reason)
        if not starts:
            del self._by_machine[machine]

    # ---- queries ---------------------------------------------------------------------------------

    def holds(self, machine: int, key: StartKey) -> bool:
        """Whether the attempt may still begin, or begin again, by a late command."""
        return key in self._by_machine.get(machine, {})

    def has_any_on(self, machine: int) -> bool:
        """Whether the machine may still receive a late start."""
        return machine in self._by_machine

    def _all(self) -> Iterator[UnacknowledgedStart]:
        for starts in self._by_machine.values():
            yield from starts.values()

    def count(self) -> int:
        """How many starts are unanswered and not void."""
        return sum(start.unanswered for start in self._all())

    def oldest_age_s(self, now: float) -> float:
        """The age of the oldest unanswered start in seconds; 0 if there is none."""
        return max((now - start.sent_at for start in self._all() if start.unanswered), default=0.0)

    # ---- raising the token -----------------------------------------------------------------------

    @property
    def raise_interval_s(self) -> float:
        """Seconds between two raises of the token, at least.

        Each costs two writes to the state service, and makes workers report once more.
        """
        interval_s = min(
            RAISE_INTERVAL_LEASES * self._lease_s, RAISE_INTERVAL_GRACE_SHARE * self._lease_grace_s
        )
        return max(MIN_RAISE_INTERVAL_S, interval_s)

    def raise_reason(self, token: int, now: float) -> RaiseReason | None:
        """Why the fencing token, now ``token``, should be raised; None if it should not.

        A start with a lower token needs no raise: the next answer that arrives makes it void.
        """
        if now - self._raised_at < self.raise_interval_s:
            return None
        reason = None
        for start in self._all():
            if not start.unanswered or start.fencing_token < token:
                continue
            if start.is_unwanted:
                return RaiseReason.UNWANTED
            if now - start.sent_at > STALE_AFTER_LEASES * self._lease_s:
                reason = RaiseReason.OLD
        return reason

    def on_raise_attempted(self, now: float) -> None:
        """The token was raised, or that failed."""
        self._raised_at = now

    # ---- answering workers -----------------------------------------------------------------------

    def may_answer(self, machine: int, token: int, now: float) -> bool:
        """Whether an answer with this token may renew the lease of the machine's worker.

        An answer with a higher token makes a start void where it arrives. One with the same token
        keeps it executable for another lease, which must end in time for a cancellation.
        """
        for start in self._by_machine.get(machine, {}).values():
            self._update_known_open(start)
            late = now >= start.known_open_at + self._lease_grace_s
            if late and start.fencing_token >= token and not start.listed:
                return False
        return True

    def on_lease_renewed(self, machine: int, token: int, now: float) -> None:
        """An answer with this token goes to the machine's worker."""
        for start in self._by_machine.get(machine, {}).values():
            if start.fencing_token >= token:
                start.renewed_at = now

    def _update_known_open(self, start: UnacknowledgedStart) -> None:
        if start.attempt.job.final_status is None:
            start.known_open_at = max(start.known_open_at, self._state_current_as_of())

    def _check_bound(self, now: float) -> None:
        """Report starts of finished jobs that are possible for longer than a cancellation has."""
        bound_s = self._lease_grace_s + self._lease_s * CLOCK_DRIFT_FACTOR + BOUND_MARGIN_S
        for start in self._all():
            self._update_known_open(start)
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
