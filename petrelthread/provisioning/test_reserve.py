"""Reserves for work that may arrive and for replicas that may be lost."""

from __future__ import annotations

from petrelthread.provisioning.reserve import Arrivals, service_reserve_cores, zone_loss_reserve

BOOT_S = 35.0


def test_recent_rate_is_expected_to_continue() -> None:
    services = Arrivals()
    for at in range(0, 90, 10):
        services.record(float(at), 4.0)
    assert services.expected_cores(89.0, BOOT_S) == 36.0 / 90.0 * 45.0
    assert services.expected_cores(300.0, BOOT_S) == 0.0
    assert services.largest_cores(300.0) == 0.0


def test_reserve_covers_lost_zone_and_arriving_services_together() -> None:
    """With a reserve for only one of the two, replicas wait for machines when a zone is lost."""
    services = Arrivals([(0.0, 8.0)])
    without = service_reserve_cores(services, 1.0, BOOT_S, 0.0, 3)
    assert without == 16.0  # twice the largest
    # 60 replicas are 20 in each of three zones; after the loss of one, 30 in each of two.
    assert service_reserve_cores(services, 1.0, BOOT_S, 60.0, 3) == without + 30.0
    assert zone_loss_reserve(60.0, 4) == 20.0


def test_no_zone_loss_reserve_for_fewer_than_three_zones() -> None:
    """At most half of a service's replicas may be in one zone, even in the last of two."""
    assert zone_loss_reserve(60.0, 2) == zone_loss_reserve(60.0, 1) == 0.0


def test_ramping_rate_is_taken_over_time_since_first_arrival() -> None:
    """Over the whole window, the rate would be underestimated at first."""
    begun = [(100.0, 6.0), (110.0, 6.0), (120.0, 6.0), (130.0, 6.0)]
    assert Arrivals(begun, ramping=True).expected_cores(130.0, BOOT_S) == 24.0 / 30.0 * 45.0
    assert Arrivals(begun).expected_cores(130.0, BOOT_S) == 24.0 / 90.0 * 45.0
    # A single arrival counts as one in the minimum span.
    assert Arrivals([(100.0, 6.0)], ramping=True).expected_cores(100.0, BOOT_S) == 9.0
