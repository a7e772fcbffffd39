"""Room kept free for jobs that should have begun and fit nowhere.

A task of 16 cores finds no machine with 16 free ones as long as tasks of two cores take each that
falls free: guests' long tasks had waited 320 to 500 s. One machine for each such job gets nothing
new until one task of it fits there.
"""

from __future__ import annotations

from collections.abc import Iterable

from petrelthread.placement.place import EPS, PlacementRequest, QuotaHeadroom, Slot


def reserve_machines(
    requests: Iterable[PlacementRequest],
    slots: list[Slot],
    whole: dict[int, tuple[float, float, float]],
    teams: list[QuotaHeadroom],
    held: dict[int, int],
) -> dict[int, int]:
    """By job, the machine to be kept for it. ``whole``: cores, accelerators and memory of each
    machine when empty. ``held``: what was kept so far; it stays as long as that can serve."""
    out: dict[int, int] = {}
    taken: set[int] = set()
    for request in requests:
        if teams[request.team].most(request) <= 0 or any(
            s.allowed(request) and s.fits(request) for s in slots
        ):
            continue
        able = [
            s
            for s in slots
            if s.machine not in taken and s.allowed(request) and _holds(request, whole[s.machine])
        ]
        if not able:
            continue
        kept = held.get(request.job)
        # The one where least has to fall free; of equals, always the same.
        best = min(able, key=lambda s: (s.machine != kept, -s.cores, -s.ram_gb, s.machine))
        out[request.job] = best.machine
        taken.add(best.machine)
    return out


def _holds(request: PlacementRequest, whole: tuple[float, float, float]) -> bool:
    needs = (request.cores, request.accelerators, request.ram_gb)
    return all(need <= have + EPS for need, have in zip(needs, whole, strict=True))
