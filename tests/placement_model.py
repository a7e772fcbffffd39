"""A slow plain model of placement, and random cases for it."""

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
    """Requests, free machines and quotas by team."""

    requests: list[PlacementRequest]
    machines: list[MachineCapacity]
    quotas: list[QuotaHeadroom]


def random_case(seed: int) -> RandomCase:
    """A small case; the same for the same seed."""
    draw = random.Random(seed)
    machines = [
        _random_machine(draw, machine_index) for machine_index in range(draw.randrange(1, 12))
    ]
    requests = [_random_request(draw, job_index) for job_index in range(draw.randrange(1, 8))]
    quotas = [QuotaHeadroom(float(draw.choice([4, 10, 40])), 3.0) for _ in range(2)]
    return RandomCase(requests, machines, quotas)


def _random_machine(draw: random.Random, machine_index: int) -> MachineCapacity:
    return MachineCapacity(
        machine_index,
        draw.randrange(TYPES),
        draw.randrange(ZONES),
        draw.random() < 0.5,
        float(draw.choice([2, 4, 8])),
        float(draw.choice([0, 0, 2])),
        float(draw.choice([4, 8, 32])),
        set(draw.sample(range(IMAGES), draw.randrange(3))),
    )


def _random_request(draw: random.Random, job_index: int) -> PlacementRequest:
    pending = draw.randrange(1, 12)
    single_zone, spread_zones = draw.random() < 0.2, draw.random() < 0.2
    live = {}
    if (single_zone or spread_zones) and draw.random() < 0.5:
        live = {draw.randrange(ZONES): draw.randrange(1, 3)}
    return PlacementRequest(
        job_index,
        draw.randrange(2),
        pending + sum(live.values()),
        pending,
        float(draw.choice([1, 2, 3])),
        float(draw.choice([0, 0, 0, 1])),
        float(draw.choice([1, 3, 6])),
        draw.randrange(IMAGES),
        frozenset(draw.sample(range(TYPES), 2)) if draw.random() < 0.3 else None,
        draw.randrange(ZONES) if draw.random() < 0.2 else None,
        draw.random() < 0.8,
        single_zone,
        spread_zones,
        JobOccupancy(live),
        frozenset({0}) if draw.random() < 0.1 else frozenset(),
        not live and draw.random() < 0.2,
    )


def task_placements(result: PlacementResult) -> list[tuple[int, int]]:
    """Job and machine of each task that was placed."""
    return [(placed.job_index, machine) for placed in result.placed for machine in placed.machines]


def model(
    requests: list[PlacementRequest], machines: list[MachineCapacity], quotas: list[QuotaHeadroom]
) -> list[tuple[int, int]]:
    """Job and machine of each task, placed one by one with a look at every machine each time."""
    placed: list[tuple[int, int]] = []
    for request in requests:
        quota = quotas[request.team]
        zone = None
        if request.single_zone:
            zone = _model_zone(request, machines, quota)
            if zone is None:
                continue
        machines_before = [machine.copy() for machine in machines]
        quota_before = quota.cores, quota.accelerators
        chosen = _model_tasks(request, machines, quota, zone)
        if request.all_or_nothing and len(chosen) < request.pending:
            machines[:] = machines_before
            quota.cores, quota.accelerators = quota_before
        else:
            placed += [(request.job_index, machine_index) for machine_index in chosen]
    return placed


def _model_zone(
    request: PlacementRequest, machines: list[MachineCapacity], quota: QuotaHeadroom
) -> int | None:
    """The zone of a single-zone job: where its tasks are, else where most of them fit."""
    if request.occupancy.zones:
        return next(iter(request.occupancy.zones))
    wanted = min(request.pending, int(quota.cores / request.cores + TOLERANCE))
    if request.accelerators:
        wanted = min(wanted, int(quota.accelerators / request.accelerators + TOLERANCE))
    fitting: dict[int, int] = {}
    for machine in machines:
        if machine.allows(request) and machine.fits(request):
            count = int(machine.cores / request.cores + TOLERANCE)
            fitting[machine.zone] = fitting.get(machine.zone, 0) + count
    return min(fitting, key=lambda zone: (-min(fitting[zone], wanted), zone), default=None)


def _model_tasks(
    request: PlacementRequest,
    machines: list[MachineCapacity],
    quota: QuotaHeadroom,
    zone: int | None,
) -> list[int]:
    """The machine of each task that is placed; takes what the tasks need."""
    tasks_by_zone = dict(request.occupancy.zones)
    chosen: list[int] = []
    for _ in range(request.pending):
        if (
            quota.cores + TOLERANCE < request.cores
            or quota.accelerators + TOLERANCE < request.accelerators
        ):
            break
        open_machines = [
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
        if not open_machines:
            break
        best = min(open_machines, key=lambda machine: _model_key(machine, request))
        best.cores -= request.cores
        best.accelerators -= request.accelerators
        best.ram_gb -= request.ram_gb
        best.images.add(request.image)
        quota.cores -= request.cores
        quota.accelerators -= request.accelerators
        tasks_by_zone[best.zone] = tasks_by_zone.get(best.zone, 0) + 1
        chosen.append(best.machine_index)
    return chosen


def _model_key(
    machine: MachineCapacity, request: PlacementRequest
) -> tuple[bool, float, float, int]:
    """The machine rule, written out independently of the real placement."""
    return (
        request.image not in machine.images,
        -machine.cores,
        -machine.ram_gb,
        machine.machine_index,
    )
