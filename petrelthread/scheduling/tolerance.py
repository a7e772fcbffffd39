"""Tolerances for comparing sums of cores, accelerators and memory, which are floating-point."""

from __future__ import annotations

CAPACITY_TOLERANCE = 1e-6  # of amounts that many starts and ends were added to and taken from
REQUEST_TOLERANCE = 1e-9  # of sums of what jobs request
