"""A leader beside an array whose tasks all run, for tests of the cost of its steps."""

from __future__ import annotations

import asyncio

from petrelthread.benchmark.populated_leader import EPOCH, MACHINE_CORES, PopulatedLeader
from petrelthread.protocol import MAX_TASKS_PER_JOB
from petrelthread.state import OperationState, epoch_base_number

MACHINES = 700
WAITED_S = 60.0


def leader_beside_running_array() -> PopulatedLeader:
    """A leader with 100,000 running tasks of one array, and a job of high priority that waits.

    The array fills the machines that the populated leader leaves empty.
    """
    leader = PopulatedLeader(MACHINES)
    empty = list(leader.controller.fleet.machines)[::2]
    cores = len(empty) * MACHINE_CORES / MAX_TASKS_PER_JOB
    array = leader.add_pending_job(MAX_TASKS_PER_JOB, 0, cores=cores, ram_gb=0.001, priority="low")
    first_round = epoch_base_number(EPOCH) + 1
    for task in range(MAX_TASKS_PER_JOB):
        machine = empty[task % len(empty)]
        leader.state.add_attempt(first_round, array, task, machine, 1, OperationState.CONFIRMED)
    leader.add_pending_job(5, 1, priority="high").accepted_at -= WAITED_S
    now = asyncio.get_running_loop().time()
    leader.controller.scheduler.decide(now)  # builds the index of free capacity
    return leader
