"""Faults of a soak: which there are, when they begin, and what they do to links and processes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

STATE, CLOUD = "state", "cloud"  # names of the two services on links
# How late a late message is carried out: half of them within 3 s, one in six past the time that a
# cancellation has, one in twenty past two minutes.
LATE_LEAST_S, LATE_MOST_S = 0.8, 300.0
LATE_TAIL = 0.6  # exponent of the Pareto distribution
HELD_LEAST_S = 18.0  # a held command is on its way for longer than a cancellation has


class FaultKind(Enum):
    """One kind of trouble."""

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


# Seconds that each lasts, shortest and longest; of a kill, until the process is started again.
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
    """One trouble: when it begins, in seconds since the start, and how long it lasts."""

    kind: FaultKind
    begins_s: float
    lasts_s: float
    draw: float  # 0 to 1: what it strikes, of all that it may


# Messages that come late do harm when the leader changes before they do.
LATE_KINDS = (FaultKind.LATE_WRITES, FaultKind.LATE_COMMANDS, FaultKind.LATE_REPORTS)
LEADER_ENDS = (
    FaultKind.KILL_CONTROLLER,
    FaultKind.PAUSE_CONTROLLER,
    FaultKind.CUT_FROM_STATE_AND_PEERS,
)
MEETING_SHARE = 0.6  # of late messages that meet the end of the leader
STRIKES_LEADER = 0.0  # the draw that strikes the leader, if there is one
# A new leader makes void what an older one sent: a leader that lives on has to do so by itself. In
# this share of the seeds nothing strikes controllers and the state service.
LEADER_LIVES_SHARE = 0.5
LEADER_LIVES_KINDS = (
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
    """Faults for so many seconds, one each ``every_s`` in the mean; all end in time."""
    faults = []
    at = randomness.uniform(1.0, 2 * every_s)
    leader_lives = randomness.random() < LEADER_LIVES_SHARE
    kinds = LEADER_LIVES_KINDS if leader_lives else tuple(FaultKind)
    while at < seconds:
        fault = _draw_fault(randomness, randomness.choice(kinds), at, seconds)
        faults.append(fault)
        meets = not leader_lives and randomness.random() < MEETING_SHARE
        if fault.kind in LATE_KINDS and meets:
            meets_at = at + randomness.uniform(0.2, 1.0) * fault.lasts_s
            meeting = _draw_fault(randomness, randomness.choice(LEADER_ENDS), meets_at, seconds)
            faults.append(meeting._replace(draw=STRIKES_LEADER))
        at += randomness.expovariate(1.0 / every_s)
    return faults


def _draw_fault(
    randomness: random.Random, kind: FaultKind, begins_s: float, seconds: float
) -> Fault:
    lasts_s = min(randomness.uniform(*DURATION_S[kind]), seconds - begins_s)
    return Fault(kind, begins_s, lasts_s, randomness.random())


class Fate(NamedTuple):
    """What becomes of one request."""

    lost: bool = False
    delay_s: float = 0.0
    answer_lost: bool = False


DELIVERED = Fate()


def draw_late_s(randomness: random.Random) -> float:
    """How late a message is, in seconds: long-tailed, up to several minutes."""
    return min(LATE_MOST_S, LATE_LEAST_S * randomness.paretovariate(LATE_TAIL))


@dataclass
class LinkFaults:
    """What is wrong with the links now. Ends of links are named after controllers and machines."""

    randomness: random.Random
    cut: set[frozenset[str]] = field(default_factory=set)
    not_receiving: set[str] = field(
        default_factory=set
    )  # their requests arrive, nothing comes back
    not_sending: set[str] = field(default_factory=set)  # they reach nobody, commands reach them
    # Machines that report and are answered, while direct commands to them are held until then.
    commands_held_until: dict[str, float] = field(default_factory=dict)
    late_writes: float = 0.0  # share
    late_commands: float = 0.0
    late_reports: float = 0.0

    def fate(self, source: str, destination: str, target: str) -> Fate:
        """What becomes of a request on its way to a service or a machine."""
        lost = destination in self.not_receiving or source in self.not_sending
        if lost or frozenset((source, destination)) in self.cut:
            return Fate(lost=True)
        chance = self.randomness.random()
        if destination == STATE and target == "/multi" and chance < self.late_writes:
            late = self.randomness.random() < 0.5
            delay_s = draw_late_s(self.randomness) if late else 0.0
            return Fate(delay_s=delay_s, answer_lost=True)
        if target == "/do" and destination in self.commands_held_until:
            now = asyncio.get_running_loop().time()
            delay_s = max(HELD_LEAST_S, self.commands_held_until[destination] - now)
            return Fate(delay_s=delay_s, answer_lost=True)
        if target == "/do" and chance < self.late_commands:
            return Fate(delay_s=draw_late_s(self.randomness), answer_lost=True)
        if source in self.not_receiving or destination in self.not_sending:
            # A machine that can't send still answers on connections that others have opened.
            return Fate(answer_lost=source in self.not_receiving)
        return DELIVERED

    def copy_delay_s(self, target: str) -> float | None:
        """Whether a copy of the request arrives again, and how much later."""
        if target == "/checkin" and self.randomness.random() < self.late_reports:
            return draw_late_s(self.randomness)
        return None

    def heal(self) -> None:
        """All links are well again."""
        self.cut.clear()
        self.not_receiving.clear()
        self.not_sending.clear()
        self.commands_held_until.clear()
        self.late_writes = self.late_commands = self.late_reports = 0.0
