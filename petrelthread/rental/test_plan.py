"""The rental decision."""

from __future__ import annotations

from petrelthread.rental import Demand, Offer, Options, Owned, Refusals, plan

SPOT = Offer(0, 0, True, 4.0, 0.0, 8.0, 0.1, 30.0)
DEAR = Offer(0, 0, False, 4.0, 0.0, 8.0, 0.3, 30.0)
BIG_DEAR = Offer(1, 0, False, 64.0, 0.0, 256.0, 2.7, 30.0)


def demand(tasks: int, work_s: float, due_s: float = 1e6, spot: bool = True) -> Demand:
    return Demand(tasks, work_s, due_s, 2.0, 0.0, 3.0, None, None, spot)


def owned(n: int, spot: bool = True, idle: float | None = None, tasks: int = 1) -> list[Owned]:
    price = 0.1 if spot else 0.3
    at = 0 if spot else 100
    return [Owned(at + i, 0, 0, spot, 4.0, 0.0, 8.0, price, idle, tasks) for i in range(n)]


def test_small_backlog_rents_spot_only() -> None:
    got = plan([demand(10, 200.0)], [], [DEAR, SPOT], 0.0, Options(), 9)
    assert [(r.spot, r.machines) for r in got.rents] == [(True, 4)]


def test_a_backlog_due_soon_rents_dear_ones_once_spot_is_refused() -> None:
    got = plan([demand(100, 2000.0, due_s=100.0)], [], [DEAR], 0.0, Options(), 9)
    assert got.rents
    later = plan([demand(100, 2000.0, due_s=2000.0)], [], [DEAR], 0.0, Options(), 9)
    assert sum(r.machines for r in later.rents) < sum(r.machines for r in got.rents)


def test_a_big_dear_machine_needs_half_its_cores_lacking() -> None:
    few = plan([demand(10, 400.0, 60.0)], [], [BIG_DEAR], 0.0, Options(), 9)
    assert not few.rents
    many = plan([demand(100, 4000.0, 60.0)], [], [BIG_DEAR], 0.0, Options(), 9)
    assert many.rents


def test_jobs_that_refuse_spot_get_and_keep_ordinary_machines() -> None:
    # Cheaper spot machines beside them must not make these surplus: the job would starve.
    machines = owned(5) + owned(1, spot=False)
    got = plan([demand(10, 50.0), demand(2, 10.0, spot=False)], machines, [], 0.0, Options(), 9)
    assert 100 not in got.retiring


def test_idle_surplus_goes_back_and_the_reserve_stays() -> None:
    got = plan([], owned(5, idle=60.0, tasks=0), [], 8.0, Options(), 9)
    assert len(got.returns) == 3
    busy = plan([demand(4, 20.0)], owned(2) + owned(2, spot=False), [], 0.0, Options(), 9)
    assert busy.retiring == {100, 101}
    assert not busy.returns


def test_refusals_back_off_and_end() -> None:
    refusals = Refusals()
    refusals.refused(0, 0, True, 0.0)
    assert not refusals.open(0, 0, True, 10.0)
    assert refusals.open(0, 0, False, 10.0)
    assert refusals.open(0, 0, True, 20.0)
    refusals.refused(0, 0, True, 20.0)
    assert not refusals.open(0, 0, True, 45.0)
