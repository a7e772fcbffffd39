"""One machine as the leader knows it, and the state machine of its health."""

from __future__ import annotations

from dataclasses import InitVar, dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

NEVER = float("-inf")


class Health(Enum):
    """Where a machine is in its life; the values are shown by the administration API.

    The usual way is BOOTING, UP, TERMINATING, TERMINATED. ``Machine.transition`` makes every
    change and permits only the steps in ``TRANSITIONS``:

    - UP: ``HeartbeatReconciler``, on the first heartbeat, or on an answered one afterwards.
    - DRAINING: ``HeartbeatReconciler``, when the heartbeat carries a spot termination notice.
    - UNRESPONSIVE: ``FailureDetector`` only.
    - TERMINATING, TERMINATED: the provisioner, when a return is recorded and when it is confirmed.
    """

    BOOTING = "booting"  # rented or listed by the cloud; its worker has not reported yet
    UP = "up"
    DRAINING = "draining"  # about to be reclaimed or returned: receives no new work
    UNRESPONSIVE = "silent"  # no heartbeat for too long; its tasks may still run
    TERMINATING = "returning"  # its return is recorded or sent, but not confirmed
    TERMINATED = "gone"  # the cloud has confirmed the return


TRANSITIONS = {
    Health.BOOTING: {Health.UP, Health.DRAINING, Health.UNRESPONSIVE, Health.TERMINATING},
    Health.UP: {Health.DRAINING, Health.UNRESPONSIVE, Health.TERMINATING},
    Health.DRAINING: {Health.UNRESPONSIVE, Health.TERMINATING, Health.UP},
    Health.UNRESPONSIVE: {Health.UP, Health.DRAINING, Health.TERMINATING},
    Health.TERMINATING: {Health.TERMINATED, Health.UNRESPONSIVE},
    Health.TERMINATED: set(),
}


# Names of the attributes of Machine that decide whether, and for what, it may be given work. A
# change of one of them makes the scheduler look at the machine again.
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
    """What the leader knows of one machine.

    Fields that end in ``_at`` or ``_since`` are instants of the event loop's clock, those in
    ``_s`` durations; both are in seconds. Nothing of this is durable.
    """

    # Identity, from the cloud's list or the worker's heartbeat
    index: int  # among the interned machine names
    name: str
    now: InitVar[float]
    # Receives the machine's index whenever a scheduling field changes.
    changed_machines: set[int] = field(default_factory=set, repr=False)
    address: str = ""  # host:port of the worker; empty while unknown
    machine_type: int = -1  # among the interned type names; -1 while unknown
    zone: int = -1  # among the interned zone names; -1 while unknown
    spot: bool = False  # else on-demand

    # Life cycle
    health: Health = Health.BOOTING
    registered_at: float = field(init=False)  # when this leader first knew of it
    rented_at: float = field(init=False)
    idle_since: float = field(init=False)  # when it last had a task, or came up
    scale_out_key: str = ""  # key of the scale-out record that brought it; empty if none is known
    listed: bool = False  # the cloud's list has contained it
    missing_from_lists: int = 0  # consecutive lists that lacked it since then
    spot_notice_s: float | None = None  # time left until the cloud reclaims it, as last reported
    spot_notice_at: float = 0.0  # when the notice first came

    # Heartbeats
    incarnation: int = 0  # of its worker; 0 until the first heartbeat
    incarnation_seen_at: float = field(init=False)  # first heartbeat of that incarnation
    sequence_number: int = -1  # of the newest heartbeat
    last_message_at: float = field(init=False)  # newest heartbeat or command response
    last_seen_at: float = field(init=False)  # newest proof that the worker is alive

    # Fencing
    highest_token: int = 0  # the worker refuses commands with a lower one
    acknowledged_epoch: int = 0  # newest epoch that the worker has shown to know
    answered_epoch: int = 0  # newest epoch in which a heartbeat of it was answered

    # Lease of the worker
    lease_renewed_at: float = 0.0  # last instant at which an answer may have renewed it
    renewed_without_gap_since: float = field(init=False)  # renewals came often enough since then
    lease_losses: int = 0  # consecutive expiries although the heartbeats were answered
    lease_lost_at: float = 0.0  # the newest of them

    # Checks by the leader itself
    last_read_at: float = NEVER  # when it last tried to read the worker's status
    failed_reads: int = 0  # consecutive reads without a response
    probing: bool = False  # a probe is under way
    failed_probes: int = 0  # consecutive probes without a response

    # Direct commands
    commands_in_flight: int = 0
    last_unanswered_at: float = 0.0  # when a command was last given up without a response

    # Exclusion from scheduling
    ignored_starts: int = 0  # consecutive heartbeats without a start that was sent before
    ignored_starts_since: float = 0.0
    partition_reason: str = ""  # why a one-way partition is suspected; empty if it is not
    quarantine_reason: str = ""  # why it has to be returned; empty if it has not
    cordoned: bool = False  # surplus capacity: receives no new work for the time being

    images: dict[int, float] = field(default_factory=dict)
    """The cached images by index, least recently used first, with their size in GB."""

    def __post_init__(self, now: float) -> None:
        self.registered_at = now
        self.rented_at = now
        self.idle_since = now
        self.incarnation_seen_at = now
        self.last_message_at = now
        self.last_seen_at = now
        self.renewed_without_gap_since = now

    if not TYPE_CHECKING:  # A visible __setattr__ would let assignments to unknown names pass mypy.

        def __setattr__(self, name: str, value: object) -> None:
            if name in SCHEDULING_FIELDS and getattr(self, name, None) != value:
                self.changed_machines.add(self.index)
            object.__setattr__(self, name, value)

    def transition(self, target: Health) -> None:
        """Change the machine's health; the only place that does."""
        if target is self.health:
            return
        assert target in TRANSITIONS[self.health], f"{self.name}: {self.health} to {target}"
        self.health = target

    @property
    def accepts_work(self) -> bool:
        """Whether its own condition lets it be given work; see ``Fleet.is_schedulable``."""
        return self.health is Health.UP and not self.quarantine_reason and not self.partition_reason

    def use_image(self, image: int, size_gb: float, cache_gb: float) -> None:
        """Mark a cached image as the one used last; evict the oldest beyond ``cache_gb``."""
        if image not in self.images:
            self.changed_machines.add(self.index)
        self.images.pop(image, None)
        self.images[image] = size_gb
        total = sum(self.images.values())
        while total > cache_gb and len(self.images) > 1:
            oldest = next(iter(self.images))
            total -= self.images.pop(oldest)

    def forget_images(self) -> None:
        """Empty the image cache, as a new incarnation does."""
        self.images.clear()
        self.changed_machines.add(self.index)
