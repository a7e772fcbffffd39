"""A simple, slow reference implementation of placement, and random cases to compare with."""

from __future__ import annotations

import random
from typing import NamedTuple

from petrelthread.scheduling import (
    MachineCapacity,
    PlacementRequest,
    PlacementResult,
    QuotaHeadroom,
)
from petrelthread.scheduling.occupancy import JobOccupancy

TYPES, ZONES, IMAGES = 3, 3, 4
TOLERANCE = 1e-6


class RandomCase(NamedTuple):
    """Requests, machines with free capacity, and the quota headroom of each team."""

    requests: list[PlacementRequest]
    machines: list[MachineCapacity]
    quotas: list[QuotaHeadroom]


def random_placement_case(seed: int) -> RandomCase:
    """A small case that depends on the seed alone."""
    rng = random.Random(seed)
    machines = [
        _random_machine(rng, machine_index) for machine_index in range(rng.randrange(1, 12))
    ]
    requests = [_random_request(rng, job_index) for job_index in range(rng.randrange(1, 8))]
    quotas = [QuotaHeadroom(float(rng.choice([4, 10, 40])), 3.0) for _ in range(2)]
    return RandomCase(requests, machines, quotas)


def _random_machine(rng: random.Random, machine_index: int) -> MachineCapacity:
    return MachineCapacity(
        machine_index,
        rng.randrange(TYPES),
        rng.randrange(ZONES),
        rng.random() < 0.5,
        float(rng.choice([2, 4, 8])),
        float(rng.choice([0, 0, 2])),
        float(rng.choice([4, 8, 32])),
        set(rng.sample(range(IMAGES), rng.randrange(3))),
    )


def _random_request(rng: random.Random, job_index: int) -> PlacementRequest:
    pending = rng.randrange(1, 12)
    single_zone, spread_zones = rng.random() < 0.2, rng.random() < 0.2
    live_tasks = {}
    if (single_zone or spread_zones) and rng.random() < 0.5:
        live_tasks = {rng.randrange(ZONES): rng.randrange(1, 3)}
    return PlacementRequest(
        job_index,
        rng.randrange(2),
        pending + sum(live_tasks.values()),
        pending,
        float(rng.choice([1, 2, 3])),
        float(rng.choice([0, 0, 0, 1])),
        float(rng.choice([1, 3, 6])),
        rng.randrange(IMAGES),
        frozenset(rng.sample(range(TYPES), 2)) if rng.random() < 0.3 else None,
        rng.randrange(ZONES) if rng.random() < 0.2 else None,
        rng.random() < 0.8,
        single_zone,
        spread_zones,
        JobOccupancy(live_tasks),
        frozenset({0}) if rng.random() < 0.1 else frozenset(),
        not live_tasks and rng.random() < 0.2,
    )


def task_placements(result: PlacementResult) -> list[tuple[int, int]]:
    """Job index and machine index of each task that was placed."""
    return [(placed.job_index, machine) for placed in result.placed for machine in placed.machines]


def reference_placement(
    requests: list[PlacementRequest], machines: list[MachineCapacity], quotas: list[QuotaHeadroom]
) -> list[tuple[int, int]]:
    """Place tasks one by one, comparing all machines. Returns the job and machine index of each."""
    placed: list[tuple[int, int]] = []
    for request in requests:
        quota = quotas[request.team]
        zone = None
        if request.single_zone:
            zone = _choose_zone(request, machines, quota)
            if zone is None:
                continue
        machines_before = [machine.copy() for machine in machines]
        quota_before = quota.cores, quota.accelerators
        task_machines = _place_tasks(request, machines, quota, zone)
        if request.all_or_nothing and len(task_machines) < request.pending:
            machines[:] = machines_before
            quota.cores, quota.accelerators = quota_before
        else:
            placed += [(request.job_index, machine_index) for machine_index in task_machines]
    return placed


def _choose_zone(
    request: PlacementRequest, machines: list[MachineCapacity], quota: QuotaHeadroom
) -> int | None:
    """The zone of a single-zone job: where its live tasks are, else where most of it fits."""
    if request.occupancy.zones:
        return next(iter(request.occupancy.zones))
    needed = min(request.pending, int(quota.cores / request.cores + TOLERANCE))
    if request.accelerators:
        needed = min(needed, int(quota.accelerators / request.accelerators + TOLERANCE))
    slots_by_zone: dict[int, int] = {}
    for machine in machines:
        if machine.allows(request) and machine.fits(request):
            slots = int(machine.cores / request.cores + TOLERANCE)
            slots_by_zone[machine.zone] = slots_by_zone.get(machine.zone, 0) + slots
    return min(
        slots_by_zone, key=lambda zone: (-min(slots_by_zone[zone], needed), zone), default=None
    )


def _place_tasks(
    request: PlacementRequest,
    machines: list[MachineCapacity],
    quota: QuotaHeadroom,
    zone: int | None,
) -> list[int]:
    """The machine index of each task placed; deducts its demand from machine and quota."""
    tasks_by_zone = dict(request.occupancy.zones)
    task_machines: list[int] = []
    for _ in range(request.pending):
        if (
            quota.cores + TOLERANCE < request.cores
            or quota.accelerators + TOLERANCE < request.accelerators
        ):
            break
        usable_machines = [
            machine
            for machine in machines
            if machine.allows(request)
            and machine.fits(request)
            and (zone is None or machine.zone == zone)
            and not (
                request.spread_zones
                and tasks_by_zone.get(machine.zone, 0) >= (request.task_count + 1) // 2
            )
        ]
        if not usable_machines:
            break
        best = min(usable_machines, key=lambda machine: _machine_rank(machine, request))
        best.cores -= request.cores
        best.accelerators -= request.accelerators
        best.ram_gb -= request.ram_gb
        best.images.add(request.image)
        quota.cores -= request.cores
        quota.accelerators -= request.accelerators
        tasks_by_zone[best.zone] = tasks_by_zone.get(best.zone, 0) + 1
        task_machines.append(best.machine_index)
    return task_machines


def _machine_rank(
    machine: MachineCapacity, request: PlacementRequest
) -> tuple[bool, float, float, int]:
    """The order in which machines are preferred, written independently of the real placement."""
    return (
        request.image not in machine.images,
        -machine.cores,
        -machine.ram_gb,
        machine.machine_index,
    )
