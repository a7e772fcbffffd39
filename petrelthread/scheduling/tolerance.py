"""Tolerances for comparing floating-point sums of cores, accelerators and memory."""

from __future__ import annotations

# Tolerance for amounts of capacity, which accumulate rounding errors over many starts and ends of
# tasks.
CAPACITY_TOLERANCE = 1e-6
# Tolerance for sums of the requests of jobs.
REQUEST_TOLERANCE = 1e-9
