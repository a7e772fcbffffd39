"""Cores of machines and of tasks by state, for the log."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from petrelthread import protocol
from petrelthread.fleet import Fleet, Health
from petrelthread.state import ClusterState


@dataclass
class LoadSummary:
    """Cores by state.

    ``up`` (of which ``cordoned``) and ``booting`` are sums over machines, the others over tasks.
    Pending tasks are called ``waiting``, as in the admin views.
    """

    up: float = 0.0
    cordoned: float = 0.0
    booting: float = 0.0
    running: float = 0.0
    starting: float = 0.0
    waiting: float = 0.0

    def __str__(self) -> str:
        """Format the sums as one log line."""
        return (
            f"cores up {self.up:.0f} (cordoned {self.cordoned:.0f}), booting {self.booting:.0f};"
            f" running {self.running:.0f}, starting {self.starting:.0f}, waiting {self.waiting:.0f}"
        )


def summarize_load(
    cluster_state: ClusterState, fleet: Fleet, machine_types: Mapping[int, protocol.MachineType]
) -> LoadSummary:
    """Add up the cores of all machines, attempts and pending tasks."""
    load = LoadSummary()
    _add_machines(load, fleet, machine_types)
    _add_attempts(load, cluster_state)
    load.waiting = sum(job.pending_count * job.cores for job in cluster_state.open_jobs.values())
    return load


def _add_machines(
    load: LoadSummary, fleet: Fleet, machine_types: Mapping[int, protocol.MachineType]
) -> None:
    for machine in fleet.machines.values():
        machine_type = machine_types.get(machine.machine_type)
        cores = machine_type.cores if machine_type else 0.0
        if machine.accepts_work:
            load.up += cores
            load.cordoned += cores if machine.cordoned else 0.0
        elif machine.health is Health.BOOTING:
            load.booting += cores


def _add_attempts(load: LoadSummary, cluster_state: ClusterState) -> None:
    for attempts in cluster_state.attempts_by_machine.values():
        for attempt in attempts.values():
            if attempt.has_exited:
                continue
            if attempt.running_at:
                load.running += attempt.job.cores
            else:
                load.starting += attempt.job.cores
