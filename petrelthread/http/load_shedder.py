"""Keeps each turn of the event loop short while many requests wait.

The event loop serves everything that is ready before it looks at timers and sockets again. With
4,000 workers that was seconds of requests, in which a leader could not renew its lease: it lost the
lead eleven times on a calm day. Requests take their turn here before they are parsed: each turn of
the loop serves them for ``spell_s`` at most, what is left waits for the next.

When there is more than can be served, what gives way is chosen: workers' reports go before users'
requests, but of any four one is a user's, so that no kind stands still. What has waited so long
that its sender is about to give up is not served any more: at the front of a queue that grows,
every request would be answered a moment too late.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

TIME_SLICE_S = 0.02  # of one turn of the event loop that requests may take
INITIAL_COST_S = 0.001  # of a request, until some have been measured
COST_WEIGHT = 0.05  # of the newest spell in the mean cost of a request
MAX_WAIT_S = 2.5  # then a request is turned away: workers give up after 4 s, users after 5 s
USER_REQUEST_INTERVAL = 4  # one of so many requests is a user's, if one waits


class RequestSource(Enum):
    """Whose request it is; the first give way last."""

    WORKER = "worker"
    USER = "user"


class Admission(Enum):
    """What becomes of a request at the gate."""

    IMMEDIATE = "served at once"
    DELAYED = "served after it had to wait"
    SHED = "not served: it has waited too long"


class _Waiting(NamedTuple):
    future: asyncio.Future[Admission]
    since: float


class LoadShedder:
    """One for each event loop."""

    def __init__(
        self, clock: Callable[[], float] | None = None, time_slice_s: float = TIME_SLICE_S
    ) -> None:
        """``clock``: seconds, for tests; the event loop's by default."""
        self._clock = clock
        self._spell_s = time_slice_s
        self._queues: dict[RequestSource, deque[_Waiting]] = {
            kind: deque() for kind in RequestSource
        }
        self._slice_started_at: float | None = None  # of the spell under way
        self._served = 0  # in this spell
        self._turns = 0
        self._cost_s = INITIAL_COST_S
        self.delayed = 0  # requests that had to wait, in all,
        self.shed = 0  # and those that waited too long
        self.last_shed_at = float("-inf")  # when that last happened, by the gate's clock
        self.refused_connections = 0  # connections for which there was no socket left
        self.last_refused_at = float("-inf")

    @property
    def waiting(self) -> int:
        """How many requests wait for a later turn of the loop."""
        return sum(len(queue) for queue in self._queues.values())

    def _now(self) -> float:
        return self._clock() if self._clock else asyncio.get_running_loop().time()

    async def admit(self, source: RequestSource) -> Admission:
        """Return once it is known whether the request is served: at once unless the loop has much
        to do, and after ``WAIT_MOST_S`` at the latest while the loop runs on time."""
        if not self.waiting and self._has_capacity():
            return Admission.IMMEDIATE
        future: asyncio.Future[Admission] = asyncio.get_running_loop().create_future()
        self._queues[source].append(_Waiting(future, self._now()))
        self.delayed += 1
        return await future

    def record_refused_connection(self) -> None:
        """A connection was closed at once for want of sockets."""
        self.refused_connections += 1
        self.last_refused_at = self._now()

    def _has_capacity(self) -> bool:
        now = self._now()
        if self._slice_started_at is None:
            self._begin_slice(now)
        elif now - self._slice_started_at >= self._spell_s:
            return False
        self._served += 1
        return True

    def _begin_slice(self, now: float) -> None:
        self._slice_started_at, self._served = now, 0
        # What is called soon runs in the loop's next turn, after it has looked at its sockets.
        asyncio.get_running_loop().call_soon(self._next_slice)

    def _next_slice(self) -> None:
        now = self._now()
        if self._slice_started_at is not None and self._served:
            spent_s = max(0.0, now - self._slice_started_at)
            self._cost_s += (spent_s / self._served - self._cost_s) * COST_WEIGHT
        self._slice_started_at = None
        if not self.waiting:
            return
        self._begin_slice(now)
        for queue in self._queues.values():
            self._shed_expired(queue, now)
        most = max(1, int(self._spell_s / max(self._cost_s, 1e-6)))
        while self._served < most and self.waiting:
            self._release()

    def _release(self) -> None:
        self._turns += 1
        first, second = RequestSource.WORKER, RequestSource.USER
        if self._turns % USER_REQUEST_INTERVAL == 0:
            first, second = second, first
        queue = self._queues[first] or self._queues[second]
        future = queue.popleft().future
        if not future.done():  # the connection may have ended meanwhile
            future.set_result(Admission.DELAYED)
            self._served += 1

    def _shed_expired(self, queue: deque[_Waiting], now: float) -> None:
        while queue and now - queue[0].since > MAX_WAIT_S:
            future = queue.popleft().future
            if not future.done():
                future.set_result(Admission.SHED)
                self.shed += 1
                self.last_shed_at = now
