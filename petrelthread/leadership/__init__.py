"""Leader election, the permissions of each role, and writes that only the leader may make."""

from petrelthread.leadership.claim_writer import ClaimOutcome, ClaimResult, ClaimWriter
from petrelthread.leadership.election import Election
from petrelthread.leadership.fence import Fence
from petrelthread.leadership.roles import ACTIVE_ROLES, LeadershipListener, Role

__all__ = [
    "ACTIVE_ROLES",
    "ClaimOutcome",
    "ClaimResult",
    "ClaimWriter",
    "Election",
    "Fence",
    "LeadershipListener",
    "Role",
]
