"""Replicas and victims are chosen as if all machines were compared again for each replica."""

from __future__ import annotations

import random

import pytest

from petrelthread.scheduling import MachineCapacity, PlacementRequest
from petrelthread.scheduling.bin_packing import place_requests
from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.occupancy import JobOccupancy, spread_limit
from petrelthread.scheduling.preemption_rules import CapacityShortfall, Victim
from petrelthread.scheduling.quota import QuotaHeadroom
from petrelthread.scheduling.replica_preemption import ReplicaVictimSelector
from petrelthread.scheduling.victim_selection import select_victims_on, victims_by_machine

ZONES = 3
IMAGES = 3
TEAMS = 3
PRIORITIES = 4


def draw_machines(draw: random.Random) -> dict[int, MachineCapacity]:
    return {
        index: MachineCapacity(
            index,
            0,
            draw.randrange(ZONES),
            draw.random() < 0.5,
            float(draw.choice([0, 1, 2, 4])),
            0.0,
            float(draw.choice([4, 8])),
            set(draw.sample(range(IMAGES), draw.randrange(IMAGES))),
        )
        for index in range(draw.randrange(1, 12))
    }


def draw_service(draw: random.Random, machines: dict[int, MachineCapacity]) -> PlacementRequest:
    replicas = draw.randrange(1, 15)
    occupancy = JobOccupancy()
    for _ in range(draw.randrange(3)):
        machine = draw.choice(list(machines.values()))
        occupancy.add(machine.zone, machine.machine_index)
    return PlacementRequest(
        0,
        0,
        replicas + sum(occupancy.zones.values()),
        replicas,
        draw.choice([0.5, 1.0, 2.0]),
        0.0,
        1.0,
        draw.randrange(IMAGES),
        None,
        None,
        draw.random() < 0.7,
        False,
        draw.random() < 0.5,
        occupancy,
        spread_machines=True,
    )


def may_use(machine: MachineCapacity, request: PlacementRequest) -> bool:
    """Whether the job may use the machine, and its zone may have one more replica."""
    in_zone = request.occupancy.zones.get(machine.zone, 0)
    is_full = request.spread_zones and in_zone >= spread_limit(request.task_count)
    return machine.allows(request) and not is_full


def replica_counts(machine: MachineCapacity, request: PlacementRequest) -> tuple[int, int]:
    """Replicas in the machine's zone, if that counts, and on the machine."""
    in_zone = request.occupancy.zones.get(machine.zone, 0) if request.spread_zones else 0
    return in_zone, request.occupancy.machines.get(machine.machine_index, 0)


def place_by_comparing_all(
    machines: dict[int, MachineCapacity], request: PlacementRequest
) -> list[int]:
    placed: list[int] = []
    while len(placed) < request.pending:
        fitting = [m for m in machines.values() if may_use(m, request) and m.fits(request)]
        if not fitting:
            break
        best = min(fitting, key=lambda m: (replica_counts(m, request), m.placement_key(request)))
        best.take(request)
        request.occupancy.add(best.zone, best.machine_index)
        placed.append(best.machine_index)
    return placed


@pytest.mark.parametrize("seed", range(200))
def test_replicas_are_placed_as_by_comparing_all_machines(seed: int) -> None:
    draw = random.Random(seed)
    machines = draw_machines(draw)
    request = draw_service(draw, machines)
    copies = {index: machine.copy() for index, machine in machines.items()}
    expected = place_by_comparing_all(copies, request._replace(occupancy=request.occupancy.copy()))
    index = CapacityIndex(machines.values())
    result = place_requests([request], index, [QuotaHeadroom(1e6, 0.0)])
    assert [machine for _, placed in result.placed for machine in placed] == expected


def select_by_comparing_all(
    machines: dict[int, MachineCapacity],
    victims: list[Victim],
    over_guarantee: list[float],
    shortfall: CapacityShortfall,
) -> list[Victim]:
    request, selected = shortfall.request, []
    by_machine = victims_by_machine(victims)
    for _ in range(shortfall.missing):
        candidates = []
        for index, machine in machines.items():
            if may_use(machine, request):
                found = select_victims_on(
                    machine, shortfall, by_machine.get(index, ()), over_guarantee
                )
                if found is not None:
                    fetches_image = request.image not in machine.images
                    cost_s = sum(victim.cost_s for victim in found)
                    counts = replica_counts(machine, request)
                    candidates.append((counts, fetches_image, cost_s, index, found))
        if not candidates:
            break
        *_, index, found = min(candidates)
        for victim in found:
            by_machine[index].remove(victim)
            over_guarantee[victim.team] -= victim.cores
            machines[index].release(victim.cores, victim.accelerators, victim.ram_gb)
        machines[index].take(request)
        request.occupancy.add(machines[index].zone, index)
        selected += found
    return selected


@pytest.mark.parametrize("seed", range(200))
def test_victims_are_selected_as_by_comparing_all_machines(seed: int) -> None:
    draw = random.Random(seed)
    machines = draw_machines(draw)
    request = draw_service(draw, machines)
    victims = [
        Victim(
            1 + task % 5,
            task,
            draw.randrange(1, TEAMS),
            draw.randrange(PRIORITIES),
            draw.choice(list(machines)),
            draw.choice([0.5, 1.0, 2.0]),
            0.0,
            1.0,
            draw.uniform(0.0, 100.0),
        )
        for task in range(draw.randrange(30))
    ]
    # Tasks of a higher priority are preempted only within a guarantee. What their teams have left
    # beyond their own guarantee then changes with each choice; only the tasks' number is compared.
    guaranteed = seed % 2 == 0
    over_guarantee = [draw.choice([0.0, 2.0, 50.0]) for _ in range(TEAMS)]
    shortfall = CapacityShortfall(request, draw.randrange(PRIORITIES), guaranteed, request.pending)
    model_request = request._replace(occupancy=request.occupancy.copy())
    expected = select_by_comparing_all(
        {index: machine.copy() for index, machine in machines.items()},
        victims,
        over_guarantee.copy(),
        shortfall._replace(request=model_request),
    )
    selected = ReplicaVictimSelector(machines, victims, over_guarantee).select_victims(shortfall)
    if guaranteed:
        assert len(selected) == len(expected)
    else:
        assert selected == expected
