"""What a controller knows about the leadership, and what that allows it to do."""

from __future__ import annotations

import asyncio

from petrelthread.leadership.fence import Fence
from petrelthread.leadership.leader_keys import leader_conditions
from petrelthread.leadership.leader_lease import LEASE_TTL_S, LeaderLease
from petrelthread.leadership.roles import ACTIVE_ROLES, Role
from petrelthread.state import LeaderRecord
from petrelthread.store import WatchCache


class LeadershipState:
    """The role of this controller and the evidence for it.

    ``is_leader``, ``may_start_tasks``, ``may_answer_workers`` and ``fence`` say what the controller
    may do. Each names its evidence and until when that counts. All times are of the event loop's
    clock. ``Election`` alone changes the fields.
    """

    def __init__(self, watch_cache: WatchCache, lease_grace_s: float) -> None:
        """Begin as a follower that knows nothing.

        ``lease_grace_s``: how long an active controller answers workers without news from the
        state service.
        """
        self._watch_cache = watch_cache
        self._lease_grace_s = lease_grace_s
        self.role = Role.FOLLOWER
        # Of this controller's newest election:
        self.epoch = 0
        self.fencing_token = 0  # the epoch, or higher if it was raised since
        self.elected_at = 0.0
        self._lease = LeaderLease()
        self._fence_revision = 0  # of both leader keys as this controller wrote them
        # Of any controller's:
        self.leader: LeaderRecord | None = None  # the leader key as last read
        self.highest_known_epoch = 0  # highest epoch or fencing token seen anywhere

    @property
    def is_leader(self) -> bool:
        """Whether it may schedule tasks, scale out and in, and command workers.

        Evidence: it was elected, has reloaded the state since, and has seen no newer epoch.
        Until: its lease expires, ``LEASE_TTL_S`` less clock drift after it sent the newest renewal
        that succeeded. No other controller can have been elected before that. A process pause
        between the check and the action is covered by the fence and the fencing token.
        """
        return self.role is Role.LEADING and self._now() < self._lease.expires_at

    @property
    def may_start_tasks(self) -> bool:
        """Whether it may send start commands to workers.

        Evidence: that of ``is_leader``, and a complete read of the state service. What other
        controllers wrote before it began, such as cancelled jobs, is known here.
        Until: ``LEASE_TTL_S`` after the newest complete read began, or ``is_leader`` ends.
        """
        return self.is_leader and self._now() < self._watch_cache.current_as_of + LEASE_TTL_S

    @property
    def may_answer_workers(self) -> bool:
        """Whether it may acknowledge heartbeats with 200, which renews the workers' leases.

        Unless ``is_leader``, the only commands in such a response are to stop tasks of jobs that
        have finished.

        Evidence: it was elected and has seen no newer epoch; its own lease may have expired, and
        the failover may be incomplete. Workers whose leases are renewed go on with their tasks
        through an outage of the state service.
        Until: ``lease_grace_s`` after the older of two events: it sent the newest renewal that
        succeeded, and its newest complete read of the state service began. A renewal alone shows
        that nobody else leads, but not that this controller has read what others wrote; a job that
        was cancelled without its knowledge was cancelled after that read.
        """
        return self.role in ACTIVE_ROLES and self._now() < self._lease_grace_end()

    def fence(self) -> Fence | None:
        """Return the conditions of every write as the leader, or None if it may not write.

        It may write from its election until it steps down or its lease may have expired. No time
        limit applies, since the state service checks the conditions when it applies the write.
        """
        if self.role not in (Role.FAILING_OVER, Role.LEADING):
            return None
        return Fence(self.epoch, leader_conditions(self._fence_revision, self._fence_revision))

    @property
    def leader_name(self) -> str | None:
        """Host name of the leader as far as known here; it may not lead any more."""
        return self.leader.node if self.leader else None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _lease_grace_end(self) -> float:
        current_as_of = min(self._lease.renewed_at, self._watch_cache.current_as_of)
        return current_as_of + self._lease_grace_s
