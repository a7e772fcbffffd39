"""Which zones are cut off from us: nothing in them is heard, neither machines nor controllers."""

from __future__ import annotations

from collections.abc import Iterable

from petrelthread.fleet.machine import Health, Machine

MISSED_HEARTBEATS = 2.5  # report intervals without any report of a whole zone
FIND_LEADER_S = 5.0  # that workers may take to find a new leader
MIN_SILENT_MACHINES = 4  # silent machines that speak for a zone without a controller in it
RETRY_AFTER_S = 30.0  # after this such a zone is tried again

EXPECTED_TO_REPORT = (Health.UP, Health.DRAINING, Health.UNRESPONSIVE)


class ZoneMonitor:
    """One state a zone: heard, or cut off since some moment."""

    def __init__(self, report_s: float) -> None:
        self._quiet_s = MISSED_HEARTBEATS * report_s
        self.cut_off_since: dict[int, float] = {}

    def clear(self) -> None:
        self.cut_off_since.clear()

    def update(
        self, machines: Iterable[Machine], nodes: dict[int, bool], elected_at: float, now: float
    ) -> tuple[set[int], set[int]]:
        """``nodes``: for zones with controllers, whether one of them was heard lately.

        Returns the zones that have just gone down and those that have just come back. What is sent
        back to the cloud from a zone that went down no longer reports: only a machine or a
        controller that is heard there again, not the lack of silent ones, brings it back.
        """
        last: dict[int, float] = {}
        expected: dict[int, int] = {}
        for machine in machines:
            if machine.zone < 0 or not (
                machine.incarnation or machine.health in EXPECTED_TO_REPORT
            ):
                continue
            zone = machine.zone
            last[zone] = max(last.get(zone, 0.0), machine.last_seen_at)
            if machine.health in EXPECTED_TO_REPORT:
                expected[zone] = expected.get(zone, 0) + 1
        quiet_s = self._quiet_s + (FIND_LEADER_S if now - elected_at < 3 * FIND_LEADER_S else 0.0)
        fallen, back = set(), set()
        for zone, since in list(self.cut_off_since.items()):
            retry = zone not in nodes and now - since > RETRY_AFTER_S
            if nodes.get(zone) or last.get(zone, 0.0) > since or retry:
                del self.cut_off_since[zone]
                back.add(zone)
        for zone, count in expected.items():
            alone = zone not in nodes
            if zone in self.cut_off_since or now - last[zone] <= quiet_s or nodes.get(zone):
                continue
            if alone and count < MIN_SILENT_MACHINES:
                continue
            self.cut_off_since[zone] = now
            fallen.add(zone)
        return fallen, back
