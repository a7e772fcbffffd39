"""Who leads: a key tied to a state lease, and an epoch that rises with every election."""

from petrelthread.leadership.election import ACTIVE_ROLES, Election, Role

__all__ = ["ACTIVE_ROLES", "Election", "Role"]
