"""The input of a plan costs no more with many running tasks of few jobs."""

from __future__ import annotations

import asyncio

from petrelthread.provisioning import Plan
from tests.call_counter import count_calls
from tests.running_array import leader_beside_running_array


# Guards against long plans: each plan looked at all running tasks of an array.
def test_planning_beside_a_running_giant_array_takes_a_bounded_number_of_calls() -> None:
    async def scenario() -> None:
        leader = leader_beside_running_array()
        now = asyncio.get_running_loop().time()
        order = leader.controller.cluster_view.job_order()
        plans: list[Plan] = []
        count_calls(lambda: plans.append(leader.controller.provisioner.plan_now(now, order)))
        assert not plans[0].scale_ins  # each machine runs tasks

    asyncio.run(scenario())
