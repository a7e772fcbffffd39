"""The real placement compared with a slow plain model over seeded random cases."""

from __future__ import annotations

import random

import pytest

from petrelthread.scheduling import (
    PlacementRequest,
    QueueEntry,
    QuotaHeadroom,
    RoomIndex,
    Slot,
    order_jobs,
    place_requests,
)
from petrelthread.scheduling.occupancy import JobOccupancy

TYPES, ZONES, IMAGES = 3, 3, 4


def random_case(seed: int) -> tuple[list[PlacementRequest], list[Slot], list[QuotaHeadroom]]:
    r = random.Random(seed)
    slots = [
        Slot(
            machine,
            r.randrange(TYPES),
            r.randrange(ZONES),
            r.random() < 0.5,
            float(r.choice([2, 4, 8])),
            float(r.choice([0, 0, 2])),
            float(r.choice([4, 8, 32])),
            set(r.sample(range(IMAGES), r.randrange(3))),
        )
        for machine in range(r.randrange(1, 12))
    ]
    requests = []
    for job in range(r.randrange(1, 8)):
        pending = r.randrange(1, 12)
        single_zone, spread_zones = r.random() < 0.2, r.random() < 0.2
        live = {}
        if (single_zone or spread_zones) and r.random() < 0.5:
            live = {r.randrange(ZONES): r.randrange(1, 3)}
        requests.append(
            PlacementRequest(
                job,
                r.randrange(2),
                pending + sum(live.values()),
                pending,
                float(r.choice([1, 2, 3])),
                float(r.choice([0, 0, 0, 1])),
                float(r.choice([1, 3, 6])),
                r.randrange(IMAGES),
                frozenset(r.sample(range(TYPES), 2)) if r.random() < 0.3 else None,
                r.randrange(ZONES) if r.random() < 0.2 else None,
                r.random() < 0.8,
                single_zone,
                spread_zones,
                JobOccupancy(live),
                frozenset({0}) if r.random() < 0.1 else frozenset(),
                not live and r.random() < 0.2,
            )
        )
    return requests, slots, [QuotaHeadroom(float(r.choice([4, 10, 40])), 3.0) for _ in range(2)]


def model(
    requests: list[PlacementRequest], slots: list[Slot], teams: list[QuotaHeadroom]
) -> list[tuple[int, int]]:
    """Task by task, looking at every machine each time."""
    placed: list[tuple[int, int]] = []
    for request in requests:
        zones = dict(request.occupancy.zones)
        chosen = None
        if request.single_zone:
            if zones:
                chosen = next(iter(zones))
            else:
                team = teams[request.team]
                most = min(request.pending, int(team.cores / request.cores + 1e-6))
                if request.accelerators:
                    most = min(most, int(team.accelerators / request.accelerators + 1e-6))
                room: dict[int, int] = {}
                for s in slots:
                    if s.allowed(request) and s.fits(request):
                        room[s.zone] = room.get(s.zone, 0) + int(s.cores / request.cores + 1e-6)
                if not room:
                    continue
                chosen = min(room, key=lambda z: (-min(room[z], most), z))
        saved = [s.copy() for s in slots], [(t.cores, t.accelerators) for t in teams]
        count = len(placed)
        for _ in range(request.pending):
            team = teams[request.team]
            if team.cores + 1e-6 < request.cores or team.accelerators + 1e-6 < request.accelerators:
                break
            best = None
            for s in slots:
                if not s.allowed(request) or not s.fits(request):
                    continue
                if chosen is not None and s.zone != chosen:
                    continue
                if request.spread_zones and zones.get(s.zone, 0) >= (request.tasks + 1) // 2:
                    continue
                key = (request.image not in s.images, -s.cores, -s.ram_gb, s.machine)
                if best is None or key < best[0]:
                    best = (key, s)
            if best is None:
                break
            slot = best[1]
            slot.cores -= request.cores
            slot.accelerators -= request.accelerators
            slot.ram_gb -= request.ram_gb
            slot.images.add(request.image)
            team.cores -= request.cores
            team.accelerators -= request.accelerators
            zones[slot.zone] = zones.get(slot.zone, 0) + 1
            placed.append((request.job, slot.machine))
        if request.all_or_nothing and len(placed) - count < request.pending:
            del placed[count:]
            slots[:] = saved[0]
            for t, (cores, accelerators) in zip(teams, saved[1], strict=True):
                t.cores, t.accelerators = cores, accelerators
    return placed


@pytest.mark.parametrize("block", range(10))
def test_placement_is_the_models(block: int) -> None:
    some = 0
    for seed in range(block * 200, block * 200 + 200):
        expected = model(*random_case(seed))
        requests, slots, teams = random_case(seed)
        got = place_requests(requests, RoomIndex(slots), teams)
        assert got.next_start == 0
        assert sorted(got.placed) == sorted(expected), f"seed {seed}"
        some += bool(expected)
    assert some > 100  # the cases are not trivial


def test_a_round_out_of_time_goes_on_where_it_stopped() -> None:
    for seed in range(200):
        requests, slots, teams = random_case(seed)
        requests = [w for w in requests if w.spread_zones is False]
        if len(requests) < 2:
            continue
        first = place_requests(requests, RoomIndex(slots), teams, 0, lambda: True)
        assert {job for job, _ in first.placed} <= {requests[0].job}
        assert first.next_start == 1
        served = [
            job
            for job, _ in place_requests(requests, RoomIndex(slots), teams, 1, lambda: True).placed
        ]
        assert set(served) <= {requests[1].job}


def standing(
    job: int, team: int, rank: int, at: float, goals: list[float], path: float
) -> QueueEntry:
    return QueueEntry(job, team, rank, at, tuple(goals), path, 100.0, 0.0, begun=True)


def test_order_is_guarantee_then_rank_then_deadline() -> None:
    jobs = [
        standing(0, 0, 1, 10.0, [500.0], 5.0),
        standing(1, 1, 2, 11.0, [400.0], 5.0),
        standing(2, 2, 2, 12.0, [300.0], 5.0),
        standing(3, 3, 0, 13.0, [], 5.0)._replace(cores_asked=4.0),  # lowest rank, but guaranteed
        standing(4, 4, 2, 1.0, [600.0], 350.0),  # long: has to begin by 250
        standing(5, 5, 2, 1.0, [30.0], 90.0),  # late anyway
    ]
    jobs[0] = jobs[0]._replace(work_s=2000.0)  # 200 s until all is done
    got = order_jobs(jobs, [(8.0, 0.0)] * 6, 20.0, 10.0)
    assert [turn.job for turn in got] == [3, 4, 2, 1, 5, 0]
    assert [turn.guaranteed for turn in got] == [True] + [False] * 5


def test_a_late_job_longer_than_the_backlog_goes_on_meanwhile() -> None:
    # Two jobs of 700 tasks, held back by their teams' limits, were served last and went on alone
    # for 200 s after all else was done, on machines that were nearly empty.
    jobs = [
        standing(0, 0, 1, 0.0, [300.0], 5.0)._replace(work_s=1000.0, begun=True),
        standing(1, 1, 1, 0.0, [100.0], 216.0)._replace(work_s=500.0, begun=True),
        standing(2, 2, 1, 0.0, [50.0], 90.0)._replace(work_s=500.0, begun=True),
        standing(3, 3, 1, 0.0, [80.0], 20.0)._replace(begun=True),  # has to begin within 40 s
    ]
    got = order_jobs(jobs, [(8.0, 0.0)] * 4, 20.0, 10.0)  # all done in 200 s
    assert [turn.job for turn in got] == [3, 1, 0, 2]


def test_the_longest_of_a_team_gives_way_and_gets_its_next_goal() -> None:
    jobs = [
        standing(0, 0, 1, 0.0, [100.0, 200.0], 80.0),
        standing(1, 0, 1, 1.0, [101.0, 201.0], 40.0),
        standing(2, 0, 1, 2.0, [102.0, 202.0], 50.0),
    ]
    got = order_jobs(jobs, [(0.0, 0.0)], 0.0)
    assert {turn.job: turn.due_at for turn in got} == {0: 200.0, 1: 101.0, 2: 102.0}
    assert [turn.job for turn in got] == [2, 1, 0]  # 0 before 1 would make 1 late


def test_guarantee_counts_the_teams_earlier_jobs() -> None:
    jobs = [
        standing(0, 0, 1, 1.0, [], 1.0)._replace(cores_asked=6.0),
        standing(1, 0, 1, 2.0, [], 1.0)._replace(cores_asked=4.0),  # not along with the first
        standing(2, 0, 1, 3.0, [], 1.0)._replace(cores_asked=2.0),
    ]
    got = {turn.job: turn.guaranteed for turn in order_jobs(jobs, [(8.0, 0.0)], 0.0)}
    assert got == {0: True, 1: False, 2: True}


@pytest.mark.parametrize("spread_zones", [False, True])
def test_replicas_go_where_the_fewest_of_their_job_are(spread_zones: bool) -> None:
    """By the machine rule alone all went to the one machine that cached their image."""
    slots = [Slot(n, 0, n % 2, False, 16.0, 0.0, 64.0, {0} if n == 0 else set()) for n in range(4)]
    occupancy = JobOccupancy({0: 1}, {0: 1})
    request = PlacementRequest(
        0, 0, 5, 4, 1.0, 0.0, 1.0, 0, None, None, False, False, spread_zones, occupancy
    )._replace(spread_machines=True)
    got = place_requests([request], RoomIndex(slots), [QuotaHeadroom(99.0, 0.0)]).placed
    assert len(got) == 4
    on = dict.fromkeys(range(4), 0) | {0: 1}
    zones = {0: 1, 1: 0}
    for _, machine in got:
        least = min(
            (zones[n % 2] if spread_zones else 0, on[n])
            for n in range(4)
            if not spread_zones or zones[n % 2] < 3
        )
        assert (zones[machine % 2] if spread_zones else 0, on[machine]) == least
        on[machine] += 1
        zones[machine % 2] += 1
    assert max(on.values()) == 2
