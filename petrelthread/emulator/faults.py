"""Faults of a soak: their kinds, the schedule that a seed draws, and their effect on links."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

STATE, CLOUD = "state", "cloud"  # names of the two services on links
# Delay of late messages: half of them come within 3 s, one in six after the time limit of a
# cancellation, one in twenty after more than two minutes.
MIN_DELAY_S, MAX_DELAY_S = 0.8, 300.0
DELAY_TAIL = 0.6  # exponent of the Pareto distribution
MIN_HELD_S = 18.0  # held commands are delayed beyond the time limit of a cancellation
DELAYED_SHARE = 0.5  # of the late writes that are carried out late; the others only lose the answer


class FaultKind(Enum):
    """Kinds of faults. Values are shown in a soak's results."""

    KILL_CONTROLLER = "kill"
    KILL_ALL = "kill-all"
    PAUSE_CONTROLLER = "pause"
    CUT_FROM_STATE = "cut-from-state"
    CUT_FROM_STATE_AND_PEERS = "cut-from-state-and-peers"
    CUT_FROM_PEERS = "cut-from-peers"
    REFUSED_BY_STATE = "refused-by-state"
    STATE_OUTAGE = "state-outage"
    LATE_WRITES = "late-writes"
    LATE_COMMANDS = "late-commands"
    LATE_REPORTS = "late-reports"
    CLOUD_OUTAGE = "cloud-outage"
    MACHINES_DIE = "machines-die"
    MACHINE_HANGS = "machine-hangs"
    MACHINE_NOT_RECEIVING = "machine-not-receiving"
    MACHINE_NOT_SENDING = "machine-not-sending"
    COMMANDS_HELD = "commands-held"
    MACHINE_FAULTY = "machine-faulty"
    ZONE_CUT = "zone-cut"


# Shortest and longest duration in seconds; of a kill, until the process is started again.
DURATION_S: dict[FaultKind, tuple[float, float]] = {
    FaultKind.KILL_CONTROLLER: (0.1, 3.0),
    FaultKind.KILL_ALL: (0.1, 4.0),
    FaultKind.PAUSE_CONTROLLER: (0.5, 9.0),
    FaultKind.CUT_FROM_STATE: (1.0, 9.0),
    FaultKind.CUT_FROM_STATE_AND_PEERS: (2.0, 12.0),
    FaultKind.CUT_FROM_PEERS: (1.0, 9.0),
    FaultKind.REFUSED_BY_STATE: (1.0, 8.0),
    FaultKind.STATE_OUTAGE: (0.5, 8.0),
    FaultKind.LATE_WRITES: (4.0, 12.0),
    FaultKind.LATE_COMMANDS: (4.0, 12.0),
    FaultKind.LATE_REPORTS: (4.0, 12.0),
    FaultKind.CLOUD_OUTAGE: (1.0, 5.0),
    FaultKind.MACHINES_DIE: (0.0, 0.0),
    FaultKind.MACHINE_HANGS: (0.5, 10.0),
    FaultKind.MACHINE_NOT_RECEIVING: (2.0, 12.0),
    FaultKind.MACHINE_NOT_SENDING: (2.0, 12.0),
    FaultKind.COMMANDS_HELD: (8.0, 40.0),
    FaultKind.MACHINE_FAULTY: (5.0, 15.0),
    FaultKind.ZONE_CUT: (2.0, 12.0),
}


class Fault(NamedTuple):
    """One fault. Times are in seconds since the start."""

    kind: FaultKind
    begins_s: float
    lasts_s: float
    draw: float  # 0 to 1: selects the target


# Late messages are most dangerous if the leader changes before they arrive.
LATE_KINDS = (FaultKind.LATE_WRITES, FaultKind.LATE_COMMANDS, FaultKind.LATE_REPORTS)
LEADER_LOSSES = (
    FaultKind.KILL_CONTROLLER,
    FaultKind.PAUSE_CONTROLLER,
    FaultKind.CUT_FROM_STATE_AND_PEERS,
)
LEADER_LOSS_SHARE = 0.6  # of late messages during which the leader is lost
LEADER_DRAW = 0.0  # selects the leader, if there is one
# A new leader invalidates what its predecessor sent; a leader that stays must do so by itself. In
# this share of the seeds no fault affects controllers or the state service.
LEADER_STAYS_SHARE = 0.5
LEADER_STAYS_KINDS = (
    FaultKind.LATE_COMMANDS,
    FaultKind.LATE_REPORTS,
    FaultKind.CLOUD_OUTAGE,
    FaultKind.MACHINES_DIE,
    FaultKind.MACHINE_HANGS,
    FaultKind.MACHINE_NOT_RECEIVING,
    FaultKind.MACHINE_FAULTY,
    FaultKind.COMMANDS_HELD,
)


def draw_faults(randomness: random.Random, seconds: float, every_s: float) -> list[Fault]:
    """Draw faults for some seconds, one each ``every_s`` in the mean. All end in time."""
    faults = []
    at = randomness.uniform(1.0, 2 * every_s)
    leader_stays = randomness.random() < LEADER_STAYS_SHARE
    kinds = LEADER_STAYS_KINDS if leader_stays else tuple(FaultKind)
    while at < seconds:
        fault = _draw_fault(randomness, randomness.choice(kinds), at, seconds)
        faults.append(fault)
        leader_lost = not leader_stays and randomness.random() < LEADER_LOSS_SHARE
        if fault.kind in LATE_KINDS and leader_lost:
            lost_at = at + randomness.uniform(0.2, 1.0) * fault.lasts_s
            loss = _draw_fault(randomness, randomness.choice(LEADER_LOSSES), lost_at, seconds)
            faults.append(loss._replace(draw=LEADER_DRAW))
        at += randomness.expovariate(1.0 / every_s)
    return faults


def _draw_fault(
    randomness: random.Random, kind: FaultKind, begins_s: float, seconds: float
) -> Fault:
    lasts_s = min(randomness.uniform(*DURATION_S[kind]), seconds - begins_s)
    return Fault(kind, begins_s, lasts_s, randomness.random())


class Fate(NamedTuple):
    """What happens to one request."""

    lost: bool = False
    delay_s: float = 0.0
    answer_lost: bool = False


DELIVERED = Fate()


def draw_late_s(randomness: random.Random) -> float:
    """Delay of a late message in seconds: long-tailed, up to several minutes."""
    return min(MAX_DELAY_S, MIN_DELAY_S * randomness.paretovariate(DELAY_TAIL))


@dataclass
class LinkFaults:
    """Present faults of links, given by the names of controllers, machines and services."""

    randomness: random.Random
    cut: set[frozenset[str]] = field(default_factory=set)
    # Machines with one-way partitions.
    not_receiving: set[str] = field(default_factory=set)
    not_sending: set[str] = field(default_factory=set)
    # Machines with working heartbeats to which direct commands are held until the given instant.
    commands_held_until: dict[str, float] = field(default_factory=dict)
    late_writes: float = 0.0  # share of the messages, as below
    late_commands: float = 0.0
    late_reports: float = 0.0

    def fate(self, source: str, destination: str, target: str) -> Fate:
        """What happens to a request to a service or a machine."""
        lost = destination in self.not_receiving or source in self.not_sending
        if lost or frozenset((source, destination)) in self.cut:
            return Fate(lost=True)
        chance = self.randomness.random()
        if destination == STATE and target == "/multi" and chance < self.late_writes:
            late = self.randomness.random() < DELAYED_SHARE
            delay_s = draw_late_s(self.randomness) if late else 0.0
            return Fate(delay_s=delay_s, answer_lost=True)
        if target == "/do" and destination in self.commands_held_until:
            now = asyncio.get_running_loop().time()
            delay_s = max(MIN_HELD_S, self.commands_held_until[destination] - now)
            return Fate(delay_s=delay_s, answer_lost=True)
        if target == "/do" and chance < self.late_commands:
            return Fate(delay_s=draw_late_s(self.randomness), answer_lost=True)
        if source in self.not_receiving or destination in self.not_sending:
            # A machine that cannot send still answers on connections that others have opened.
            return Fate(answer_lost=source in self.not_receiving)
        return DELIVERED

    def copy_delay_s(self, target: str) -> float | None:
        """After how many seconds a copy of the request arrives again, or None."""
        if target == "/checkin" and self.randomness.random() < self.late_reports:
            return draw_late_s(self.randomness)
        return None

    def heal(self) -> None:
        """End all faults of links."""
        self.cut.clear()
        self.not_receiving.clear()
        self.not_sending.clear()
        self.commands_held_until.clear()
        self.late_writes = self.late_commands = self.late_reports = 0.0
