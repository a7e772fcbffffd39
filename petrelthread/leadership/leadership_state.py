"""The role of a controller, the evidence for it, and what the controller may therefore do."""

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

    ``is_leader``, ``may_start_tasks``, ``may_answer_workers`` and ``fence`` tell what the
    controller may do. The docstring of each states its evidence and how long that is valid. All
    times are event loop times. Only ``Election`` changes the fields.
    """

    def __init__(self, watch_cache: WatchCache, lease_grace_s: float) -> None:
        """Start as a follower without any evidence.

        ``lease_grace_s``: how long an active controller goes on answering workers after its last
        contact with the state service.
        """
        self._watch_cache = watch_cache
        self._lease_grace_s = lease_grace_s
        self.role = Role.FOLLOWER
        # This controller's latest election:
        self.epoch = 0
        self.fencing_token = 0  # the epoch, or higher if the token was raised since
        self.elected_at = 0.0
        self._lease = LeaderLease()
        self._fence_revision = 0  # at which this controller last wrote both leader keys
        # Any controller's election:
        self.leader: LeaderRecord | None = None  # the leader key as last read
        self.highest_known_epoch = 0  # highest epoch or fencing token seen anywhere

    @property
    def is_leader(self) -> bool:
        """Whether it may schedule tasks, scale out and in, and command workers.

        Evidence: it was elected, has reloaded the state since, and has seen no newer epoch.
        Valid until: its lease expires, ``LEASE_TTL_S`` less clock drift after it sent the latest
        successful renewal. No other controller can have been elected before that. The fence and
        the fencing token protect against a process pause between the check and the action.
        """
        return self.role is Role.LEADING and self._now() < self._lease.expires_at

    @property
    def may_start_tasks(self) -> bool:
        """Whether it may send start commands to workers.

        Evidence: that of ``is_leader``, and a complete read of the state service, which shows all
        that other controllers wrote before the read began, such as cancelled jobs.
        Valid until: ``LEASE_TTL_S`` after the latest complete read began, or ``is_leader`` ends.
        """
        return self.is_leader and self._now() < self._watch_cache.current_as_of + LEASE_TTL_S

    @property
    def may_answer_workers(self) -> bool:
        """Whether it may acknowledge heartbeats with 200, which renews the workers' leases.

        Unless ``is_leader``, such a response contains no commands except to stop tasks of jobs with
        a final status.

        Evidence: it was elected and has seen no newer epoch; its own lease may have expired, and
        the failover may be incomplete. Workers whose leases are renewed keep their tasks running
        during an outage of the state service.
        Valid until: ``lease_grace_s`` after the older of two events: it sent the latest successful
        renewal, and its latest complete read of the state service began. A renewal alone shows that
        no other controller leads, but not that this one has read what others wrote. Any job
        cancellation that it does not know of was written after that read began.
        """
        return self.role in ACTIVE_ROLES and self._now() < self._lease_grace_end()

    def fence(self) -> Fence | None:
        """Return the conditions of every write as the leader, or None if it may not write.

        It may write from its election until it steps down or enters the lease grace period. No
        time limit applies, since the state service checks the conditions when it applies the write.
        """
        if self.role not in (Role.FAILING_OVER, Role.LEADING):
            return None
        return Fence(self.epoch, leader_conditions(self._fence_revision, self._fence_revision))

    @property
    def leader_name(self) -> str | None:
        """Host name in the leader key as last read; that controller may no longer lead."""
        return self.leader.node if self.leader else None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _lease_grace_end(self) -> float:
        older_evidence_at = min(self._lease.renewed_at, self._watch_cache.current_as_of)
        return older_evidence_at + self._lease_grace_s
