"""The leader's state of one machine, and the state machine of its health."""

from __future__ import annotations

from dataclasses import InitVar, dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

NEVER = float("-inf")


class Health(Enum):
    """The state of a machine in its life cycle; the administration API shows the values.

    The usual order is BOOTING, UP, TERMINATING, TERMINATED. All changes go through
    ``Machine.transition``, which permits only those in ``TRANSITIONS``. Who sets each state:

    - UP: ``HeartbeatReconciler``, on the first heartbeat of a BOOTING machine, or on an answered
      heartbeat of an UNRESPONSIVE one that has acknowledged the current epoch.
      ``MachineRegistry.begin_epoch`` sets it for BOOTING machines that have attempts, and for
      UNRESPONSIVE ones.
    - DRAINING: ``HeartbeatReconciler``, when the heartbeat carries a spot termination notice.
    - UNRESPONSIVE: ``FailureDetector`` only.
    - TERMINATING, TERMINATED: the provisioner, when a scale-in is recorded and when it is
      confirmed.
    """

    BOOTING = "booting"  # rented or listed by the cloud; no heartbeat received yet
    UP = "up"
    DRAINING = "draining"  # the cloud will reclaim it soon; no new work is placed on it
    # It sent no heartbeat in time, or did not respond to reads or probes; its tasks may still run.
    UNRESPONSIVE = "silent"
    TERMINATING = "returning"  # its scale-in is recorded or sent, but not confirmed
    TERMINATED = "gone"  # the cloud has confirmed the scale-in


TRANSITIONS = {
    Health.BOOTING: {Health.UP, Health.DRAINING, Health.UNRESPONSIVE, Health.TERMINATING},
    Health.UP: {Health.DRAINING, Health.UNRESPONSIVE, Health.TERMINATING},
    Health.DRAINING: {Health.UNRESPONSIVE, Health.TERMINATING, Health.UP},
    Health.UNRESPONSIVE: {Health.UP, Health.DRAINING, Health.TERMINATING},
    Health.TERMINATING: {Health.TERMINATED, Health.UNRESPONSIVE},
    Health.TERMINATED: set(),
}


# The attributes of Machine that decide whether work may be placed on it, and which. Changing one of
# them makes the scheduler reconsider the machine.
SCHEDULING_FIELDS = frozenset(
    {
        "acknowledged_epoch",
        "cordoned",
        "health",
        "machine_type",
        "partition_reason",
        "quarantine_reason",
        "scale_out_key",
        "spot",
        "zone",
    }
)


@dataclass(slots=True, eq=False)
class Machine:
    """The leader's state of one machine, kept in memory only.

    Fields that end in ``_at`` or ``_since`` are event loop times, those that end in ``_s`` are
    durations; both are in seconds.
    """

    # Identity, from the cloud's machine list or the worker's heartbeat
    index: int  # among the interned machine names
    name: str
    now: InitVar[float]
    # The machine's index is added to this set whenever a scheduling field changes.
    changed_machines: set[int] = field(default_factory=set, repr=False)
    address: str = ""  # host:port of the worker; empty while unknown
    machine_type: int = -1  # among the interned type names; -1 while unknown
    zone: int = -1  # among the interned zone names; -1 while unknown
    spot: bool = False  # spot, as opposed to on-demand

    # Life cycle
    health: Health = Health.BOOTING
    terminated_at: float = 0.0  # when the cloud's confirmation of the scale-in arrived
    registered_at: float = field(init=False)  # when this leader first learned of it
    rented_at: float = field(init=False)
    idle_since: float = field(init=False)  # when it last had a task, or became UP
    scale_out_key: str = ""  # key of the scale-out record that rented it; empty if unknown
    listed: bool = False  # whether the cloud's list has ever contained it
    missing_from_lists: int = 0  # consecutive lists without it since it was last listed
    spot_notice_s: float | None = None  # time left until the cloud reclaims it, as last reported
    spot_notice_at: float = 0.0  # when the notice was first received

    # Heartbeats
    incarnation: int = 0  # of its worker; 0 until the first heartbeat
    incarnation_seen_at: float = field(init=False)  # first heartbeat of that incarnation
    sequence_number: int = -1  # of the newest heartbeat
    last_message_at: float = field(init=False)  # newest heartbeat or command response
    last_seen_at: float = field(init=False)  # newest evidence that the worker is alive

    # Fencing
    highest_token: int = 0  # the worker rejects commands with a lower fencing token
    acknowledged_epoch: int = 0  # newest epoch that the worker is known to have seen
    answered_epoch: int = 0  # newest epoch in which one of its heartbeats was answered

    # Lease of the worker
    lease_renewed_at: float = 0.0  # when a heartbeat response may last have renewed it
    renewed_without_gap_since: float = field(init=False)  # since when no renewal was late
    lease_losses: int = 0  # consecutive expiries although heartbeats were answered
    lease_lost_at: float = 0.0  # time of the newest such expiry

    # Reads and probes of the worker's status
    last_read_at: float = NEVER  # when the leader last tried to read the status
    failed_reads: int = 0  # consecutive reads without a response
    probing: bool = False  # a probe is in flight
    failed_probes: int = 0  # consecutive probes without a response

    # Direct commands
    commands_in_flight: int = 0
    last_unanswered_at: float = 0.0  # when a command last timed out or failed without a response

    # Exclusion from scheduling
    ignored_starts: int = 0  # consecutive heartbeats that lack a start already delivered
    ignored_starts_since: float = 0.0
    partition_reason: str = ""  # why an asymmetric partition is suspected; empty if not
    quarantine_reason: str = ""  # why the machine must be scaled in; empty if not
    cordoned: bool = False  # surplus capacity: no new work is placed on it for now

    images: dict[int, float] = field(default_factory=dict)
    """The cached images by index, least recently used first, with their sizes in GB."""

    def __post_init__(self, now: float) -> None:
        self.registered_at = now
        self.rented_at = now
        self.idle_since = now
        self.incarnation_seen_at = now
        self.last_message_at = now
        self.last_seen_at = now
        self.renewed_without_gap_since = now

    if not TYPE_CHECKING:  # With a visible __setattr__, mypy accepts unknown attributes.

        def __setattr__(self, name: str, value: object) -> None:
            if name in SCHEDULING_FIELDS and getattr(self, name, None) != value:
                self.changed_machines.add(self.index)
            object.__setattr__(self, name, value)

    def transition(self, target: Health) -> None:
        """Change the machine's health. All changes of it go through this method."""
        if target is self.health:
            return
        assert target in TRANSITIONS[self.health], f"{self.name}: {self.health} to {target}"
        self.health = target

    @property
    def accepts_work(self) -> bool:
        """Whether it is UP, and neither quarantined nor suspected of an asymmetric partition."""
        return self.health is Health.UP and not self.quarantine_reason and not self.partition_reason

    def use_image(self, image: int, size_gb: float, cache_gb: float) -> None:
        """Mark an image as most recently used; evict the least recent ones beyond ``cache_gb``."""
        if image not in self.images:
            self.changed_machines.add(self.index)
        self.images.pop(image, None)
        self.images[image] = size_gb
        total = sum(self.images.values())
        while total > cache_gb and len(self.images) > 1:
            least_recent = next(iter(self.images))
            total -= self.images.pop(least_recent)

    def clear_images(self) -> None:
        """Empty the image cache; a new incarnation of the worker starts without images."""
        self.images.clear()
        self.changed_machines.add(self.index)
