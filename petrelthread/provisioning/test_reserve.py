"""Room kept for services that are likely to come or to be lost."""

from __future__ import annotations

from petrelthread.provisioning.reserve import Arrivals, lost_with_a_zone, standing_reserve

BOOT_S = 35.0


def test_what_came_lately_is_expected_to_go_on() -> None:
    services = Arrivals()
    for at in range(0, 90, 10):
        services.note(float(at), 4.0)
    assert services.expected_cores(89.0, BOOT_S) == 36.0 / 90.0 * 45.0
    assert services.expected_cores(300.0, BOOT_S) == 0.0
    assert services.largest(300.0) == 0.0


def test_a_lost_zones_replicas_find_room_in_the_others_though_services_go_on_coming() -> None:
    """With room for only one of the two, replicas waited up to 36 s when a zone was lost."""
    services = Arrivals([(0.0, 8.0)])
    without = standing_reserve(services, 1.0, BOOT_S, 0.0, 3)
    assert without == 16.0  # twice the largest
    # 60 replicas in three zones are 20 in each; after a loss 30 in each of two.
    assert standing_reserve(services, 1.0, BOOT_S, 60.0, 3) == without + 30.0
    assert lost_with_a_zone(60.0, 4) == 20.0


def test_no_room_is_kept_where_nothing_can_move() -> None:
    """At most half of a service may be in one zone, also in the last of two."""
    assert lost_with_a_zone(60.0, 2) == lost_with_a_zone(60.0, 1) == 0.0


def test_the_rate_of_services_is_taken_over_the_time_since_they_began() -> None:
    """Over the whole window it was a third of the true rate at first, and replicas waited."""
    begun = [(100.0, 6.0), (110.0, 6.0), (120.0, 6.0), (130.0, 6.0)]
    assert Arrivals(begun, ramps=True).expected_cores(130.0, BOOT_S) == 24.0 / 30.0 * 45.0
    assert Arrivals(begun).expected_cores(130.0, BOOT_S) == 24.0 / 90.0 * 45.0
    # A single job does not say more than that one came within the least span.
    assert Arrivals([(100.0, 6.0)], ramps=True).expected_cores(100.0, BOOT_S) == 9.0
