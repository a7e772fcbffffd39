"""How much room to keep for work that has not come yet. Pure arithmetic on what came lately."""

from __future__ import annotations

from collections.abc import Iterable

WINDOW_S = 90.0  # arrivals of so long ago say what to expect
LEAST_SPAN_S = 30.0  # one job alone does not yet say how often they come
SLOW_BOOT_S = 10.0  # that a machine may take beyond the usual boot time
LIKELY_NEXT = 2.0  # services as large as the largest of late that may come while a machine boots
MOVABLE_ZONES = 3  # of as many, one may be lost and its replicas go to the others


class Arrivals:
    """Cores asked for by the jobs of some kind that arrived lately."""

    def __init__(self, seen: Iterable[tuple[float, float]] = (), ramps: bool = False) -> None:
        """``seen``: the instant and the cores of each job. ``ramps``: they begin at some moment and
        go on from there; over the whole window, their rate is underestimated at first."""
        self._seen = list(seen)
        self._ramps = ramps

    def note(self, now: float, cores: float) -> None:
        self._seen.append((now, cores))

    def expected_cores(self, now: float, boot_s: float) -> float:
        """Likely to be asked for while a machine boots, if arrivals go on as they did."""
        return self._cores_per_s(now) * (boot_s + SLOW_BOOT_S)

    def _cores_per_s(self, now: float) -> float:
        self._forget(now)
        return sum(cores for _, cores in self._seen) / self._span_s(now)

    def _span_s(self, now: float) -> float:
        """Over how long the arrivals are spread; shorter while they have only begun."""
        first_at = min((at for at, _ in self._seen), default=now)
        return min(WINDOW_S, max(LEAST_SPAN_S, now - first_at)) if self._ramps else WINDOW_S

    def largest(self, now: float) -> float:
        self._forget(now)
        return max((cores for _, cores in self._seen), default=0.0)

    def _forget(self, now: float) -> None:
        self._seen = [(at, cores) for at, cores in self._seen if now - at < WINDOW_S]


def lost_with_a_zone(spread_cores: float, zones: int) -> float:
    """Cores that the other zones need when one of ``zones`` is lost.

    ``spread_cores``: of services that are spread over all zones. With two zones left, half of a
    service may be in each. With fewer there is no room to keep: the zone that is left already has
    all that it may have.
    """
    if zones < MOVABLE_ZONES:
        return 0.0
    return spread_cores / (zones - 1)


def standing_reserve(
    services: Arrivals, now: float, boot_s: float, spread_cores: float, zones: int
) -> float:
    """Cores to keep for replicas: of services to come, and of those that a lost zone takes along.

    Both at once, since services go on coming while machines boot for those that are lost: with
    the larger of the two alone, replicas waited up to 36 s for a machine when a zone was lost.
    """
    coming = services.expected_cores(now, boot_s)
    likely = max(coming, LIKELY_NEXT * services.largest(now))
    return likely + lost_with_a_zone(spread_cores, zones)
