"""Which zones are cut off from this controller: neither machines nor controllers are heard."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from petrelthread.fleet.machine import Health, Machine

MISSED_HEARTBEATS = 2.5  # heartbeat intervals without a single heartbeat from a zone
FIND_LEADER_S = 5.0  # longer silence permitted while workers look for a new leader,
NEW_LEADER_PERIODS = 3  # which is so many times that long
MIN_SILENT_MACHINES = 4  # needed as evidence in a zone without controllers
RETRY_AFTER_S = 30.0  # a zone without controllers counts as reachable again after that

EXPECTED_TO_REPORT = (Health.UP, Health.DRAINING, Health.UNRESPONSIVE)


class ZoneChanges(NamedTuple):
    """Zones, by index, whose state has just changed."""

    cut_off: set[int]
    restored: set[int]


class ZoneMonitor:
    """Remembers which zones are cut off, and since when."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self._timeout_s = MISSED_HEARTBEATS * heartbeat_interval_s
        self.cut_off_since: dict[int, float] = {}  # zone to event loop time

    def clear(self) -> None:
        """Take all zones for reachable."""
        self.cut_off_since.clear()

    def update(
        self,
        machines: Iterable[Machine],
        controllers: dict[int, bool],
        observing_since: float,
        now: float,
    ) -> ZoneChanges:
        """Judge all zones by what was heard from them.

        Args:
            machines: All that are known.
            controllers: For zones with controllers, whether one of them was heard lately.
            observing_since: When this controller was elected or resumed; event loop time.
            now: Event loop time.
        """
        last_seen_at, expected = _heard_by_zone(machines)
        restored = self._restore(last_seen_at, controllers, now)
        timeout_s = self._timeout_s
        if now - observing_since < NEW_LEADER_PERIODS * FIND_LEADER_S:
            timeout_s += FIND_LEADER_S
        cut_off: set[int] = set()
        for zone, count in expected.items():
            if zone in self.cut_off_since or now - last_seen_at[zone] <= timeout_s:
                continue
            if controllers.get(zone):
                continue
            if zone not in controllers and count < MIN_SILENT_MACHINES:
                continue
            self.cut_off_since[zone] = now
            cut_off.add(zone)
        return ZoneChanges(cut_off, restored)

    def _restore(
        self, last_seen_at: dict[int, float], controllers: dict[int, bool], now: float
    ) -> set[int]:
        """Restore zones of which something was heard since.

        The absence of unresponsive machines proves nothing: those of a zone that is cut off are
        returned to the cloud.
        """
        restored: set[int] = set()
        for zone, since in list(self.cut_off_since.items()):
            retry = zone not in controllers and now - since > RETRY_AFTER_S
            if controllers.get(zone) or last_seen_at.get(zone, 0.0) > since or retry:
                del self.cut_off_since[zone]
                restored.add(zone)
        return restored


def _heard_by_zone(machines: Iterable[Machine]) -> tuple[dict[int, float], dict[int, int]]:
    """For each zone, when a machine of it was last heard, and how many are expected to report."""
    last_seen_at: dict[int, float] = {}
    expected: dict[int, int] = {}
    for machine in machines:
        zone = machine.zone
        if zone < 0 or not (machine.incarnation or machine.health in EXPECTED_TO_REPORT):
            continue
        last_seen_at[zone] = max(last_seen_at.get(zone, 0.0), machine.last_seen_at)
        if machine.health in EXPECTED_TO_REPORT:
            expected[zone] = expected.get(zone, 0) + 1
    return last_seen_at, expected
