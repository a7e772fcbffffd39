"""Room kept free for jobs that should have begun and fit nowhere.

A task of 16 cores finds no machine with 16 free ones as long as tasks of two cores take each that
falls free: guests' long tasks had waited 320 to 500 s. One machine for each such job gets nothing
new until one task of it fits there.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from petrelthread.scheduling.capacity_index import RoomIndex
from petrelthread.scheduling.slot import PlacementRequest, QuotaHeadroom


def reserve_machines(
    requests: Iterable[PlacementRequest],
    room: RoomIndex,
    types_that_hold: Callable[[PlacementRequest], Collection[int]],
    teams: list[QuotaHeadroom],
    held: dict[int, int],
) -> dict[int, int]:
    """By job, the machine to be kept for it. ``types_that_hold``: the machine types of which one,
    when empty, holds a task. ``held``: what was kept so far; it stays as long as that can serve."""
    out: dict[int, int] = {}
    taken: set[int] = set()
    for request in requests:
        if teams[request.team].max_tasks(request) <= 0 or room.fits_somewhere(request):
            continue
        types = types_that_hold(request)
        kept = room.slots.get(held.get(request.job, -1))
        if kept is not None and (
            kept.machine in taken or kept.machine_type not in types or not kept.allowed(request)
        ):
            kept = None
        # The one where least has to fall free; of equals, always the same.
        best = kept or room.roomiest(request, types, taken)
        if best is not None:
            out[request.job] = best.machine
            taken.add(best.machine)
    return out
