"""Emulated programs around the controllers, a soak test with faults, and an invariant checker."""
