"""One machine and the state machine of its health."""

from __future__ import annotations

from enum import Enum


class Health(Enum):
    BOOTING = "booting"  # rented or listed; its worker has not reported yet
    UP = "up"
    DRAINING = "draining"  # to be taken by the cloud, or to be returned: nothing new goes there
    UNRESPONSIVE = "silent"  # no report for too long; its tasks may still run
    TERMINATING = "returning"  # a return is recorded or sent, not confirmed
    TERMINATED = "gone"  # the cloud has confirmed it


TRANSITIONS = {
    Health.BOOTING: {Health.UP, Health.DRAINING, Health.UNRESPONSIVE, Health.TERMINATING},
    Health.UP: {Health.DRAINING, Health.UNRESPONSIVE, Health.TERMINATING},
    Health.DRAINING: {Health.UNRESPONSIVE, Health.TERMINATING, Health.UP},
    Health.UNRESPONSIVE: {Health.UP, Health.DRAINING, Health.TERMINATING},
    Health.TERMINATING: {Health.TERMINATED, Health.UNRESPONSIVE},
    Health.TERMINATED: set(),
}


# What decides whether, and for what, a machine may be given work: see ``placement.free_room``.
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


class Machine:
    """What the leader knows of one machine. A change of a deciding field marks it as changed."""

    __slots__ = (
        "_changed",
        "acknowledged_epoch",
        "address",
        "answered_epoch",
        "commands_in_flight",
        "cordoned",
        "failed_probes",
        "failed_reads",
        "health",
        "highest_token",
        "idle_since",
        "ignored_starts",
        "ignored_starts_since",
        "images",
        "incarnation",
        "incarnation_seen_at",
        "index",
        "last_message_at",
        "last_read_at",
        "last_seen_at",
        "last_unanswered_at",
        "lease_losses",
        "lease_lost_at",
        "lease_renewed_at",
        "listed",
        "machine_type",
        "missing_from_lists",
        "name",
        "partition_reason",
        "probing",
        "quarantine_reason",
        "registered_at",
        "renewed_without_gap_since",
        "rented_at",
        "scale_out_key",
        "sequence_number",
        "spot",
        "spot_notice_at",
        "spot_notice_s",
        "zone",
    )

    def __init__(self, index: int, name: str, now: float, changed: set[int] | None = None) -> None:
        """``changed``: where the machine's index is added whenever a deciding field changes."""
        self._changed: set[int] = set() if changed is None else changed
        self.index = index
        self._changed.add(index)
        self.name = name
        self.health = Health.BOOTING
        self.address = ""
        self.machine_type = -1
        self.zone = -1
        self.spot = False
        self.incarnation = 0
        self.incarnation_seen_at = now  # when it first showed: the session had begun by then
        self.sequence_number = -1
        self.highest_token = 0
        # The epoch in which the worker last showed that it knows that epoch: it has heard us, and
        # takes nothing from an older leader any more.
        self.acknowledged_epoch = 0
        self.answered_epoch = 0  # in which a report of it was last answered
        self.last_read_at = float("-inf")  # when the leader last tried to read it by itself
        self.failed_reads = 0  # how often in a row it did not answer that
        self.last_seen_at = now  # when it last showed that it is alive
        self.last_message_at = now  # when its newest message came
        self.lease_renewed_at = (
            0.0  # last instant at which an answer of ours may have renewed its lease
        )
        self.renewed_without_gap_since = now  # no long gap between answered reports since then
        self.ignored_starts = 0  # reports in a row that lacked a start told in an earlier answer
        self.ignored_starts_since = 0.0
        self.lease_losses = 0  # times that its lease ended although its reports were answered
        self.lease_lost_at = 0.0
        self.partition_reason = ""  # why it seems not to hear us, though its reports arrive
        self.registered_at = now
        self.rented_at = now
        self.idle_since = now
        self.spot_notice_s: float | None = None
        self.spot_notice_at = 0.0
        self.listed = False
        self.missing_from_lists = 0  # lists in a row without it, since it was listed
        self.scale_out_key = ""
        self.failed_probes = 0  # in a row, of those sent because a report is overdue
        self.probing = False
        self.commands_in_flight = 0  # direct commands now under way
        self.last_unanswered_at = 0.0  # when a direct command was last given up
        self.images: dict[int, float] = {}  # cached images in order of last use, with their size
        self.quarantine_reason = ""
        self.cordoned = False  # surplus: gets nothing new as long as that lasts

    def __setattr__(self, name: str, value: object) -> None:
        if name in SCHEDULING_FIELDS and getattr(self, name, None) != value:
            self._changed.add(self.index)
        super().__setattr__(name, value)

    def transition(self, target: Health) -> None:
        """The one place where a machine's health changes."""
        if target is self.health:
            return
        assert target in TRANSITIONS[self.health], f"{self.name}: {self.health} to {target}"
        self.health = target

    @property
    def accepts_work(self) -> bool:
        """May be given work."""
        return self.health is Health.UP and not self.quarantine_reason and not self.partition_reason

    def use_image(self, image: int, size_gb: float, cache_gb: float) -> None:
        """The image is cached, as the one used last; the oldest give way to it."""
        if image not in self.images:
            self._changed.add(self.index)
        self.images.pop(image, None)
        self.images[image] = size_gb
        total = sum(self.images.values())
        while total > cache_gb and len(self.images) > 1:
            oldest = next(iter(self.images))
            total -= self.images.pop(oldest)

    def forget_images(self) -> None:
        """A new session begins with an empty cache."""
        self.images.clear()
        self._changed.add(self.index)
