"""The life cycle of a start command, and the direct starts that may still take effect.

The life cycle from the claim to the end of the attempt, with ``Attempt.state`` in brackets:

============ =======================================================================================
claimed      The claim of a round is committed. ``ClaimApplier`` records the attempt through
             ``ClusterState.apply_round`` [DISPATCHING] and passes it to ``CommandDispatcher.send``.
             All other controllers, and the next leader, record it as [UNKNOWN].
sent         ``CommandDispatcher`` sends a direct command, after ``Fleet.on_start_sent`` has called
             ``on_sent``. Or ``CommandPlanner`` puts the start into heartbeat responses until the
             worker lists it; these starts are not tracked here, because a worker drops a heartbeat
             response that arrives too late.
acknowledged The worker has responded to the direct command, or the command was not sent after all:
             ``CommandDispatcher`` calls ``on_acknowledged``. If the worker has executed the start,
             ``ExecutedStarts`` keeps its attempt from being forgotten while a late copy of the
             command could start the attempt again.
unanswered   No response in time: ``CommandDispatcher`` calls ``on_no_response`` [UNKNOWN]. The
             command may arrive at any time, even much later.
listed       A heartbeat lists the attempt: ``TaskReconciler`` calls ``on_listing`` [CONFIRMED].
             While it is listed, a delayed command has no effect. After a failover it is [UNKNOWN]
             until it is listed again.
invalidated  The command can no longer take effect. Either the worker has shown a higher fencing
             token (``HeartbeatReconciler`` calls ``on_token_acknowledged``) or a new incarnation,
             or its machine is lost (``HeartbeatReconciler`` and ``AttemptOutcomes.mark_lost`` call
             ``on_incarnation_ended``), or its lease has expired (``FailureDetector.check`` calls
             ``expire_leases``).
superseded   The attempt has certainly ended without finishing its task:
             ``AttemptOutcomes.supersede`` [SUPERSEDED], called by ``TaskReconciler`` when the task
             has exited or its absence proves that it ended, by ``HeartbeatReconciler`` for a new
             incarnation, by ``mark_lost``, and by ``CommandPlanner`` for an unwanted start that is
             not listed and that no late copy of a command can begin. The task may start elsewhere.
finished     The task is done: ``AttemptOutcomes.finish``. The next claim records it, and
             ``ClusterState.release`` drops the attempt.
============ =======================================================================================

A worker executes a direct command as long as its fencing token and incarnation match, however late
it arrives, and the sender cannot revoke it. A start is therefore tracked here from sent until
acknowledged or invalidated. Meanwhile a heartbeat that lacks the attempt does not supersede it
(``contains``), and its worker gets no forget command for it (on which the worker stops listing an
exited attempt). Two mechanisms keep such a start from taking effect past the cancellation deadline
of its job:

- ``TokenRaisePolicy``: the leader raises its fencing token, which invalidates earlier commands on
  every machine that receives a heartbeat response;
- ``may_answer``, called by ``HeartbeatHandler``: if the token cannot be raised, the worker's
  heartbeats are not answered, and its lease expires.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from petrelthread.fleet.start_key import StartKey, start_key_of
from petrelthread.fleet.worker_lease import longest_lease_s
from petrelthread.settings import CANCELLATION_MARGIN_S, CLOCK_DRIFT_FACTOR
from petrelthread.state import Attempt, OperationState

log = logging.getLogger(__name__)


@dataclass
class UnacknowledgedStart:
    """One direct start command without a response. ``_at`` fields are event loop times."""

    attempt: Attempt
    machine: str
    fencing_token: int
    sent_at: float
    renewed_at: float  # when a heartbeat response may last have renewed the worker's lease
    job_open_as_of: float  # latest time at which the job is known to have had no final status
    unanswered: bool = False  # whether the wait for a response has ended without one
    listed: bool = False  # whether the worker lists the attempt, so that the command has no effect
    overdue_reported: bool = False

    @property
    def is_unwanted(self) -> bool:
        """Whether it may still take effect although its job has finished or a stop is requested."""
        unneeded = self.attempt.job.final_status is not None or self.attempt.stop_requested_at > 0
        return unneeded and not self.listed and self.attempt.state is not OperationState.CONFIRMED

    def __str__(self) -> str:
        attempt = self.attempt
        return (
            f"start of {attempt.job.id}/{attempt.task} attempt {attempt.number} on {self.machine}"
        )


def _any_start(_start: UnacknowledgedStart) -> bool:
    return True


class UnacknowledgedStarts:
    """All direct starts that may still take effect, by machine index."""

    def __init__(
        self, lease_s: float, lease_grace_s: float, state_current_as_of: Callable[[], float]
    ) -> None:
        """Track no starts yet.

        Args:
            lease_s: The duration of a worker's lease.
            lease_grace_s: How long after the newest read of the state a heartbeat may be answered,
                so that the renewed lease expires before the cancellation deadline.
            state_current_as_of: The start of the newest complete read of the state service.
        """
        self._lease_s = lease_s
        self._lease_grace_s = lease_grace_s
        self._by_machine: dict[int, dict[StartKey, UnacknowledgedStart]] = {}
        self._state_current_as_of = state_current_as_of
        # Starts that could be executed past the cancellation deadline of their job; should stay 0.
        self.past_deadline_count = 0

    # ---- steps of the life cycle -----------------------------------------------------------------

    def on_sent(
        self, attempt: Attempt, machine: str, token: int, now: float, renewed_at: float
    ) -> None:
        """Track a start that is sent directly to its machine now.

        Args:
            attempt: The attempt to start; its job has no final status.
            machine: The name of its machine.
            token: The fencing token of the command.
            now: Event loop time.
            renewed_at: Latest time at which earlier responses, or a former leader's, may renew the
                worker's lease.
        """
        starts = self._by_machine.setdefault(attempt.machine, {})
        starts[start_key_of(attempt)] = UnacknowledgedStart(
            attempt, machine, token, now, renewed_at, self._state_current_as_of()
        )

    def on_acknowledged(self, attempt: Attempt) -> UnacknowledgedStart | None:
        """Stop tracking a start: the worker has responded, or the command was not sent.

        Returns:
            The start; None if it is not tracked, so that it can no longer take effect.
        """
        starts = self._by_machine.get(attempt.machine, {})
        start = starts.pop(start_key_of(attempt), None)
        if not starts:
            self._by_machine.pop(attempt.machine, None)
        return start

    def on_no_response(self, attempt: Attempt) -> None:
        """Record that no response came in time; the command may still arrive at any time."""
        start = self._by_machine.get(attempt.machine, {}).get(start_key_of(attempt))
        if start is not None:
            start.unanswered = True
            log.info(
                "%s is unacknowledged: no response to the command with token %d",
                start,
                start.fencing_token,
            )

    def on_listing(self, machine: int, listed: Collection[StartKey]) -> None:
        """Record which attempts the worker lists. While it does, their commands have no effect."""
        for key, start in self._by_machine.get(machine, {}).items():
            if key in listed:
                start.listed = True

    def on_token_acknowledged(self, machine: int, token: int) -> None:
        """Invalidate starts with a lower token, which the machine's worker now rejects."""
        reason = f"its machine acknowledges token {token}"
        self._invalidate(machine, reason, lambda start: start.fencing_token < token)

    def on_incarnation_ended(self, machine: int, reason: str) -> None:
        """Invalidate all starts on the machine: the incarnation they were sent to has ended."""
        self._invalidate(machine, reason, _any_start)

    def expire_leases(self, now: float) -> None:
        """Invalidate starts whose worker's lease has expired since the last possible renewal.

        Responses with a higher token do not count as renewals: one that arrives invalidates the
        start by its token, and one that is lost does not renew the lease.
        """
        lease_s = longest_lease_s(self._lease_s)
        reason = "no heartbeat response with its token was sent to its machine for a lease duration"
        for machine in list(self._by_machine):
            self._invalidate(machine, reason, lambda start: now > start.renewed_at + lease_s)
        self._report_overdue(now)

    def _invalidate(
        self, machine: int, reason: str, is_invalid: Callable[[UnacknowledgedStart], bool]
    ) -> None:
        """Stop tracking those starts on the machine that can no longer take effect."""
        starts = self._by_machine.get(machine)
        if starts is None:
            return
        for key, start in list(starts.items()):
            if not is_invalid(start):
                continue
            del starts[key]
            if start.unanswered:
                log.info("unacknowledged %s can no longer take effect: %s", start, reason)
        if not starts:
            del self._by_machine[machine]

    # ---- queries ---------------------------------------------------------------------------------

    def contains(self, machine: int, key: StartKey) -> bool:
        """Whether a delayed command may still start the attempt, or start it again."""
        return key in self._by_machine.get(machine, {})

    def count_on(self, machine: int) -> int:
        """Return how many starts on the machine are tracked, unanswered or not."""
        return len(self._by_machine.get(machine, ()))

    def has_any_on(self, machine: int) -> bool:
        """Whether the machine may still receive a delayed start."""
        return machine in self._by_machine

    def _all(self) -> Iterator[UnacknowledgedStart]:
        for starts in self._by_machine.values():
            yield from starts.values()

    def jobs(self) -> set[int]:
        """Return the indices of the jobs whose starts are tracked."""
        return {start.attempt.job.index for start in self._all()}

    def unanswered(self, min_token: int = 0) -> Iterator[UnacknowledgedStart]:
        """Iterate over the unanswered starts whose token is at least ``min_token``."""
        for start in self._all():
            if start.unanswered and start.fencing_token >= min_token:
                yield start

    def count(self) -> int:
        """Return how many unanswered starts may still take effect."""
        return sum(1 for _ in self.unanswered())

    def oldest_age_s(self, now: float) -> float:
        """Return the age of the oldest unanswered start in seconds; 0 if there is none."""
        return max((now - start.sent_at for start in self.unanswered()), default=0.0)

    # ---- answering heartbeats --------------------------------------------------------------------

    def may_answer(self, machine: int, token: int, now: float) -> bool:
        """Whether a heartbeat response with this token may renew the lease of the machine's worker.

        A response with a higher token than a start invalidates the start when it arrives. One with
        the same token keeps it executable for another lease, which must expire before the
        cancellation deadline.
        """
        for start in self._by_machine.get(machine, {}).values():
            self._update_job_open_as_of(start)
            grace_expired = now >= start.job_open_as_of + self._lease_grace_s
            if grace_expired and start.fencing_token >= token and not start.listed:
                return False
        return True

    def on_lease_renewed(self, machine: int, token: int, now: float) -> None:
        """Record that a heartbeat response with this token is sent to the machine's worker."""
        for start in self._by_machine.get(machine, {}).values():
            if start.fencing_token >= token:
                start.renewed_at = now

    def _update_job_open_as_of(self, start: UnacknowledgedStart) -> None:
        if start.attempt.job.final_status is None:
            start.job_open_as_of = max(start.job_open_as_of, self._state_current_as_of())

    def _report_overdue(self, now: float) -> None:
        """Report starts that may take effect past the cancellation deadline of their job."""
        deadline_s = (
            self._lease_grace_s + self._lease_s * CLOCK_DRIFT_FACTOR + CANCELLATION_MARGIN_S
        )
        for start in self._all():
            self._update_job_open_as_of(start)
            unwanted = start.attempt.job.final_status is not None and not start.listed
            if not unwanted or start.overdue_reported or now < start.job_open_as_of + deadline_s:
                continue
            start.overdue_reported = True
            self.past_deadline_count += 1
            log.error(
                "%s, sent %.1f s ago with token %d, can still be executed %.1f s "
                "after its job ended",
                start,
                now - start.sent_at,
                start.fencing_token,
                now - start.job_open_as_of,
            )
