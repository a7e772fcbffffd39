"""The roles of a controller and the transitions between them."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Role(Enum):
    """The role of a controller. The administration API shows the values."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"  # a campaign is in progress
    FAILING_OVER = "taking over"  # elected; the state is being reloaded
    LEADING = "leading"
    LEASE_GRACE = "holding over"  # the lease may have expired; no newer epoch is known


TRANSITIONS = {
    Role.FOLLOWER: {Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.FAILING_OVER},
    Role.FAILING_OVER: {Role.LEADING, Role.LEASE_GRACE, Role.FOLLOWER},
    Role.LEADING: {Role.LEASE_GRACE, Role.FOLLOWER},
    Role.LEASE_GRACE: {Role.LEADING, Role.FAILING_OVER, Role.FOLLOWER},
}
ACTIVE_ROLES = (Role.FAILING_OVER, Role.LEADING, Role.LEASE_GRACE)  # of an elected controller


class LeadershipListener(Protocol):
    """Callbacks by which the rest of the controller follows changes of its leadership."""

    def on_role_changed(self, role: Role) -> None:
        """Adapt to a new role. Called synchronously, right after the role is assigned."""

    async def on_elected(self) -> None:
        """Rebuild the leader's in-memory state from what was read after the election.

        The role is ``FAILING_OVER``; it becomes ``LEADING`` once this returns.
        """

    def on_fencing_token_raised(self, token: int) -> None:
        """Send commands with a higher fencing token from now on; the epoch is unchanged."""
