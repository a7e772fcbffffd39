"""Back-off from offers of the cloud that had no capacity."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.provisioning.plan import OfferKey

INITIAL_BACKOFF_S = 10.0
MAX_BACKOFF_S = 20.0


class _Backoff(NamedTuple):
    until: float  # instant of the event loop's clock
    pause_s: float


_NONE = _Backoff(0.0, 0.0)
_BEFORE_FIRST = _Backoff(0.0, INITIAL_BACKOFF_S / 2)


class OfferBackoff:
    """Remembers the cloud's answers by offer. Each refused offer has its own back-off."""

    def __init__(self) -> None:
        self._backoffs: dict[OfferKey, _Backoff] = {}
        self._filled: set[OfferKey] = set()
        self._tried: set[OfferKey] = set()

    def record_refusal(self, offer: OfferKey, now: float) -> None:
        """The offer gave less than was asked for: do not ask again until the back-off ends."""
        self._tried.add(offer)
        last_pause_s = self._backoffs.get(offer, _BEFORE_FIRST).pause_s
        pause_s = min(MAX_BACKOFF_S, last_pause_s * 2)
        self._backoffs[offer] = _Backoff(now + pause_s, pause_s)
        self._filled.discard(offer)

    def record_grant(self, offer: OfferKey) -> None:
        """The offer gave all that was asked for."""
        self.reset(offer)
        self._filled.add(offer)
        self._tried.add(offer)

    def was_tried(self, offer: OfferKey) -> bool:
        """Whether the offer has answered before."""
        return offer in self._tried

    def reset(self, offer: OfferKey) -> None:
        """End the back-off, for example because a machine of the offer was scaled in."""
        self._backoffs.pop(offer, None)

    def last_filled(self, offer: OfferKey) -> bool:
        """Whether the last answer gave all that was asked for."""
        return offer in self._filled

    def is_available(self, offer: OfferKey, now: float) -> bool:
        """Whether the offer may be asked now."""
        return now >= self._backoffs.get(offer, _NONE).until

    def active(self, now: float) -> list[OfferKey]:
        """The offers that must not be asked now."""
        return [offer for offer, backoff in self._backoffs.items() if backoff.until > now]
