"""Reservation of machines for overdue jobs that fit on no machine.

Without a reservation a task of 16 cores finds no machine with 16 free cores as long as small tasks
take all capacity that becomes free. One machine for each such job gets no new tasks until one task
of the job fits there.
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
        requests: those of the overdue jobs, in scheduling order.
        index: the machines that may be used.
        fitting_machine_types: returns the types of machine on which, if empty, a task fits.
        quotas: quota headroom by team index.
        previous: earlier reservations; each is kept as long as its machine is suitable.

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
        if machine is None or not _is_still_suitable(machine, request, machine_types, taken):
            machine = index.most_free(request, machine_types, taken)
        if machine is not None:
            reserved[request.job_index] = machine.machine_index
            taken.add(machine.machine_index)
    return reserved


def _is_still_suitable(
    machine: MachineCapacity,
    request: PlacementRequest,
    machine_types: Collection[int],
    taken: Collection[int],
) -> bool:
    """Whether the machine of an earlier reservation may be kept for the request."""
    return (
        machine.machine_index not in taken
        and machine.machine_type in machine_types
        and machine.allows(request)
    )
