"""Faults of a soak: their kinds, the schedule drawn from a seed, and their effect on links."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

STATE, CLOUD = "state", "cloud"  # names of the two services in links
# Delay of late messages: half of them arrive within 3 s, one in six after the time limit of a
# cancellation, one in twenty after more than two minutes.
MIN_DELAY_S, MAX_DELAY_S = 0.8, 300.0
DELAY_PARETO_SHAPE = 0.6  # shape parameter of the Pareto distribution of delays
MIN_HELD_S = 18.0  # delay of held commands: beyond the time limit of a cancellation
DELAYED_SHARE = 0.5  # of the late writes that are delayed; the others only lose their response


class FaultKind(Enum):
    """Kinds of faults. A soak prints their values in its results."""

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
    LATE_HEARTBEATS = "late-reports"
    CLOUD_OUTAGE = "cloud-outage"
    MACHINES_DIE = "machines-die"
    MACHINE_HANGS = "machine-hangs"
    MACHINE_NOT_RECEIVING = "machine-not-receiving"
    MACHINE_NOT_SENDING = "machine-not-sending"
    COMMANDS_HELD = "commands-held"
    MACHINE_FAULTY = "machine-faulty"
    ZONE_CUT = "zone-cut"


# Shortest and longest duration in seconds. A kill lasts until the process is started again.
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
    FaultKind.LATE_HEARTBEATS: (4.0, 12.0),
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
    """One scheduled fault. ``begins_s`` is in seconds since the start of the soak."""

    kind: FaultKind
    begins_s: float
    lasts_s: float
    target_draw: float  # random number from 0 to 1 that selects the target


# Late messages are most dangerous if the leader changes before they arrive, so many of these faults
# come with a leader loss.
LATE_KINDS = (FaultKind.LATE_WRITES, FaultKind.LATE_COMMANDS, FaultKind.LATE_HEARTBEATS)
LEADER_LOSSES = (
    FaultKind.KILL_CONTROLLER,
    FaultKind.PAUSE_CONTROLLER,
    FaultKind.CUT_FROM_STATE_AND_PEERS,
)
LEADER_LOSS_SHARE = 0.6  # of the faults of LATE_KINDS during which the leader is lost
LEADER_DRAW = 0.0  # target_draw that selects the leader, if there is one
# A new leader invalidates the messages of its predecessor; a leader that stays must invalidate its
# own late messages. In this share of the seeds no fault affects controllers or the state service.
LEADER_STAYS_SHARE = 0.5
LEADER_STAYS_KINDS = (
    FaultKind.LATE_COMMANDS,
    FaultKind.LATE_HEARTBEATS,
    FaultKind.CLOUD_OUTAGE,
    FaultKind.MACHINES_DIE,
    FaultKind.MACHINE_HANGS,
    FaultKind.MACHINE_NOT_RECEIVING,
    FaultKind.MACHINE_FAULTY,
    FaultKind.COMMANDS_HELD,
)


def draw_faults(randomness: random.Random, seconds: float, every_s: float) -> list[Fault]:
    """Draw faults at a mean interval of ``every_s``. All of them end within ``seconds``."""
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
            faults.append(loss._replace(target_draw=LEADER_DRAW))
        at += randomness.expovariate(1.0 / every_s)
    return faults


def _draw_fault(
    randomness: random.Random, kind: FaultKind, begins_s: float, seconds: float
) -> Fault:
    lasts_s = min(randomness.uniform(*DURATION_S[kind]), seconds - begins_s)
    return Fault(kind, begins_s, lasts_s, randomness.random())


class Delivery(NamedTuple):
    """How one request and its response are delivered."""

    lost: bool = False
    delay_s: float = 0.0
    response_lost: bool = False


DELIVERED = Delivery()


def draw_delay_s(randomness: random.Random) -> float:
    """Draw the delay of a late message in seconds: heavy-tailed, up to ``MAX_DELAY_S``."""
    return min(MAX_DELAY_S, MIN_DELAY_S * randomness.paretovariate(DELAY_PARETO_SHAPE))


@dataclass
class LinkFaults:
    """The current faults of links, by the names of controllers, machines and services."""

    randomness: random.Random
    cut: set[frozenset[str]] = field(default_factory=set)
    # Machines with asymmetric partitions.
    not_receiving: set[str] = field(default_factory=set)
    not_sending: set[str] = field(default_factory=set)
    # By machine, the event loop time until which direct commands to it are held. Its heartbeats are
    # not affected.
    commands_held_until: dict[str, float] = field(default_factory=dict)
    late_writes: float = 0.0  # share of transactions that are delayed or lose their response
    # Share of direct commands that are delayed, without a response, and share of those carried out
    # of which a late copy arrives.
    late_commands: float = 0.0
    late_heartbeats: float = 0.0  # share of heartbeats of which a late duplicate arrives

    def delivery(self, source: str, destination: str, target: str) -> Delivery:
        """Decide how a request to a service or a machine is delivered."""
        lost = destination in self.not_receiving or source in self.not_sending
        if lost or frozenset((source, destination)) in self.cut:
            return Delivery(lost=True)
        draw = self.randomness.random()
        if destination == STATE and target == "/multi" and draw < self.late_writes:
            late = self.randomness.random() < DELAYED_SHARE
            delay_s = draw_delay_s(self.randomness) if late else 0.0
            return Delivery(delay_s=delay_s, response_lost=True)
        if target == "/do" and destination in self.commands_held_until:
            now = asyncio.get_running_loop().time()
            delay_s = max(MIN_HELD_S, self.commands_held_until[destination] - now)
            return Delivery(delay_s=delay_s, response_lost=True)
        if target == "/do" and draw < self.late_commands:
            return Delivery(delay_s=draw_delay_s(self.randomness), response_lost=True)
        if source in self.not_receiving or destination in self.not_sending:
            # A machine in ``not_sending`` still responds on connections that others have opened.
            return Delivery(response_lost=source in self.not_receiving)
        return DELIVERED

    def duplicate_delay_s(self, target: str) -> float | None:
        """After how many seconds a duplicate of the request arrives; None without a duplicate."""
        if target == "/checkin" and self.randomness.random() < self.late_heartbeats:
            return draw_delay_s(self.randomness)
        return None

    def copy_delay_s(self, target: str) -> float | None:
        """After how many seconds a copy of an executed request arrives; None without a copy."""
        if target == "/do" and self.randomness.random() < self.late_commands:
            return draw_delay_s(self.randomness)
        return None

    def clear_all(self) -> None:
        """End all faults of links."""
        self.cut.clear()
        self.not_receiving.clear()
        self.not_sending.clear()
        self.commands_held_until.clear()
        self.late_writes = self.late_commands = self.late_heartbeats = 0.0
