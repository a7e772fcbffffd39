"""The rental decision."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from petrelthread import protocol
from petrelthread.fleet import Health
from petrelthread.provisioning import (
    Demand,
    Offer,
    OfferBackoff,
    OwnedMachine,
    Plan,
    ProvisioningOptions,
    ScaleOutRequest,
    interleave,
    make_plan,
)
from petrelthread.store import TokenBucket
from tests.virtual import play
from tests.world import NODES, SMALL, World, job

SPOT = Offer(0, 0, True, 4.0, 0.0, 8.0, 0.1, 30.0)
DEAR = Offer(0, 0, False, 4.0, 0.0, 8.0, 0.3, 30.0)
BIG_DEAR = Offer(1, 0, False, 64.0, 0.0, 256.0, 2.7, 30.0)


def demand(tasks: int, work_s: float, due_s: float = 1e6, spot: bool = True) -> Demand:
    return Demand(tasks, work_s, due_s, 2.0, 0.0, 3.0, None, None, spot)


def owned(
    n: int, spot: bool = True, idle: float | None = None, tasks: int = 1
) -> list[OwnedMachine]:
    price = 0.1 if spot else 0.3
    at = 0 if spot else 100
    return [OwnedMachine(at + i, 0, 0, spot, 4.0, 0.0, 8.0, price, idle, tasks) for i in range(n)]


def test_small_backlog_rents_spot_only() -> None:
    got = make_plan([demand(10, 200.0)], [], [DEAR, SPOT], 0.0, ProvisioningOptions(), 9)
    assert [(r.spot, r.machines) for r in got.scale_outs] == [(True, 4)]


def test_a_backlog_due_soon_rents_dear_ones_once_spot_is_refused() -> None:
    got = make_plan([demand(100, 2000.0, due_s=100.0)], [], [DEAR], 0.0, ProvisioningOptions(), 9)
    assert got.scale_outs
    later = make_plan(
        [demand(100, 2000.0, due_s=2000.0)], [], [DEAR], 0.0, ProvisioningOptions(), 9
    )
    assert sum(r.machines for r in later.scale_outs) < sum(r.machines for r in got.scale_outs)


def test_work_without_goals_asks_for_dear_machines_only_as_the_last_resort() -> None:
    # 1,600 tasks of 300 s that a guest wished to run when idle brought 131 ordinary machines.
    idle = demand(1600, 480_000.0)._replace(cores=1.0, ram_gb=1.8, no_goal=True)
    spot = owned(300)
    assert not make_plan([idle], spot, [DEAR], 0.0, ProvisioningOptions(), 9).scale_outs
    assert make_plan(
        [idle._replace(no_goal=False)], spot, [DEAR], 0.0, ProvisioningOptions(), 9
    ).scale_outs
    # Without any spot machine it is served all the same, and with others' work theirs comes first.
    deep = DEAR._replace(last_filled=True)
    alone = sum(
        r.machines for r in make_plan([idle], [], [deep], 0.0, ProvisioningOptions(), 99).scale_outs
    )
    assert 100 <= alone <= 250
    urgent = demand(100, 2000.0, due_s=100.0)
    assert make_plan([urgent, idle], [], [DEAR], 0.0, ProvisioningOptions(), 9).scale_outs


def test_dear_machines_only_after_a_short_answer_of_the_cheap_offer() -> None:
    # A call gives 50 machines at most. The rest of a large backlog once went to ordinary machines
    # at three times the price, with 300 spot ones still to be had.
    late = [demand(700, 14000.0, due_s=100.0)]
    first = make_plan(late, [], [DEAR, SPOT], 0.0, ProvisioningOptions(), 8)
    assert [(r.spot, r.machines) for r in first.scale_outs] == [(True, 50)]
    deep = make_plan(
        late, owned(50), [DEAR, SPOT._replace(last_filled=True)], 0.0, ProvisioningOptions(), 8
    )
    assert {r.spot for r in deep.scale_outs} == {True}
    assert sum(r.machines for r in deep.scale_outs) == 234 - 50
    assert max(r.machines for r in deep.scale_outs) == 50
    short = make_plan(late, owned(50), [DEAR], 0.0, ProvisioningOptions(), 8)
    assert any(not r.spot for r in short.scale_outs)


def test_cheap_offers_never_asked_before_are_asked_together() -> None:
    # One after the other, each with what the one before had not given, they took the cloud's calls
    # of four seconds, and the machines that boot first were asked for last.
    offers = [SPOT._replace(zone=zone, tried=False) for zone in range(3)]
    got = make_plan([demand(150, 4500.0)], [], offers, 0.0, ProvisioningOptions(), 9)
    assert [(r.zone, r.machines) for r in got.scale_outs] == [(0, 50), (1, 50), (2, 25)]
    known = [offer._replace(tried=True) for offer in offers]
    got = make_plan([demand(150, 4500.0)], [], known, 0.0, ProvisioningOptions(), 9)
    assert [(r.zone, r.machines) for r in got.scale_outs] == [(0, 50), (1, 25)]


def test_a_big_dear_machine_needs_half_its_cores_lacking() -> None:
    few = make_plan([demand(10, 400.0, 60.0)], [], [BIG_DEAR], 0.0, ProvisioningOptions(), 9)
    assert not few.scale_outs
    many = make_plan([demand(100, 4000.0, 60.0)], [], [BIG_DEAR], 0.0, ProvisioningOptions(), 9)
    assert many.scale_outs


def test_jobs_that_refuse_spot_get_and_keep_ordinary_machines() -> None:
    # Cheaper spot machines beside them must not make these surplus: the job would starve.
    machines = owned(5) + owned(1, spot=False)
    got = make_plan(
        [demand(10, 50.0), demand(2, 10.0, spot=False)], machines, [], 0.0, ProvisioningOptions(), 9
    )
    assert 100 not in got.cordoned


def test_idle_surplus_goes_back_and_the_reserve_stays() -> None:
    got = make_plan([], owned(5, idle=60.0, tasks=0), [], 8.0, ProvisioningOptions(), 9)
    assert len(got.scale_ins) == 3
    busy = make_plan(
        [demand(4, 20.0)], owned(2) + owned(2, spot=False), [], 0.0, ProvisioningOptions(), 9
    )
    assert busy.cordoned == {100, 101}
    assert not busy.scale_ins


def test_only_jobs_with_tasks_to_come_keep_room_and_on_the_fullest_machines() -> None:
    # The last long tasks of a day were spread over every machine there was.
    flowing, ending = demand(8, 400.0), demand(20, 400.0)._replace(waiting=False)
    machines = [
        OwnedMachine(
            n, 0, 0, True, 4.0, 0.0, 8.0, 0.1, None, 2 if n < 6 else 1, 2.0 if n < 15 else 4.0
        )
        for n in range(20)
    ]
    got = make_plan([flowing, ending], machines, [SPOT], 0.0, ProvisioningOptions(), 9)
    assert not got.scale_outs  # what is being emptied still counts as capacity
    assert got.cordoned == set(range(8, 20))  # 8 machines with 2 free cores each hold 8 tasks
    # While more waits than there is room for, every machine takes new tasks.
    full = [m._replace(occupied_cores=4.0) if m.machine % 2 else m for m in machines]
    assert not make_plan(
        [demand(90, 4000.0), ending], full, [], 0.0, ProvisioningOptions(), 9
    ).cordoned
    calm = make_plan([ending], machines, [SPOT], 0.0, ProvisioningOptions(), 9)
    assert calm.cordoned == set(range(20))
    assert not calm.scale_ins  # none of them idles


def test_refusals_back_off_and_end() -> None:
    refusals = OfferBackoff()
    refusals.record_refusal(0, 0, True, 0.0)
    assert not refusals.is_available(0, 0, True, 9.0)
    assert refusals.is_available(0, 0, False, 10.0)
    assert refusals.is_available(0, 0, True, 20.0)
    refusals.record_refusal(0, 0, True, 20.0)
    assert not refusals.is_available(0, 0, True, 35.0)
    # Half of the spot machines were once taken and offered again within 20 s, and asked for only
    # after a minute of back-off.
    refusals.reset(0, 0, True)
    assert refusals.is_available(0, 0, True, 35.0)


def test_returned_and_late_machines_are_no_capacity_for_the_next_leader() -> None:
    # They came back from their rentals' records as booting capacity, and nothing was rented.
    async def scenario() -> None:
        world = World()
        await world.submit(job("wk-000001", 4, guess_s=60.0))
        await world.running(4)
        first = await world.led()
        lost = next(iter(world.cloud.machines.values()))["worker"]
        world.net.cut |= {frozenset((lost.name, n)) for n in NODES}
        while not lost.dead:
            await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        recorded = [v["m"] for k, (v, _, _) in world.store.keys.items() if k.startswith("pt/c/")]
        assert recorded
        assert all(lost.name not in names for names in recorded)
        world.crash(first)
        await asyncio.sleep(8.0)
        new = world.nodes[await world.led()]
        booting = [m for m in new.fleet.machines.values() if m.name == lost.name]
        assert not booting

    play(scenario())


def test_a_new_leader_does_not_rent_anew_what_idles() -> None:
    # 100 machines were once rented the moment a leader was elected: those idle had no tasks in the
    # records, had not reported to it yet, and counted as late to boot.
    async def scenario() -> None:
        world = World()
        await world.submit(job("wk-000001", 6, guess_s=60.0))
        await world.until_over(60.0)
        await asyncio.sleep(3.0)
        rented = world.cloud.rented
        assert rented == len(world.cloud.machines) > 0
        for machine in world.cloud.machines.values():  # their next reports come late
            machine["worker"].frozen = True
        world.crash(await world.led())
        await world.submit(job("wk-000002", 6, guess_s=60.0))
        await world.led()
        await asyncio.sleep(2.5)
        assert world.cloud.rented == rented
        for machine in world.cloud.machines.values():
            machine["worker"].frozen = False
        await world.until_over(60.0)

    play(scenario())


def test_clean_up_leaves_half_of_the_write_burst() -> None:
    # A round once waited 3 s for its write behind drops of settled records.
    budget = TokenBucket(8.0, 8.0)
    assert budget.available(0.0, 0.5) == 4
    play(budget.acquire(5.0))
    assert budget.available(100.0, 0.5) == 0


def test_calls_to_an_offer_that_came_short_are_not_made() -> None:
    """The rest of a plan's calls for it took 3 s of the cloud's turns while other zones waited."""
    asked: list[tuple[str, int]] = []

    async def main() -> None:
        text = SMALL.text.replace("cpus_max = 12.0", "cpus_max = 4000.0")
        text = text.replace("rps = 10.0\nlist_lag_s", "rps = 1.0\nlist_lag_s")
        world = World(1, replace(SMALL, text=text, spot=420, ordinary=0))
        handle = world.cloud.handle

        async def cloud(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            status, answer = await handle(source, method, target, body)
            if target == "/hosts" and method == "POST":
                asked.append((body["roost"], len(answer.get("perches", ()))))
            return status, answer

        world.net.hosts["cloud:1"] = cloud
        await world.submit(job("wk-000001", 2000, guess_s=60.0))
        while world.cloud.rented < 420:
            await asyncio.sleep(0.1)
        await asyncio.sleep(6.0)

    play(main())
    # Two zones draw from the same 420 machines: nine calls get some, and hardly one is in vain.
    first_short = next(at for at, (_, got) in enumerate(asked) if got < 50)
    vain = [zone for zone, got in asked[first_short : first_short + 4] if got == 0]
    assert len(vain) <= 2, vain


def test_the_first_call_of_each_offer_comes_before_the_second_of_any() -> None:
    rents = [ScaleOutRequest(0, zone, True, count) for zone in range(3) for count in (50, 49)]
    assert [(r.zone, r.machines) for r in interleave(rents)] == [
        (0, 50),
        (1, 50),
        (2, 50),
        (0, 49),
        (1, 49),
        (2, 49),
    ]


def test_replicas_are_a_standing_need_and_no_backlog_that_drains() -> None:
    replicas = Demand(8, 0.0, 0.0, 1.0, 0.0, 1.6, None, None, False, standing=True)
    got = make_plan(
        [replicas], [], [DEAR, SPOT], 0.0, ProvisioningOptions(), 9, standing_reserve=4.0
    )
    assert [(r.spot, r.machines) for r in got.scale_outs] == [
        (False, 3)
    ]  # 8 cores and 4 in reserve
    # Machines with replicas stay, those beside them go to the arrays or back.
    busy = [m._replace(replicas=4) for m in owned(2, spot=False)]
    idle = [m._replace(machine=m.machine + 50) for m in owned(3, spot=False, idle=99.0, tasks=0)]
    later = make_plan(
        [replicas], [*idle, *busy], [DEAR], 0.0, ProvisioningOptions(), 9, standing_reserve=4.0
    )
    assert not later.scale_outs
    assert not later.cordoned & {m.machine for m in busy}
    assert len(later.scale_ins) == 2


@pytest.mark.parametrize("startup_s", [7.0, 10.0])
def test_room_is_kept_for_a_class_that_must_start_before_a_machine_is_late(
    startup_s: float,
) -> None:
    """It has to start within 9 s: sooner than a machine usually boots, or than a slow one does."""

    async def main() -> None:
        slow = ({**SMALL.hulls[0], "startup_s": startup_s},)
        world = World(made_of=replace(SMALL, hulls=slow))
        world.run_s = 30.0
        await world.submit(job("wk-000001", 2))
        await asyncio.sleep(startup_s + 5.0)
        kinds = [(m["driftwood"], m["roost"]) for m in world.cloud.machines.values()]
        assert {(False, "a"), (False, "b")} <= set(kinds)
        await world.submit(job("wk-000002", 1, jobclass="rush"))
        await asyncio.sleep(75.0)
        # It came and may use cheap ones: nothing is kept for it any more.
        assert all(m["driftwood"] for m in world.cloud.machines.values())

    play(main())


def test_more_silent_machines_with_replicas_than_one_call_may_name_all_go_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The cloud refuses a call of more than 100 names, and the same call was repeated for ever."""

    async def scenario(world: World) -> None:
        node = world.nodes[await world.led()]
        now = asyncio.get_running_loop().time()
        machines = [node.fleet.get_or_add(f"host-{n:06d}", now) for n in range(330)]
        named: list[int] = []
        give_back = node.provisioner._cloud.scale_in

        async def counted(names: list[str]) -> None:
            named.append(len(names))
            await give_back(names)

        monkeypatch.setattr(node.provisioner._cloud, "scale_in", counted)
        await node.provisioner._scale_in_all(machines, now)
        assert all(m.health is Health.TERMINATED for m in machines)
        assert max(named) == protocol.MAX_MACHINES_PER_SCALE_IN
        assert sum(named) == len(machines)

    async def main() -> None:
        world = World(1)
        await scenario(world)

    play(main())


def test_a_machine_that_got_work_since_the_plan_is_not_returned() -> None:
    """Between the plan and its returns lie its rentals, which take seconds."""

    async def main() -> None:
        world = World(1)
        world.run_s = 60.0
        await world.submit(job("wk-000001", 1, guess_s=60.0))
        await world.running(1)
        node = world.nodes[await world.led()]
        now = asyncio.get_running_loop().time()
        up = [m for m in node.fleet.machines.values() if m.health is Health.UP]
        busy = [m for m in up if m.index in node.cluster_state.attempts_by_machine]
        assert busy
        planned = Plan([], [m.index for m in up], set())
        returned = node.provisioner._machines_to_return(planned, now)
        assert not {m.index for m in busy} & {m.index for m in returned}

    play(main())
