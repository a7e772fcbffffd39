"""Direct starts that workers have executed, and that late copies could make them execute again.

A worker executes a copy of a direct start as long as the command's fencing token and incarnation
match. While the worker knows the attempt, the copy has no effect. The forget command ends that, so
an attempt may be forgotten only with a token above that of its direct start: the worker then
rejects every copy.

The token of the start is therefore kept until the worker has acknowledged a higher one or its
incarnation has ended. Meanwhile the worker lists the exited attempt, and its heartbeats grow.
``CommandDispatcher`` bounds that with ``direct_starts_left``, and ``TokenRaisePolicy`` raises the
token, so that the attempts can be forgotten. Starts sent with heartbeat responses need no tracking:
a worker drops a response that arrives late.
"""

from __future__ import annotations

from collections.abc import Collection

from petrelthread.fleet.start_key import StartKey

# An exited task takes about 100 bytes of a heartbeat, so these take some 13 of its 64 KiB.
MAX_STARTS_PER_MACHINE = 128
CROWDED_STARTS = MAX_STARTS_PER_MACHINE // 2  # with one token; it is raised soon
NO_TOKEN = -1  # below every token


class ExecutedStarts:
    """The fencing tokens of executed direct starts, by machine index and attempt."""

    def __init__(self) -> None:
        self._tokens: dict[int, dict[StartKey, int]] = {}
        self._crowded_token = NO_TOKEN
        self._withheld_token = NO_TOKEN
        self._withheld_since = 0.0

    def clear(self) -> None:
        """Drop all starts, at the beginning of an epoch, whose token is above all of theirs."""
        self._tokens.clear()

    # ---- evidence --------------------------------------------------------------------------------

    def on_executed(self, machine: int, key: StartKey, token: int) -> None:
        """Record that the machine's worker has executed a direct start with this token."""
        tokens = self._tokens.setdefault(machine, {})
        tokens[key] = token
        # Starts with lower tokens need no raise: the next response that arrives invalidates them.
        if list(tokens.values()).count(token) >= CROWDED_STARTS:
            self._crowded_token = max(self._crowded_token, token)

    def on_token_acknowledged(self, machine: int, token: int) -> None:
        """Drop starts with a lower token, which the machine's worker now rejects."""
        tokens = self._tokens.get(machine)
        if tokens is None:
            return
        kept = {key: started for key, started in tokens.items() if started >= token}
        if kept:
            self._tokens[machine] = kept
        else:
            del self._tokens[machine]

    def on_incarnation_ended(self, machine: int) -> None:
        """Drop all starts of the machine: the incarnation that they were sent to has ended."""
        self._tokens.pop(machine, None)

    def on_listing(self, machine: int, listed: Collection[StartKey], now: float) -> None:
        """Note which attempts the worker lists.

        A worker lists each attempt until it forgets it on command, so one that is missing was lost:
        its machine has restarted within the lease. A copy would start it, so the token is raised.
        """
        for key, token in self._tokens.get(machine, {}).items():
            if key not in listed:
                self._require_token_above(token, now)

    def has_any_on(self, machine: int) -> bool:
        """Whether a late copy of a command could start an attempt that the machine forgets."""
        return machine in self._tokens

    def contains(self, machine: int, key: StartKey) -> bool:
        """Whether a late copy of a command would start the attempt if the machine forgot it."""
        return key in self._tokens.get(machine, ())

    # ---- forget commands -------------------------------------------------------------------------

    def may_forget(self, machine: int, key: StartKey, token: int, now: float) -> bool:
        """Whether a heartbeat response with ``token`` may let the worker forget the attempt.

        The worker adopts the token before it executes the response's commands. A refusal counts as
        a withheld forget command, for which the token will be raised.
        """
        started = self._tokens.get(machine, {}).get(key, NO_TOKEN)
        if started < token:
            return True
        self._require_token_above(started, now)
        return False

    def _require_token_above(self, token: int, now: float) -> None:
        if token > self._withheld_token:
            self._withheld_token, self._withheld_since = token, now

    def withheld_since(self, token: int) -> float | None:
        """Return since when a token above ``token`` is needed; None if it is not."""
        return self._withheld_since if self._withheld_token >= token else None

    def jobs(self) -> set[int]:
        """Return the indices of the jobs whose starts a late copy could repeat."""
        return {key.job for tokens in self._tokens.values() for key in tokens}

    # ---- bound on the size of heartbeats ---------------------------------------------------------

    def direct_starts_left(self, machine: int, unacknowledged: int) -> int:
        """Return how many more direct starts the machine may get before older ones are dropped.

        Args:
            machine: The machine's index.
            unacknowledged: The direct starts that were sent to it and may be executed yet.
        """
        executed = len(self._tokens.get(machine, ()))
        return max(0, MAX_STARTS_PER_MACHINE - executed - unacknowledged)

    def count(self) -> int:
        """Return how many executed starts a late copy could repeat if they were forgotten."""
        return sum(len(tokens) for tokens in self._tokens.values())

    def is_crowded(self, token: int) -> bool:
        """Whether a machine has executed ``CROWDED_STARTS`` starts with this or a higher token."""
        return self._crowded_token >= token
