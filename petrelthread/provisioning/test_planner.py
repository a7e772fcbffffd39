"""Provisioning plans."""

from __future__ import annotations

from petrelthread.provisioning import (
    Demand,
    Offer,
    OwnedMachine,
    Plan,
    ProvisioningOptions,
    make_plan,
)

SPOT = Offer(0, 0, True, 4.0, 0.0, 8.0, 0.1, 30.0)
ON_DEMAND = Offer(0, 0, False, 4.0, 0.0, 8.0, 0.3, 30.0)
LARGE_ON_DEMAND = Offer(1, 0, False, 64.0, 0.0, 256.0, 2.7, 30.0)
MAX_CALLS = 9


def demand(tasks: int, work_s: float, due_s: float = 1e6, spot: bool = True) -> Demand:
    return Demand(tasks, work_s, due_s, 2.0, 0.0, 3.0, None, None, spot)


def owned(
    count: int, spot: bool = True, idle_s: float | None = None, tasks: int = 1
) -> list[OwnedMachine]:
    price = 0.1 if spot else 0.3
    first = 0 if spot else 100
    return [
        OwnedMachine(first + n, 0, 0, spot, 4.0, 0.0, 8.0, price, idle_s, tasks)
        for n in range(count)
    ]


def plan_for(
    demands: list[Demand],
    machines: list[OwnedMachine],
    offers: list[Offer],
    reserve_cores: float = 0.0,
    max_calls: int = MAX_CALLS,
    service_reserve_cores: float = 0.0,
) -> Plan:
    options = ProvisioningOptions()
    return make_plan(
        demands, machines, offers, reserve_cores, options, max_calls, service_reserve_cores
    )


def machines_in(plan: Plan) -> int:
    """Machines in all scale-outs of the plan."""
    return sum(request.machine_count for request in plan.scale_outs)


def test_small_backlog_scales_out_spot_only() -> None:
    plan = plan_for([demand(10, 200.0)], [], [ON_DEMAND, SPOT])
    assert [(r.spot, r.machine_count) for r in plan.scale_outs] == [(True, 4)]


def test_backlog_due_soon_scales_out_on_demand_when_spot_is_not_offered() -> None:
    soon = plan_for([demand(100, 2000.0, due_s=100.0)], [], [ON_DEMAND])
    assert soon.scale_outs
    later = plan_for([demand(100, 2000.0, due_s=2000.0)], [], [ON_DEMAND])
    assert machines_in(later) < machines_in(soon)


def test_best_effort_work_gets_on_demand_machines_only_without_enough_spot_machines() -> None:
    best_effort = demand(1600, 480_000.0)._replace(cores=1.0, ram_gb=1.8, best_effort=True)
    spot = owned(300)
    assert not plan_for([best_effort], spot, [ON_DEMAND]).scale_outs
    assert plan_for([best_effort._replace(best_effort=False)], spot, [ON_DEMAND]).scale_outs
    # Without any spot machine, it gets on-demand machines.
    filled = ON_DEMAND._replace(last_filled=True)
    assert 100 <= machines_in(plan_for([best_effort], [], [filled], max_calls=99)) <= 250
    # Work with a deadline beside it gets on-demand machines.
    urgent = demand(100, 2000.0, due_s=100.0)
    assert plan_for([urgent, best_effort], [], [ON_DEMAND]).scale_outs


def test_on_demand_is_requested_only_after_spot_offer_falls_short() -> None:
    """The limit of 50 machines per call is no reason to request a more expensive offer."""
    backlog = [demand(700, 14000.0, due_s=100.0)]
    first = plan_for(backlog, [], [ON_DEMAND, SPOT], max_calls=8)
    assert [(r.spot, r.machine_count) for r in first.scale_outs] == [(True, 50)]
    filled = SPOT._replace(last_filled=True)
    after_filled = plan_for(backlog, owned(50), [ON_DEMAND, filled], max_calls=8)
    assert {r.spot for r in after_filled.scale_outs} == {True}
    assert machines_in(after_filled) == 234 - 50
    assert max(r.machine_count for r in after_filled.scale_outs) == 50
    after_refusal = plan_for(backlog, owned(50), [ON_DEMAND], max_calls=8)
    assert any(not r.spot for r in after_refusal.scale_outs)


def test_untried_spot_offers_are_requested_together() -> None:
    """If tried one after the other, the last offer would be requested several calls later."""
    untried = [SPOT._replace(zone=zone, tried=False) for zone in range(3)]
    plan = plan_for([demand(150, 4500.0)], [], untried)
    assert [(r.zone, r.machine_count) for r in plan.scale_outs] == [(0, 50), (1, 50), (2, 25)]
    tried = [offer._replace(tried=True) for offer in untried]
    plan = plan_for([demand(150, 4500.0)], [], tried)
    assert [(r.zone, r.machine_count) for r in plan.scale_outs] == [(0, 50), (1, 25)]


def test_large_on_demand_machine_is_scaled_out_only_if_half_of_its_cores_are_needed() -> None:
    few = plan_for([demand(10, 400.0, 60.0)], [], [LARGE_ON_DEMAND])
    assert not few.scale_outs
    many = plan_for([demand(100, 4000.0, 60.0)], [], [LARGE_ON_DEMAND])
    assert many.scale_outs


def test_on_demand_machine_of_job_that_excludes_spot_is_not_cordoned() -> None:
    """Cheaper spot machines must not make it surplus, since the job could not run on them."""
    machines = owned(5) + owned(1, spot=False)
    plan = plan_for([demand(10, 50.0), demand(2, 10.0, spot=False)], machines, [])
    assert 100 not in plan.cordoned


def test_idle_surplus_is_scaled_in_except_reserve() -> None:
    idle = plan_for([], owned(5, idle_s=60.0, tasks=0), [], reserve_cores=8.0)
    assert len(idle.scale_ins) == 3
    busy = plan_for([demand(4, 20.0)], owned(2) + owned(2, spot=False), [])
    assert busy.cordoned == {100, 101}
    assert not busy.scale_ins


def test_only_jobs_with_pending_tasks_keep_machines_schedulable() -> None:
    with_pending, ending = demand(8, 400.0), demand(20, 400.0)._replace(has_pending=False)
    machines = [
        machine._replace(tasks=2 if n < 6 else 1, occupied_cores=2.0 if n < 15 else 4.0)
        for n, machine in enumerate(owned(20))
    ]
    plan = plan_for([with_pending, ending], machines, [SPOT])
    assert not plan.scale_outs  # cordoned machines still count as capacity
    assert plan.cordoned == set(range(8, 20))  # 8 machines with 2 free cores each fit 8 tasks
    # While pending tasks exceed the free cores, every machine accepts new tasks.
    mostly_full = [m._replace(occupied_cores=4.0) if m.machine_index % 2 else m for m in machines]
    assert not plan_for([demand(90, 4000.0), ending], mostly_full, []).cordoned
    without_pending = plan_for([ending], machines, [SPOT])
    assert without_pending.cordoned == set(range(20))
    assert not without_pending.scale_ins  # none of them is idle


def test_replicas_get_on_demand_machines_and_keep_them() -> None:
    replicas = Demand(8, 0.0, 0.0, 1.0, 0.0, 1.6, None, None, False, permanent=True)
    first = plan_for([replicas], [], [ON_DEMAND, SPOT], service_reserve_cores=4.0)
    # 8 cores and 4 in reserve
    assert [(r.spot, r.machine_count) for r in first.scale_outs] == [(False, 3)]
    # Machines with replicas are kept; idle ones beyond the reserve are scaled in.
    busy = [m._replace(replicas=4) for m in owned(2, spot=False)]
    idle = [
        m._replace(machine_index=m.machine_index + 50)
        for m in owned(3, spot=False, idle_s=99.0, tasks=0)
    ]
    later = plan_for([replicas], [*idle, *busy], [ON_DEMAND], service_reserve_cores=4.0)
    assert not later.scale_outs
    assert not later.cordoned & {m.machine_index for m in busy}
    assert len(later.scale_ins) == 2
