"""Worlds of 970 machines, with the limits of two kinds of deployment.

One has a few controllers in one zone and small machines, the other five controllers in three zones.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from tests.simulation import MACHINE_TYPES, SETTINGS, Deployment, Simulation, job

MACHINES = 970
TEAMS = 16


def _text(swaps: list[tuple[str, str]], teams: str) -> str:
    head, _, rest = SETTINGS.partition("[[cluster.teams]]")
    _, mark, tail = rest.partition("[[cluster.objectives]]")
    text = head + teams + mark + tail
    for old, new in swaps:
        assert old in text, old
        text = text.replace(old, new)
    return text


def _teams(cpus: float, most: float) -> str:
    return "".join(
        f'[[cluster.teams]]\nname = "team-{n:02d}"\ncpus = {cpus}\ncpus_max = {most}\n'
        for n in range(TEAMS)
    )


ONE_ZONE = Deployment(
    text=_text(
        [
            ('zones = ["a", "b"]', 'zones = ["a"]'),
            ("report_s = 1.0", "report_s = 4.0"),
            ("lease_s = 10.0", "lease_s = 22.0"),
            ("cancel_s = 36.0", "cancel_s = 52.0"),
            ("\nrps = 200.0\nwrite_rps = 60.0", "\nrps = 150.0\nwrite_rps = 20.0"),
            ("rps = 10.0\nlist_lag_s = 4.0", "rps = 6.0\nlist_lag_s = 8.0"),
        ],
        _teams(150.0, 1350.0),
    ),
    machine_types=({**MACHINE_TYPES[0], "startup_s": 10.0, "roosts": ["a"]},),
    spot=MACHINES,
    on_demand=0,
    step_s=0.5,
)
THREE_ZONES = Deployment(
    text=_text(
        [
            ('zones = ["a", "b"]', 'zones = ["a", "b", "c"]'),
            ("count = 3", "count = 5"),
            ("report_s = 1.0", "report_s = 2.5"),
            ("lease_s = 10.0", "lease_s = 15.25"),
            ("cancel_s = 36.0", "cancel_s = 40.25"),
            ("\nrps = 200.0\nwrite_rps = 60.0", "\nrps = 350.0\nwrite_rps = 40.0"),
            ("value_kb = 4.0\ntxn_ops = 8", "value_kb = 16.0\ntxn_ops = 12"),
            ("rps = 10.0\nlist_lag_s = 4.0", "rps = 4.0\nlist_lag_s = 6.0"),
        ],
        _teams(300.0, 1200.0),
    ),
    nodes=("n0", "n1", "n2", "n3", "n4"),
    node_zones=("a", "b", "c"),
    machine_types=({**MACHINE_TYPES[0], "startup_s": 10.0, "roosts": ["a", "b", "c"]},),
    spot=MACHINES,
    on_demand=0,
    step_s=0.5,
)


@dataclass
class Load:
    """Jobs of two classes, as many as keep all machines at work for a while."""

    simulation: Simulation
    count: int = 0
    asked: dict[str, float] = field(default_factory=dict)  # when each job was accepted

    async def add(self, jobs: int, tasks: int, **more: Any) -> None:
        for _ in range(jobs):
            self.count += 1
            team, image = f"team-{self.count % TEAMS:02d}", f"img-{self.count % 6}"
            description = {"team": team, "image": image, "estimated_run_s": 20.0} | more
            spec = job(f"wk-{self.count:06d}", tasks, **description)
            await self.simulation.submit(spec)
            self.asked[spec["name_id"]] = asyncio.get_running_loop().time()
