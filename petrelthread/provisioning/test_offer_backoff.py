"""Backoff from offers without capacity."""

from __future__ import annotations

from petrelthread.provisioning import OfferBackoff, OfferKey

SPOT = OfferKey(0, 0, True)
ON_DEMAND = OfferKey(0, 0, False)


def test_refused_offer_backs_off_until_reset() -> None:
    backoff = OfferBackoff()
    backoff.record_refusal(SPOT, 0.0)
    assert not backoff.is_available(SPOT, 9.0)
    assert backoff.is_available(ON_DEMAND, 10.0)
    assert backoff.is_available(SPOT, 20.0)
    backoff.record_refusal(SPOT, 20.0)
    assert not backoff.is_available(SPOT, 35.0)
    # After a scale-in, the offer has capacity for that machine again.
    backoff.reset(SPOT)
    assert backoff.is_available(SPOT, 35.0)
