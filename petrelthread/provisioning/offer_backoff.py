"""Backoff from offers of the cloud that lacked capacity."""

from __future__ import annotations

from typing import NamedTuple

from petrelthread.provisioning.plan import OfferKey

INITIAL_BACKOFF_S = 10.0
MAX_BACKOFF_S = 20.0


class _Backoff(NamedTuple):
    until: float  # event loop time
    delay_s: float


_NONE = _Backoff(0.0, 0.0)
_BEFORE_FIRST = _Backoff(0.0, INITIAL_BACKOFF_S / 2)


class OfferBackoff:
    """Records the cloud's responses by offer. Each refused offer has its own backoff."""

    def __init__(self) -> None:
        self._backoffs: dict[OfferKey, _Backoff] = {}
        self._filled: set[OfferKey] = set()
        self._tried: set[OfferKey] = set()

    def record_refusal(self, offer: OfferKey, now: float) -> None:
        """Start a backoff of the offer, which gave fewer machines than requested."""
        self._tried.add(offer)
        last_delay_s = self._backoffs.get(offer, _BEFORE_FIRST).delay_s
        delay_s = min(MAX_BACKOFF_S, last_delay_s * 2)
        self._backoffs[offer] = _Backoff(now + delay_s, delay_s)
        self._filled.discard(offer)

    def record_grant(self, offer: OfferKey) -> None:
        """Record that the offer gave all requested machines, and end its backoff."""
        self.reset(offer)
        self._filled.add(offer)
        self._tried.add(offer)

    def was_tried(self, offer: OfferKey) -> bool:
        """Whether the offer has responded before."""
        return offer in self._tried

    def reset(self, offer: OfferKey) -> None:
        """End the backoff, for example because a machine of the offer was scaled in."""
        self._backoffs.pop(offer, None)

    def last_filled(self, offer: OfferKey) -> bool:
        """Whether the last response gave all requested machines."""
        return offer in self._filled

    def is_available(self, offer: OfferKey, now: float) -> bool:
        """Whether the offer has no active backoff."""
        return now >= self._backoffs.get(offer, _NONE).until

    def active(self, now: float) -> list[OfferKey]:
        """The offers with an active backoff."""
        return [offer for offer, backoff in self._backoffs.items() if backoff.until > now]
