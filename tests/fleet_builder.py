"""Builds a fleet with one job, and heartbeats and attempts of machines, for tests."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from petrelthread import protocol
from petrelthread.fleet import Fleet, FleetCallbacks, Machine
from petrelthread.fleet.callbacks import NO_CALLBACKS
from petrelthread.state import (
    Attempt,
    ClusterState,
    InternedNames,
    JobRecord,
    OperationState,
    epoch_base_number,
)
from tests.simulation import job_spec

LEASE_S = 10.0
HEARTBEAT_INTERVAL_S = 1.0
LEASE_GRACE_S = 20.0
EPOCH = 5
ELECTED_AT = 100.0
JOB_ID = "wk-000001"
HOST = "host-000001"


def build_fleet(
    callbacks: FleetCallbacks = NO_CALLBACKS, elected_at: float = ELECTED_AT, task_count: int = 4
) -> Fleet:
    """A leader's fleet without machines, with one accepted job."""
    cluster_state = ClusterState(InternedNames(["red"], ["a"]))
    spec = msgspec.convert(job_spec(JOB_ID, task_count), protocol.JobSpec)
    cluster_state.add_job(JOB_ID, JobRecord.from_spec(spec, 0.0))
    fleet = Fleet(cluster_state, LEASE_S, HEARTBEAT_INTERVAL_S, LEASE_GRACE_S, callbacks)
    fleet.begin_leadership(EPOCH, elected_at)
    return fleet


def attempt_number(serial: int = 0, epoch: int = EPOCH) -> int:
    """The number of an attempt that the leader of the epoch started."""
    return epoch_base_number(epoch) + serial


def task_report(
    number: int,
    state: protocol.TaskState,
    cause: str | None = None,
    task: int = 0,
    progress_saved: bool = False,
) -> protocol.TaskReport:
    """One task of the job as a worker's heartbeat reports it."""
    return protocol.TaskReport(
        protocol.task_id(JOB_ID, task), number, state.value, cause, progress_saved
    )


def running(number: int, task: int = 0) -> protocol.TaskReport:
    """A reported task that runs."""
    return task_report(number, protocol.TaskState.RUNNING, task=task)


def exited(number: int, cause: str, progress_saved: bool = False) -> protocol.TaskReport:
    """A reported task that has exited."""
    return task_report(number, protocol.TaskState.EXITED, cause, progress_saved=progress_saved)


def heartbeat(
    sequence_number: int,
    token: int = EPOCH,
    tasks: Sequence[protocol.TaskReport] = (),
    incarnation: int = 1,
    machine_name: str = HOST,
) -> protocol.WorkerHeartbeat:
    """A heartbeat of one machine's worker."""
    return protocol.WorkerHeartbeat(
        machine_name,
        incarnation,
        sequence_number,
        "host:9",
        "small",
        "a",
        True,
        token,
        None,
        list(tasks),
    )


def add_attempt(
    fleet: Fleet,
    number: int,
    task: int = 0,
    incarnation: int = 1,
    machine_name: str = HOST,
    state: OperationState = OperationState.UNKNOWN,
) -> tuple[Machine, Attempt]:
    """Record an attempt of the job on a machine."""
    machine = fleet.get_or_add(machine_name, fleet.elected_at)
    cluster_state = fleet.cluster_state
    return machine, cluster_state.add_attempt(
        number, cluster_state.jobs[0], task, machine.index, incarnation, state
    )
