"""Free capacity equals a full recomputation, and a placement examines few machines."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

import pytest

from petrelthread import protocol
from petrelthread.fleet import Health
from petrelthread.scheduling import (
    MachineCapacity,
    PlacementRequest,
    QuotaHeadroom,
)
from petrelthread.scheduling.bin_packing import place_requests
from petrelthread.scheduling.capacity_index import CapacityIndex
from petrelthread.scheduling.free_capacity import FreeCapacity
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.state import Attempt
from tests.placement_model import random_placement_case, reference_placement, task_placements
from tests.scheduling_cluster import ZONES, Cluster, cluster_test, now
from tests.simulation import job_spec


class CapacitySnapshot(NamedTuple):
    """A copy of a machine's free capacity that supports ``==``."""

    machine_type: int
    zone: int
    spot: bool
    cores: float
    accelerators: float
    ram_gb: float
    images: frozenset[int]


def snapshot_of(machine: MachineCapacity) -> CapacitySnapshot:
    return CapacitySnapshot(
        machine.machine_type,
        machine.zone,
        machine.spot,
        machine.cores,
        machine.accelerators,
        machine.ram_gb,
        frozenset(machine.images),
    )


def recomputed_capacity(
    cluster: Cluster,
) -> tuple[dict[int, CapacitySnapshot], dict[int, CapacitySnapshot]]:
    """Usable and cordoned spot capacity, recomputed from the attempts on every machine."""
    usable: dict[int, CapacitySnapshot] = {}
    cordoned_spot: dict[int, CapacitySnapshot] = {}
    for machine in cluster.fleet.machines.values():
        machine_type = cluster.machine_types.get(machine.machine_type)
        if machine_type is None or not cluster.fleet.is_schedulable(machine):
            continue
        live = [a for a in cluster.fleet.attempts_on(machine).values() if not a.has_exited]
        snapshot = CapacitySnapshot(
            machine.machine_type,
            machine.zone,
            machine.spot,
            machine_type.cores - sum(a.job.cores for a in live),
            machine_type.accelerators - sum(a.job.accelerators for a in live),
            machine_type.ram_gb - sum(a.job.ram_gb for a in live),
            frozenset({*machine.images, *(a.job.image for a in live)}),
        )
        if not machine.cordoned:
            usable[machine.index] = snapshot
        elif machine.spot:
            cordoned_spot[machine.index] = snapshot
    return usable, cordoned_spot


class RandomChanges:
    """Random changes of everything in the cluster that determines free capacity."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.random = random.Random(seed)
        self.jobs = [
            cluster.add_job(job_spec(f"wk-{n:06d}", 400, cores=0.5, image=f"img-{n}", team="guest"))
            for n in range(6)
        ]
        self.attempts: list[Attempt] = []
        self.machine_count = 0

    def change(self) -> None:
        """Apply one random change."""
        actions = [
            self.scale_out,
            self.start_attempt,
            self.start_attempt,
            self.end_attempt,
            self.change_schedulability,
            self.change_images,
            self.begin_epoch,
        ]
        self.random.choice(actions)()

    def scale_out(self) -> None:
        if self.machine_count < 40:
            self.machine_count += 1
            machine = self.cluster.add_machine(self.machine_count, self.random.choice(ZONES))
            machine.spot = self.random.random() < 0.5

    def start_attempt(self) -> None:
        if not self.cluster.fleet.machines:
            return
        chosen = self.random.choice(self.jobs)
        task = next(chosen.pending_tasks(), None)
        machine = self.random.choice(list(self.cluster.fleet.machines.values()))
        if task is not None:
            number = self.cluster.scheduler.next_record_number()
            add = self.cluster.cluster_state.add_attempt
            self.attempts.append(add(number, chosen, task, machine.index, 1))

    def end_attempt(self) -> None:
        if not self.attempts:
            return
        attempt = self.attempts.pop(self.random.randrange(len(self.attempts)))
        if self.random.random() < 0.5:
            self.cluster.cluster_state.set_reported_state(attempt, protocol.TaskState.EXITED)
        if self.random.random() < 0.8:
            self.cluster.cluster_state.release(attempt)

    def change_schedulability(self) -> None:
        """Change one of the machine fields that determine whether it is schedulable."""
        if not self.cluster.fleet.machines:
            return
        epoch = self.cluster.fleet.epoch
        machine = self.random.choice(list(self.cluster.fleet.machines.values()))
        match self.random.randrange(6):
            case 0:
                machine.cordoned = not machine.cordoned
            case 1:
                machine.quarantine_reason = "" if machine.quarantine_reason else "listed as failed"
            case 2:
                machine.partition_reason = "" if machine.partition_reason else "it does not hear us"
            case 3:
                machine.transition(
                    Health.UNRESPONSIVE if machine.health is Health.UP else Health.UP
                )
            case 4:
                machine.acknowledged_epoch = epoch if self.random.random() < 0.7 else epoch - 1
            case 5:
                machine.acknowledged_epoch = epoch - 1
                machine.scale_out_key = self.random.choice(["", f"c/{epoch}-1", f"c/{epoch - 1}-1"])

    def change_images(self) -> None:
        if self.cluster.fleet.machines:
            machine = self.random.choice(list(self.cluster.fleet.machines.values()))
            if self.random.random() < 0.1:
                machine.clear_images()
            else:
                machine.use_image(self.random.randrange(9), 3.0, 10.0)

    def begin_epoch(self) -> None:
        """Start a new epoch in 3 % of calls; unrecorded machines, a third of all, are dropped."""
        if self.random.random() < 0.03:
            keep = [m.name for m in self.cluster.fleet.machines.values() if m.index % 3]
            self.cluster.fleet.begin_leadership(self.cluster.fleet.epoch + 1, now(), keep)
            for machine in self.cluster.fleet.machines.values():
                machine.acknowledged_epoch = self.cluster.fleet.epoch


@pytest.mark.parametrize("seed", range(5))
@cluster_test
def test_refresh_equals_recomputation_after_random_changes(cluster: Cluster, seed: int) -> None:
    changes = RandomChanges(cluster, seed)
    free = FreeCapacity(cluster.cluster_state, cluster.fleet, lambda: cluster.machine_types)
    compared = 0
    for step in range(2000):
        changes.change()
        if step % 3 == 0:  # a refresh covers several changes
            free.refresh()
            usable, cordoned_spot = recomputed_capacity(cluster)
            assert free.cores() == sum(
                cluster.machine_types[m.machine_type].cores
                for m in cluster.fleet.machines.values()
                if m.accepts_work or m.health is Health.BOOTING
            )
            for index, expected in ((free.usable, usable), (free.cordoned_spot, cordoned_spot)):
                got = {m: snapshot_of(machine) for m, machine in index.machines.items()}
                assert got == expected
                compared += len(expected)
    assert compared > 3000


@pytest.mark.parametrize("seed", range(100))
def test_rolled_back_gang_does_not_change_later_placements(seed: int) -> None:
    """Placement after the rollback of a gang that can't be placed equals the reference's."""
    requests, machines, quotas = random_placement_case(seed)
    expected = reference_placement(*random_placement_case(seed))
    index = CapacityIndex(machines)
    gang = requests[0]._replace(
        all_or_nothing=True, pending=10_000, occupancy=JobOccupancy(), spread_zones=False
    )
    assert place_requests([gang], index, [QuotaHeadroom(1e9, 1e9)] * 2).placed == []
    assert sorted(task_placements(place_requests(requests, index, quotas))) == sorted(expected)


def index_of_machines(machines: int, full_share: float, cached_share: float) -> CapacityIndex:
    rng = random.Random(machines)
    return CapacityIndex(
        MachineCapacity(
            n,
            0,
            0,
            True,
            0.0 if rng.random() < full_share else 4.0,
            0.0,
            8.0,
            {0} if rng.random() < cached_share else set(),
        )
        for n in range(machines)
    )


def one_task(**overrides: Any) -> PlacementRequest:
    request = PlacementRequest(
        0, 0, 1, 1, 2.0, 0.0, 2.0, 0, None, None, True, False, False, JobOccupancy()
    )
    return request._replace(**overrides)


@pytest.mark.parametrize("full_share", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("cached_share", [0.0, 0.001, 0.05, 0.5, 1.0])
@pytest.mark.parametrize(
    "overrides", [{}, {"single_zone": True}, {"spread_machines": True}, {"spread_zones": True}]
)
def test_placing_one_task_examines_few_machines(
    full_share: float, cached_share: float, overrides: dict[str, object]
) -> None:
    """Counts examined machines, because a count is deterministic and a duration is not."""
    index = index_of_machines(8000, full_share, cached_share)
    place_requests([one_task(**overrides)], index, [QuotaHeadroom(99.0, 0.0)])
    assert index.examined_count <= 100
