"""Detection of zones from which neither machines nor controllers reach this controller."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from petrelthread import protocol
from petrelthread.fleet.machine import Health, Machine

MISSED_HEARTBEATS = 2.5  # heartbeat intervals without any heartbeat that make a zone unreachable
# After an election or a resumption, the timeout is longer by LEADER_DISCOVERY_S for this many times
# that duration.
LEADER_DISCOVERY_PERIODS = 3
# In a zone without controllers, missing heartbeats of fewer machines than this are no evidence.
MIN_MACHINES_AS_EVIDENCE = 4
RETRY_AFTER_S = 30.0  # after this time, a zone without controllers counts as reachable again

EXPECTED_TO_SEND_HEARTBEATS = (Health.UP, Health.DRAINING, Health.UNRESPONSIVE)


class ZoneChanges(NamedTuple):
    """The zones, by index, whose state this update changed."""

    unreachable: set[int]
    restored: set[int]


class ZoneMonitor:
    """Tracks which zones are unreachable, and since when."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self._timeout_s = MISSED_HEARTBEATS * heartbeat_interval_s
        self.cut_off_since: dict[int, float] = {}  # event loop time by zone

    def clear(self) -> None:
        """Treat all zones as reachable."""
        self.cut_off_since.clear()

    def update(
        self,
        machines: Iterable[Machine],
        controllers: dict[int, bool],
        observing_since: float,
        now: float,
    ) -> ZoneChanges:
        """Update all zones from the heartbeats of their machines and controllers.

        Args:
            machines: All known machines.
            controllers: For zones with controllers, whether one of them was reachable recently.
            observing_since: When this controller was elected or resumed; event loop time.
            now: Event loop time.
        """
        last_seen_at, expected = _last_seen_by_zone(machines)
        restored = self._restore(last_seen_at, controllers, now)
        timeout_s = self._timeout_s
        if now - observing_since < LEADER_DISCOVERY_PERIODS * protocol.LEADER_DISCOVERY_S:
            timeout_s += protocol.LEADER_DISCOVERY_S
        unreachable: set[int] = set()
        for zone, count in expected.items():
            if zone in self.cut_off_since or now - last_seen_at[zone] <= timeout_s:
                continue
            if controllers.get(zone):
                continue
            if zone not in controllers and count < MIN_MACHINES_AS_EVIDENCE:
                continue
            self.cut_off_since[zone] = now
            unreachable.add(zone)
        return ZoneChanges(unreachable, restored)

    def _restore(
        self, last_seen_at: dict[int, float], controllers: dict[int, bool], now: float
    ) -> set[int]:
        """Restore zones with a new heartbeat or a reachable controller, or due for a retry.

        The absence of unresponsive machines is no evidence, because the machines of an unreachable
        zone are scaled in.
        """
        restored: set[int] = set()
        for zone, since in list(self.cut_off_since.items()):
            retry = zone not in controllers and now - since > RETRY_AFTER_S
            if controllers.get(zone) or last_seen_at.get(zone, 0.0) > since or retry:
                del self.cut_off_since[zone]
                restored.add(zone)
        return restored


def _last_seen_by_zone(machines: Iterable[Machine]) -> tuple[dict[int, float], dict[int, int]]:
    """Return, by zone, the newest last-seen time and how many machines should send heartbeats."""
    last_seen_at: dict[int, float] = {}
    expected: dict[int, int] = {}
    for machine in machines:
        zone = machine.zone
        if zone < 0 or not (machine.incarnation or machine.health in EXPECTED_TO_SEND_HEARTBEATS):
            continue
        last_seen_at[zone] = max(last_seen_at.get(zone, 0.0), machine.last_seen_at)
        if machine.health in EXPECTED_TO_SEND_HEARTBEATS:
            expected[zone] = expected.get(zone, 0) + 1
    return last_seen_at, expected
