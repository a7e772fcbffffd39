"""Machines reserved for overdue jobs that fit nowhere.

Without a reservation a task of 16 cores finds no machine with 16 free cores as long as small tasks
take whatever becomes free. One machine for each such job gets no new tasks until one task of the
job fits there.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.machine_capacity import MachineCapacity
from petrelthread.scheduling.placement_request import PlacementRequest
from petrelthread.scheduling.quota import QuotaHeadroom


def reserve_machines(
    requests: Iterable[PlacementRequest],
    index: CapacityIndex,
    fitting_machine_types: Callable[[PlacementRequest], Collection[int]],
    quotas: list[QuotaHeadroom],
    previous: dict[int, int],
) -> dict[int, int]:
    """Choose the machine to reserve for each job that needs one.

    Args:
        requests: of the overdue jobs, in the order in which they are served.
        index: the machines that may be used.
        fitting_machine_types: the machine types of which one, when empty, holds a task.
        quotas: what each team may still use, by team index.
        previous: reservations so far; one stays as long as it can serve.

    Returns:
        The reserved machine by job index.
    """
    reserved: dict[int, int] = {}
    taken: set[int] = set()
    for request in requests:
        if quotas[request.team].max_tasks(request) <= 0 or index.fits_somewhere(request):
            continue
        machine_types = fitting_machine_types(request)
        machine = index.machines.get(previous.get(request.job_index, -1))
        if machine is None or not _can_serve(machine, request, machine_types, taken):
            machine = index.most_free(request, machine_types, taken)
        if machine is not None:
            reserved[request.job_index] = machine.machine_index
            taken.add(machine.machine_index)
    return reserved


def _can_serve(
    machine: MachineCapacity,
    request: PlacementRequest,
    machine_types: Collection[int],
    taken: Collection[int],
) -> bool:
    """Whether a reservation made earlier still makes sense."""
    return (
        machine.machine_index not in taken
        and machine.machine_type in machine_types
        and machine.allows(request)
    )
