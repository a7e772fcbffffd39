"""Two deployments of 970 machines, and the load that keeps them busy.

One has three controllers and all machines in one zone, the other five controllers in three zones.
Their limits on requests to the state service and the cloud differ.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from tests.simulation import MACHINE_TYPES, SETTINGS, Deployment, Simulation, job_spec

MACHINE_COUNT = 970
TEAM_COUNT = 16


def _settings_text(replacements: list[tuple[str, str]], teams: str) -> str:
    head, _, rest = SETTINGS.partition("[[cluster.teams]]")
    _, heading, tail = rest.partition("[[cluster.objectives]]")
    text = head + teams + heading + tail
    for old, new in replacements:
        assert old in text, old
        text = text.replace(old, new)
    return text


def _team_settings(cpus: float, cpus_max: float) -> str:
    return "".join(
        f'[[cluster.teams]]\nname = "team-{n:02d}"\ncpus = {cpus}\ncpus_max = {cpus_max}\n'
        for n in range(TEAM_COUNT)
    )


ONE_ZONE = Deployment(
    text=_settings_text(
        [
            ('zones = ["a", "b"]', 'zones = ["a"]'),
            ("report_s = 1.0", "report_s = 4.0"),
            ("lease_s = 10.0", "lease_s = 22.0"),
            ("cancel_s = 36.0", "cancel_s = 52.0"),
            ("\nrps = 200.0\nwrite_rps = 60.0", "\nrps = 150.0\nwrite_rps = 20.0"),
            ("rps = 10.0\nlist_lag_s = 4.0", "rps = 6.0\nlist_lag_s = 8.0"),
        ],
        _team_settings(150.0, 1350.0),
    ),
    machine_types=({**MACHINE_TYPES[0], "startup_s": 10.0, "roosts": ["a"]},),
    spot=MACHINE_COUNT,
    on_demand=0,
    step_s=0.5,
)
THREE_ZONES = Deployment(
    text=_settings_text(
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
        _team_settings(300.0, 1200.0),
    ),
    nodes=("n0", "n1", "n2", "n3", "n4"),
    node_zones=("a", "b", "c"),
    machine_types=({**MACHINE_TYPES[0], "startup_s": 10.0, "roosts": ["a", "b", "c"]},),
    spot=MACHINE_COUNT,
    on_demand=0,
    step_s=0.5,
)


@dataclass
class Load:
    """Submits jobs, numbered in order and assigned to all teams in rotation."""

    simulation: Simulation
    count: int = 0
    accepted_at: dict[str, float] = field(default_factory=dict)  # by job id

    async def add(self, job_count: int, task_count: int, **attributes: Any) -> None:
        for _ in range(job_count):
            self.count += 1
            team, image = f"team-{self.count % TEAM_COUNT:02d}", f"img-{self.count % 6}"
            description = {"team": team, "image": image, "estimated_run_s": 20.0} | attributes
            spec = job_spec(f"wk-{self.count:06d}", task_count, **description)
            await self.simulation.submit(spec)
            self.accepted_at[spec["name_id"]] = asyncio.get_running_loop().time()
