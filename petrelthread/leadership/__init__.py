"""Who leads: a key tied to a state lease, and an epoch that rises with every election."""

from petrelthread.leadership.election import ACTING, Election, Role

__all__ = ["ACTING", "Election", "Role"]
