"""Emulated programs around the controllers, a soak with faults, and an invariant checker."""
