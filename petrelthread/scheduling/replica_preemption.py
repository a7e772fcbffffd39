"""Which tasks to stop so that the missing replicas of all services find room at once.

A pure function: machines with what is free or soon free on them, replicas without a machine, and
tasks that may be stopped come in; the tasks to stop come out.
"""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.scheduling.bin_packing import zone_headroom
from petrelthread.scheduling.occupancy import JobOccupancy
from petrelthread.scheduling.preemption_rules import Victim, may_displace
from petrelthread.scheduling.slot import PlacementRequest, Slot


class ReplicaNeed(NamedTuple):
    """Replicas of one service that have no machine."""

    request: PlacementRequest
    priority: int
    guaranteed: bool
    lacking: int


class _Choice(NamedTuple):
    """A machine for one replica, with the tasks that have to leave it; the smaller the better."""

    in_zone: int  # replicas of the service there already, where it is spread over zones
    on_machine: int
    fetches_image: bool
    lost_s: float
    machine: int
    victims: tuple[Victim, ...]


class RoomMaker:
    """Keeps account of what the choices made so far leave free."""

    def __init__(
        self, slots: dict[int, Slot], victims: list[Victim], cores_over_guarantee: list[float]
    ) -> None:
        """``slots``: copies, with the room of tasks that are stopping already added."""
        self._slots = slots
        self._over = list(cores_over_guarantee)
        self._victims: dict[int, list[Victim]] = {}
        for victim in sorted(victims, key=lambda v: (v.priority, v.lost_s, v.job, v.task)):
            self._victims.setdefault(victim.machine, []).append(victim)

    def make_room(self, need: ReplicaNeed) -> list[Victim]:
        """Tasks to stop for the replicas of one service; none for those that fit as it is."""
        request = need.request
        occupancy = request.occupancy.copy()
        stopped: list[Victim] = []
        for _ in range(need.lacking):
            choice = self._choose(need, occupancy)
            if choice is None:
                break
            self._apply(choice, request)
            occupancy.add(self._slots[choice.machine].zone, choice.machine)
            stopped += choice.victims
        return stopped

    def _choose(self, need: ReplicaNeed, occupancy: JobOccupancy) -> _Choice | None:
        request = need.request
        room = zone_headroom(request._replace(occupancy=occupancy))
        choices = []
        for machine, slot in self._slots.items():
            if not slot.allowed(request) or room(slot.zone) <= 0:
                continue
            victims = self._victims_on(slot, need)
            if victims is None:
                continue
            choices.append(
                _Choice(
                    occupancy.zones.get(slot.zone, 0) if request.spread_zones else 0,
                    occupancy.machines.get(machine, 0),
                    request.image not in slot.images,
                    sum(victim.lost_s for victim in victims),
                    machine,
                    tuple(victims),
                )
            )
        return min(choices, default=None)

    def _victims_on(self, slot: Slot, need: ReplicaNeed) -> list[Victim] | None:
        """The least loss that makes room for one replica there; None if nothing does."""
        request = need.request
        left = slot.copy()
        over = dict(enumerate(self._over))
        taken: list[Victim] = []
        for victim in self._victims.get(slot.machine, ()):
            if left.fits(request):
                break
            if not may_displace(request, need.priority, need.guaranteed, victim, over[victim.team]):
                continue
            taken.append(victim)
            over[victim.team] -= victim.cores
            left.give_back(victim.cores, victim.accelerators, victim.ram_gb)
        return taken if left.fits(request) else None

    def _apply(self, choice: _Choice, request: PlacementRequest) -> None:
        slot = self._slots[choice.machine]
        for victim in choice.victims:
            self._victims[choice.machine].remove(victim)
            self._over[victim.team] -= victim.cores
            slot.give_back(victim.cores, victim.accelerators, victim.ram_gb)
        slot.take(request)
