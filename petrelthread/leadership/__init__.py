"""Leadership: the election, the right to act as the leader, and writes that depend on it."""

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
