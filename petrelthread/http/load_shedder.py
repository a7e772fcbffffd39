"""Limits the time for requests per event loop iteration, and sheds requests delayed too long.

An iteration of the event loop runs every ready callback before it polls timers and sockets again.
Under load, requests could take seconds of one iteration, in which a leader cannot renew its lease.
Requests therefore ask for admission before they are parsed: an iteration admits as many as fit in a
time slice, and delays the others to a later iteration.

Workers' requests are admitted before users', but one in every ``USER_REQUEST_INTERVAL`` is a
user's, so that neither starves. A request is shed when its sender would soon time out: in a growing
queue, even the first request would otherwise get its response too late.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

TIME_SLICE_S = 0.02  # for requests in one iteration of the event loop
INITIAL_COST_S = 0.001  # of a request, until the first requests are measured
MIN_COST_S = 1e-6  # avoids a division by zero
COST_WEIGHT = 0.05  # of the newest time slice in the average cost of a request
MAX_WAIT_S = 2.5  # requests of workers time out after 4 s, those of users after 5 s
USER_REQUEST_INTERVAL = 4  # of this many delayed requests admitted, one is a user's if any waits


class RequestSource(Enum):
    """Who sent a request."""

    WORKER = "worker"
    USER = "user"


class Admission(Enum):
    """The load shedder's decision about a request."""

    IMMEDIATE = "served at once"
    DELAYED = "served after it had to wait"
    SHED = "not served: it has waited too long"


class _DelayedRequest(NamedTuple):
    admission: asyncio.Future[Admission]
    delayed_at: float


class LoadShedder:
    """Decides when each request is served, or that it is shed. Use one per event loop.

    Times are those of the given clock, by default event loop time.
    """

    def __init__(
        self, clock: Callable[[], float] | None = None, time_slice_s: float = TIME_SLICE_S
    ) -> None:
        """Admit requests for ``time_slice_s`` in each iteration of the event loop."""
        self._clock = clock
        self._time_slice_s = time_slice_s
        self._queues: dict[RequestSource, deque[_DelayedRequest]] = {
            source: deque() for source in RequestSource
        }
        self._slice_started_at: float | None = None  # None outside a time slice
        self._admitted_in_slice = 0
        self._dequeued_count = 0  # requests taken from the queues to be admitted
        self._request_cost_s = INITIAL_COST_S  # exponential moving average
        self.delayed_count = 0  # requests delayed since the start
        self.shed_count = 0  # number of delayed requests that were shed since the start
        self.last_shed_at = float("-inf")
        self.refused_connection_count = 0
        self.last_refused_at = float("-inf")

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for admission."""
        return sum(len(queue) for queue in self._queues.values())

    def _now(self) -> float:
        return self._clock() if self._clock else asyncio.get_running_loop().time()

    async def admit(self, source: RequestSource) -> Admission:
        """Wait until a request is admitted or shed.

        A request waits at most ``MAX_WAIT_S``, unless the event loop itself is late.
        """
        if not self.queue_length and self._admit_in_slice():
            return Admission.IMMEDIATE
        admission: asyncio.Future[Admission] = asyncio.get_running_loop().create_future()
        self._queues[source].append(_DelayedRequest(admission, self._now()))
        self.delayed_count += 1
        return await admission

    def record_refused_connection(self) -> None:
        """Count a connection that was closed on arrival because of the connection limit."""
        self.refused_connection_count += 1
        self.last_refused_at = self._now()

    def _admit_in_slice(self) -> bool:
        """Admit a request if the time slice has time left; begin a time slice if there is none."""
        now = self._now()
        if self._slice_started_at is None:
            self._begin_slice(now)
        elif now - self._slice_started_at >= self._time_slice_s:
            return False
        self._admitted_in_slice += 1
        return True

    def _begin_slice(self, now: float) -> None:
        self._slice_started_at, self._admitted_in_slice = now, 0
        # The callback runs in the next iteration, after the event loop has polled its sockets.
        asyncio.get_running_loop().call_soon(self._end_slice)

    def _end_slice(self) -> None:
        """Update the cost estimate; begin the next time slice if requests are delayed."""
        now = self._now()
        self._update_request_cost(now)
        self._slice_started_at = None
        if not self.queue_length:
            return
        self._begin_slice(now)
        for queue in self._queues.values():
            self._shed_expired(queue, now)
        max_admitted = max(1, int(self._time_slice_s / max(self._request_cost_s, MIN_COST_S)))
        while self._admitted_in_slice < max_admitted and self.queue_length:
            self._admit_next_delayed()

    def _update_request_cost(self, now: float) -> None:
        if self._slice_started_at is None or not self._admitted_in_slice:
            return
        spent_s = max(0.0, now - self._slice_started_at)
        cost_s = spent_s / self._admitted_in_slice
        self._request_cost_s += (cost_s - self._request_cost_s) * COST_WEIGHT

    def _admit_next_delayed(self) -> None:
        """Admit the next delayed request, unless it was cancelled."""
        self._dequeued_count += 1
        preferred, other = RequestSource.WORKER, RequestSource.USER
        if self._dequeued_count % USER_REQUEST_INTERVAL == 0:
            preferred, other = other, preferred
        queue = self._queues[preferred] or self._queues[other]
        admission = queue.popleft().admission
        if not admission.done():  # cancelled if the connection was closed meanwhile
            admission.set_result(Admission.DELAYED)
            self._admitted_in_slice += 1

    def _shed_expired(self, queue: deque[_DelayedRequest], now: float) -> None:
        while queue and now - queue[0].delayed_at > MAX_WAIT_S:
            admission = queue.popleft().admission
            if not admission.done():
                admission.set_result(Admission.SHED)
                self.shed_count += 1
                self.last_shed_at = now
