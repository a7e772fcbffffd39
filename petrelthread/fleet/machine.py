"""One machine and the state machine of its health."""

from __future__ import annotations

from enum import Enum


class Health(Enum):
    BOOTING = "booting"  # rented or listed; its worker has not reported yet
    UP = "up"
    DRAINING = "draining"  # to be taken by the cloud, or to be returned: nothing new goes there
    SILENT = "silent"  # no report for too long; its tasks may still run
    RETURNING = "returning"  # a return is recorded or sent, not confirmed
    GONE = "gone"  # the cloud has confirmed it


STEPS = {
    Health.BOOTING: {Health.UP, Health.DRAINING, Health.SILENT, Health.RETURNING},
    Health.UP: {Health.DRAINING, Health.SILENT, Health.RETURNING},
    Health.DRAINING: {Health.SILENT, Health.RETURNING, Health.UP},
    Health.SILENT: {Health.UP, Health.DRAINING, Health.RETURNING},
    Health.RETURNING: {Health.GONE, Health.SILENT},
    Health.GONE: set(),
}


# What decides whether, and for what, a machine may be given work: see ``placement.free_room``.
DECIDING = frozenset(
    {
        "epoch_heard",
        "fault",
        "health",
        "not_receiving",
        "rental_key",
        "retiring",
        "spot",
        "type",
        "zone",
    }
)


class Machine:
    """What the leader knows of one machine. A change of a deciding field marks it as changed."""

    __slots__ = (
        "_changed",
        "addr",
        "answered_at",
        "answering_since",
        "epoch_answered",
        "epoch_heard",
        "fault",
        "health",
        "heard_at",
        "idle_since",
        "ignored",
        "ignored_since",
        "images",
        "index",
        "known_at",
        "lease_losses",
        "lease_lost_at",
        "listed",
        "missing",
        "name",
        "newest_at",
        "not_receiving",
        "notice_at",
        "notice_s",
        "probes_lost",
        "probing",
        "read_asked_at",
        "reads_lost",
        "rental_key",
        "rented_at",
        "retiring",
        "seen_token",
        "sending",
        "session",
        "session_at",
        "spot",
        "tick",
        "type",
        "unanswered_at",
        "zone",
    )

    def __init__(self, index: int, name: str, now: float, changed: set[int] | None = None) -> None:
        """``changed``: where the machine's index is added whenever a deciding field changes."""
        self._changed: set[int] = set() if changed is None else changed
        self.index = index
        self._changed.add(index)
        self.name = name
        self.health = Health.BOOTING
        self.addr = ""
        self.type = -1
        self.zone = -1
        self.spot = False
        self.session = 0
        self.session_at = now  # when it first showed: the session had begun by then
        self.tick = -1
        self.seen_token = 0
        # The epoch in which the worker last showed that it knows that epoch: it has heard us, and
        # takes nothing from an older leader any more.
        self.epoch_heard = 0
        self.epoch_answered = 0  # in which a report of it was last answered
        self.read_asked_at = float("-inf")  # when the leader last tried to read it by itself
        self.reads_lost = 0  # how often in a row it did not answer that
        self.heard_at = now  # when it last showed that it is alive
        self.newest_at = now  # when its newest message came
        self.answered_at = 0.0  # last instant at which an answer of ours may have renewed its lease
        self.answering_since = now  # no long gap between answered reports since then
        self.ignored = 0  # reports in a row that lacked a start told in an earlier answer
        self.ignored_since = 0.0
        self.lease_losses = 0  # times that its lease ended although its reports were answered
        self.lease_lost_at = 0.0
        self.not_receiving = ""  # why it seems not to hear us, though its reports arrive
        self.known_at = now
        self.rented_at = now
        self.idle_since = now
        self.notice_s: float | None = None
        self.notice_at = 0.0
        self.listed = False
        self.missing = 0  # lists in a row without it, since it was listed
        self.rental_key = ""
        self.probes_lost = 0  # in a row, of those sent because a report is overdue
        self.probing = False
        self.sending = 0  # direct commands now under way
        self.unanswered_at = 0.0  # when a direct command was last given up
        self.images: dict[int, float] = {}  # cached images in order of last use, with their size
        self.fault = ""
        self.retiring = False  # surplus: gets nothing new as long as that lasts

    def __setattr__(self, name: str, value: object) -> None:
        if name in DECIDING and getattr(self, name, None) != value:
            self._changed.add(self.index)
        super().__setattr__(name, value)

    def move(self, to: Health) -> None:
        """The one place where a machine's health changes."""
        if to is self.health:
            return
        assert to in STEPS[self.health], f"{self.name}: {self.health} to {to}"
        self.health = to

    @property
    def open(self) -> bool:
        """May be given work."""
        return self.health is Health.UP and not self.fault and not self.not_receiving

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
