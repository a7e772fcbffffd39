"""The roles of a controller and the changes between them."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Role(Enum):
    """What a controller is at present. The administration API shows the values."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"  # campaigning
    FAILING_OVER = "taking over"  # elected, but the state is not reloaded yet
    LEADING = "leading"
    LEASE_GRACE = "holding over"  # the lease may have expired, but no newer epoch is known


TRANSITIONS = {
    Role.FOLLOWER: {Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.FAILING_OVER},
    Role.FAILING_OVER: {Role.LEADING, Role.LEASE_GRACE, Role.FOLLOWER},
    Role.LEADING: {Role.LEASE_GRACE, Role.FOLLOWER},
    Role.LEASE_GRACE: {Role.LEADING, Role.FAILING_OVER, Role.FOLLOWER},
}
ACTIVE_ROLES = (Role.FAILING_OVER, Role.LEADING, Role.LEASE_GRACE)  # those of an elected controller


class LeadershipListener(Protocol):
    """What the rest of the controller does when its leadership changes."""

    def on_role_changed(self, role: Role) -> None:
        """Adapt to a new role. Called within the change, before anything else happens."""

    async def on_elected(self) -> None:
        """Rebuild what a leader keeps in memory, from a state that was read after the election.

        The role is ``FAILING_OVER``; it becomes ``LEADING`` once this returns.
        """

    def on_fencing_token_raised(self, token: int) -> None:
        """Use a higher fencing token from now on; the epoch stays."""
