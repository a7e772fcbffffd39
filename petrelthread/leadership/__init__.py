"""Leadership: the election, the right to act as the leader, and writes that depend on it."""

from petrelthread.leadership.claim_writer import ClaimOutcome, ClaimWriter
from petrelthread.leadership.election import ACTIVE_ROLES, Election, Role
from petrelthread.leadership.fence import Fence

__all__ = ["ACTIVE_ROLES", "ClaimOutcome", "ClaimWriter", "Election", "Fence", "Role"]
