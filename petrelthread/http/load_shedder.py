"""Admits requests so that each turn of the event loop stays short, and sheds those that waited.

The event loop serves everything that is ready before it looks at timers and sockets again. Under
load that could be seconds of requests, in which a leader cannot renew its lease. Requests therefore
ask for admission before they are parsed: a turn of the loop admits as many as fit in a time slice,
and the others are delayed to a later turn.

Workers' requests are admitted before users', but one in every ``USER_REQUEST_INTERVAL`` is a
user's, so that neither starves. A request that was delayed until its sender is about to give up is
shed: at the front of a growing queue every answer would come too late.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

TIME_SLICE_S = 0.02  # of one turn of the event loop that requests may take
INITIAL_COST_S = 0.001  # of a request, until some have been measured
MIN_COST_S = 1e-6
COST_WEIGHT = 0.05  # of the newest time slice in the mean cost of a request
MAX_WAIT_S = 2.5  # workers give up after 4 s, users after 5 s
USER_REQUEST_INTERVAL = 4  # one of so many requests is a user's, if one is delayed


class RequestSource(Enum):
    """Whose request it is."""

    WORKER = "worker"
    USER = "user"


class Admission(Enum):
    """What the load shedder decided about a request."""

    IMMEDIATE = "served at once"
    DELAYED = "served after it had to wait"
    SHED = "not served: it has waited too long"


class _DelayedRequest(NamedTuple):
    admission: asyncio.Future[Admission]
    delayed_at: float


class LoadShedder:
    """Decides when requests are served, and which are not. One for each event loop.

    Times are of the given clock, which is the event loop's by default.
    """

    def __init__(
        self, clock: Callable[[], float] | None = None, time_slice_s: float = TIME_SLICE_S
    ) -> None:
        """Admit requests for ``time_slice_s`` in each turn of the event loop."""
        self._clock = clock
        self._time_slice_s = time_slice_s
        self._queues: dict[RequestSource, deque[_DelayedRequest]] = {
            source: deque() for source in RequestSource
        }
        self._slice_started_at: float | None = None  # None between two time slices
        self._admitted_in_slice = 0
        self._released_count = 0  # requests taken from the queues
        self._request_cost_s = INITIAL_COST_S  # moving mean
        self.delayed = 0  # requests delayed since the start,
        self.shed = 0  # and those of them that were shed
        self.last_shed_at = float("-inf")
        self.refused_connections = 0
        self.last_refused_at = float("-inf")

    @property
    def waiting(self) -> int:
        """How many requests are delayed now."""
        return sum(len(queue) for queue in self._queues.values())

    def _now(self) -> float:
        return self._clock() if self._clock else asyncio.get_running_loop().time()

    async def admit(self, source: RequestSource) -> Admission:
        """Return once it is decided whether a request is served.

        A request is delayed for ``MAX_WAIT_S`` at most while the event loop runs on time.
        """
        if not self.waiting and self._admit_in_slice():
            return Admission.IMMEDIATE
        admission: asyncio.Future[Admission] = asyncio.get_running_loop().create_future()
        self._queues[source].append(_DelayedRequest(admission, self._now()))
        self.delayed += 1
        return await admission

    def record_refused_connection(self) -> None:
        """Count a connection that was closed at once because of the limit of connections."""
        self.refused_connections += 1
        self.last_refused_at = self._now()

    def _admit_in_slice(self) -> bool:
        """Admit one request if the time slice is not used up; begin one if there is none."""
        now = self._now()
        if self._slice_started_at is None:
            self._begin_slice(now)
        elif now - self._slice_started_at >= self._time_slice_s:
            return False
        self._admitted_in_slice += 1
        return True

    def _begin_slice(self, now: float) -> None:
        self._slice_started_at, self._admitted_in_slice = now, 0
        # Callbacks run in the loop's next turn, after it has looked at its sockets.
        asyncio.get_running_loop().call_soon(self._end_slice)

    def _end_slice(self) -> None:
        """Learn the cost of a request; begin the next time slice if requests are delayed."""
        now = self._now()
        self._learn_request_cost(now)
        self._slice_started_at = None
        if not self.waiting:
            return
        self._begin_slice(now)
        for queue in self._queues.values():
            self._shed_expired(queue, now)
        most = max(1, int(self._time_slice_s / max(self._request_cost_s, MIN_COST_S)))
        while self._admitted_in_slice < most and self.waiting:
            self._release_next()

    def _learn_request_cost(self, now: float) -> None:
        if self._slice_started_at is None or not self._admitted_in_slice:
            return
        spent_s = max(0.0, now - self._slice_started_at)
        cost_s = spent_s / self._admitted_in_slice
        self._request_cost_s += (cost_s - self._request_cost_s) * COST_WEIGHT

    def _release_next(self) -> None:
        """Admit the delayed request that comes next."""
        self._released_count += 1
        preferred, other = RequestSource.WORKER, RequestSource.USER
        if self._released_count % USER_REQUEST_INTERVAL == 0:
            preferred, other = other, preferred
        queue = self._queues[preferred] or self._queues[other]
        admission = queue.popleft().admission
        if not admission.done():  # cancelled if the connection has ended meanwhile
            admission.set_result(Admission.DELAYED)
            self._admitted_in_slice += 1

    def _shed_expired(self, queue: deque[_DelayedRequest], now: float) -> None:
        while queue and now - queue[0].delayed_at > MAX_WAIT_S:
            admission = queue.popleft().admission
            if not admission.done():
                admission.set_result(Admission.SHED)
                self.shed += 1
                self.last_shed_at = now
