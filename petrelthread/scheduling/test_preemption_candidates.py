"""The search for tasks to preempt is bounded, whatever the number of running tasks."""

from __future__ import annotations

import asyncio

from petrelthread.scheduling.preemption_candidates import MachineRotation
from petrelthread.scheduling.round_planner import RoundDecision
from tests.call_counter import count_calls
from tests.running_array import leader_beside_running_array
from tests.scheduling_cluster import Cluster, cluster_test
from tests.simulation import job_spec


def add_attempts(cluster: Cluster, machine: int, count: int) -> None:
    job = cluster.add_job(job_spec(f"wk-{machine:06d}", count))
    for task in range(count):
        cluster.cluster_state.add_attempt(1, job, task, machine, 1)


@cluster_test
def test_all_machines_are_examined_if_they_have_few_attempts(cluster: Cluster) -> None:
    rotation = MachineRotation(max_attempts=6)
    assert rotation.next_machines(cluster.cluster_state) == []
    for machine in (3, 1, 2):
        add_attempts(cluster, machine, 2)
    for _ in range(2):
        assert rotation.next_machines(cluster.cluster_state) == [3, 1, 2]


@cluster_test
def test_rounds_take_turns_on_machines_with_many_attempts(cluster: Cluster) -> None:
    rotation = MachineRotation(max_attempts=4)
    for machine, count in ((0, 2), (1, 2), (2, 9), (3, 1)):
        add_attempts(cluster, machine, count)
    rounds = [rotation.next_machines(cluster.cluster_state) for _ in range(4)]
    assert rounds == [[0, 1], [2], [3, 0], [1]]


# Guards against long rounds: each round with a waiting job compared all running tasks of an array.
def test_deciding_beside_a_running_giant_array_takes_a_bounded_number_of_calls() -> None:
    async def scenario() -> None:
        leader = leader_beside_running_array()
        now = asyncio.get_running_loop().time()
        order = leader.controller.cluster_view.job_order()
        decisions: list[RoundDecision] = []
        count_calls(lambda: decisions.append(leader.controller.scheduler.decide(now, order)))
        assert decisions[0].preemptions

    asyncio.run(scenario())
