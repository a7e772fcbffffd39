"""Debug log of starts, with the data needed to evaluate each placement afterwards."""

from __future__ import annotations

import logging
import time

from petrelthread.fleet import Fleet, Machine
from petrelthread.state import Attempt, ClusterState, epoch_of

log = logging.getLogger(__name__)


class StartLog:
    """Writes one line per start, with the names of machine, zones and job class."""

    def __init__(self, cluster_state: ClusterState, fleet: Fleet) -> None:
        self._cluster_state = cluster_state
        self._fleet = fleet

    def write(self, attempt: Attempt) -> None:
        """Log the machine, the time since the job was accepted, and its other tasks' zones."""
        if not log.isEnabledFor(logging.DEBUG):
            return
        machine = self._fleet.machines[attempt.machine]
        cached = attempt.job.image in machine.images
        log.debug(
            "start %s/%d (class %s) on %s, %.2f s after acceptance, image %s; attempt %d, epoch %d,"
            " zone %s, other live tasks of the job by zone: %s",
            attempt.job.id,
            attempt.task,
            self._cluster_state.names.job_classes.name(attempt.job.job_class),
            machine.name,
            time.time() - attempt.job.accepted_at,
            "cached" if cached else "to be fetched",
            attempt.number,
            epoch_of(attempt.number),
            self._zone_name(machine),
            self._other_zones(attempt),
        )

    def _zone_name(self, machine: Machine | None) -> str:
        if machine is None or machine.zone < 0:
            return "unknown zone"
        return self._cluster_state.names.zones.name(machine.zone)

    def _other_zones(self, attempt: Attempt) -> str:
        """The number of the job's other live tasks in each zone: "zone: count, ..." or "none"."""
        counts: dict[str, int] = {}
        for other in attempt.job.live_attempts.values():
            if other is not attempt and not other.has_exited:
                zone = self._zone_name(self._fleet.machines.get(other.machine))
                counts[zone] = counts.get(zone, 0) + 1
        return ", ".join(f"{zone}: {count}" for zone, count in sorted(counts.items())) or "none"
